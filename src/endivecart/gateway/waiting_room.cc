#include "endivecart/gateway/waiting_room.h"

#include <algorithm>

namespace endivecart::gateway {

WaitingRoom::Ticket WaitingRoom::Enter(int urgency, TimePoint now) {
  const Ticket ticket = next_++;
  waiting_[ticket] = {urgency, now};
  return ticket;
}

void WaitingRoom::Leave(Ticket ticket) {
  waiting_.erase(ticket);
}

std::vector<WaitingRoom::Ticket> WaitingRoom::Order() const {
  std::vector<Ticket> order;
  for (const auto& [ticket, entry] : waiting_)
    order.push_back(ticket);  // tickets grow with time
  std::stable_sort(order.begin(), order.end(), [this](Ticket a, Ticket b) {
    return waiting_.at(a).urgency < waiting_.at(b).urgency;
  });
  return order;
}

}  // namespace endivecart::gateway
