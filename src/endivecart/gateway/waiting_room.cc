#include "endivecart/gateway/waiting_room.h"

#include <algorithm>

namespace endivecart::gateway {

namespace {

// Priorities are below this, as upstreams take them.
constexpr int kPriorities = 10;

}  // namespace

int RankOf(int urgency, int route_priority) {
  return urgency * kPriorities + std::min(route_priority, kPriorities - 1);
}

WaitingRoom::Ticket WaitingRoom::Enter(int rank, TimePoint now) {
  const Ticket ticket = next_++;
  waiting_[ticket] = {rank, now};
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
    return waiting_.at(a).rank < waiting_.at(b).rank;
  });
  return order;
}

}  // namespace endivecart::gateway
