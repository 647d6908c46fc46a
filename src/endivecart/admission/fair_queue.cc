#include "endivecart/admission/fair_queue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace endivecart::admission {

FairQueue::Order FairQueue::OrderOf(const Waiting& waiting) {
  return {waiting.priority, waiting.deadline, waiting.ticket};
}

void FairQueue::Push(const Waiting& waiting) {
  Lane& lane = lanes_[waiting.customer];
  // A customer that was away gets no credit for the time it was not asking.
  if (lane.waiting.empty())
    lane.virtual_time = std::max(lane.virtual_time, virtual_time_);
  lane.waiting.emplace(OrderOf(waiting), waiting);
  tickets_.emplace(waiting.ticket,
                   std::pair(waiting.customer, OrderOf(waiting)));
}

bool FairQueue::Remove(std::uint64_t ticket) {
  const auto it = tickets_.find(ticket);
  if (it == tickets_.end())
    return false;
  lanes_[it->second.first].waiting.erase(it->second.second);
  tickets_.erase(it);
  return true;
}

void FairQueue::Charge(Lane& lane, const Waiting& waiting) {
  virtual_time_ = std::max(virtual_time_, lane.virtual_time);
  lane.virtual_time += waiting.cost / std::max(waiting.weight, 1);
}

void FairQueue::Serve(const std::function<bool(const Waiting&)>& try_serve) {
  std::set<CustomerId> refused;
  while (true) {
    Lane* next = nullptr;
    for (auto& [customer, lane] : lanes_) {
      if (!lane.waiting.empty() && !refused.contains(customer) &&
          (next == nullptr || lane.virtual_time < next->virtual_time)) {
        next = &lane;
      }
    }
    if (next == nullptr)
      return;
    // A copy: serving takes the original out.
    const Waiting foremost = next->waiting.begin()->second;
    if (try_serve(foremost)) {
      Remove(foremost.ticket);
      Charge(*next, foremost);
    } else {
      refused.insert(foremost.customer);
    }
  }
}

int FairQueue::SizeOf(const CustomerId& customer) const {
  const auto it = lanes_.find(customer);
  return it == lanes_.end() ? 0 : static_cast<int>(it->second.waiting.size());
}

double FairQueue::CostBefore(const CustomerId& customer,
                             int priority,
                             TimePoint deadline) const {
  double own = 0;
  const auto lane = lanes_.find(customer);
  if (lane != lanes_.end()) {
    for (const auto& [order, waiting] : lane->second.waiting) {
      if (std::pair(waiting.priority, waiting.deadline) <
          std::pair(priority, deadline)) {
        own += waiting.cost;
      }
    }
  }
  // Others are served in turn: each at most about as much as this customer.
  double others = 0;
  for (const auto& [id, other] : lanes_) {
    if (id == customer || other.waiting.empty())
      continue;
    double theirs = 0;
    for (const auto& [order, waiting] : other.waiting)
      theirs += waiting.cost;
    others += std::min(theirs, own + other.waiting.begin()->second.cost);
  }
  return own + others;
}

std::vector<Waiting> FairQueue::TakeExpired(TimePoint now) {
  std::vector<Waiting> expired;
  for (const auto& [customer, lane] : lanes_) {
    for (const auto& [order, waiting] : lane.waiting) {
      if (waiting.deadline <= now)
        expired.push_back(waiting);
    }
  }
  for (const Waiting& waiting : expired)
    Remove(waiting.ticket);
  return expired;
}

}  // namespace endivecart::admission
