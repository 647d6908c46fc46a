#include "endivecart/gateway/request_queue.h"

#include <algorithm>

namespace endivecart::gateway {

namespace {

// Number of priority levels that upstreams accept.
constexpr int kPriorities = 10;

}  // namespace

int RankOf(int urgency, int route_priority) {
  return urgency * kPriorities + std::min(route_priority, kPriorities - 1);
}

RequestQueue::Ticket RequestQueue::Add(int rank,
                                       const std::string& group,
                                       TimePoint now) {
  const Ticket ticket = next_++;
  waiting_[ticket] = {rank, group, now};
  return ticket;
}

void RequestQueue::Remove(Ticket ticket) {
  waiting_.erase(ticket);
}

std::vector<RequestQueue::Ticket> RequestQueue::SortedTickets() const {
  std::vector<Ticket> order;
  for (const auto& [ticket, entry] : waiting_)
    order.push_back(ticket);  // tickets increase with time
  std::stable_sort(order.begin(), order.end(), [this](Ticket a, Ticket b) {
    return waiting_.at(a).rank < waiting_.at(b).rank;
  });
  return order;
}

}  // namespace endivecart::gateway
