#include "endivecart/admission/fair_queue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace endivecart::admission {

FairQueue::Order FairQueue::OrderOf(const QueuedRequest& waiting) {
  return {waiting.priority, waiting.deadline, waiting.ticket};
}

void FairQueue::Push(const QueuedRequest& waiting) {
  CustomerQueue& queue = queues_[waiting.customer];
  // A customer gets no credit for the time in which it had no requests.
  if (queue.waiting.empty())
    queue.virtual_time = std::max(queue.virtual_time, virtual_time_);
  queue.waiting.emplace(OrderOf(waiting), waiting);
  tickets_.emplace(waiting.ticket,
                   std::pair(waiting.customer, OrderOf(waiting)));
}

bool FairQueue::Remove(std::uint64_t ticket) {
  const auto it = tickets_.find(ticket);
  if (it == tickets_.end())
    return false;
  queues_[it->second.first].waiting.erase(it->second.second);
  tickets_.erase(it);
  return true;
}

void FairQueue::Charge(CustomerQueue& queue, const QueuedRequest& waiting) {
  virtual_time_ = std::max(virtual_time_, queue.virtual_time);
  queue.virtual_time += waiting.cost / std::max(waiting.weight, 1);
}

void FairQueue::Serve(
    const std::function<bool(const QueuedRequest&)>& try_serve) {
  std::set<CustomerId> refused;
  while (true) {
    CustomerQueue* next = nullptr;
    for (auto& [customer, queue] : queues_) {
      if (!queue.waiting.empty() && !refused.contains(customer) &&
          (next == nullptr || queue.virtual_time < next->virtual_time)) {
        next = &queue;
      }
    }
    if (next == nullptr)
      return;
    // A copy, since Remove() destroys the original.
    const QueuedRequest first = next->waiting.begin()->second;
    if (try_serve(first)) {
      Remove(first.ticket);
      Charge(*next, first);
    } else {
      refused.insert(first.customer);
    }
  }
}

int FairQueue::SizeOf(const CustomerId& customer) const {
  const auto it = queues_.find(customer);
  return it == queues_.end() ? 0 : static_cast<int>(it->second.waiting.size());
}

double FairQueue::CostBefore(const CustomerId& customer,
                             int priority,
                             TimePoint deadline) const {
  double own = 0;
  const auto queue = queues_.find(customer);
  if (queue != queues_.end()) {
    for (const auto& [order, waiting] : queue->second.waiting) {
      if (std::pair(waiting.priority, waiting.deadline) <
          std::pair(priority, deadline)) {
        own += waiting.cost;
      }
    }
  }
  // Customers are served in turn, so each of the others gets at most about as
  // much service as this customer before its new request.
  double others = 0;
  for (const auto& [id, other] : queues_) {
    if (id == customer || other.waiting.empty())
      continue;
    double theirs = 0;
    for (const auto& [order, waiting] : other.waiting)
      theirs += waiting.cost;
    others += std::min(theirs, own + other.waiting.begin()->second.cost);
  }
  return own + others;
}

std::vector<QueuedRequest> FairQueue::TakeExpired(TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (const auto& [customer, queue] : queues_) {
    for (const auto& [order, waiting] : queue.waiting) {
      if (waiting.deadline <= now)
        expired.push_back(waiting);
    }
  }
  for (const QueuedRequest& waiting : expired)
    Remove(waiting.ticket);
  return expired;
}

}  // namespace endivecart::admission
