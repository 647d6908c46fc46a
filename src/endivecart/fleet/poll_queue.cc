#include "endivecart/fleet/poll_queue.h"

#include <algorithm>
#include <utility>

namespace endivecart::fleet {

void PollQueue::Add(const HostId& from, const wire::FleetPoll& poll) {
  // Not copied if none waits: with 40 services a poll has hundreds of parts.
  if (polls_.empty() && spent_ < budget_) {
    const TimePoint began = hooks_.now();
    hooks_.serve(from, poll);
    spent_ += hooks_.now() - began;
    return;
  }
  const auto [it, is_new] = polls_.try_emplace(from);
  it->second = {poll, hooks_.now()};
  if (is_new) {
    order_.push_back(from);
  } else {
    ++dropped_;
  }
  Serve();
}

void PollQueue::OnTick(std::chrono::microseconds delay) {
  budget_ = delay > kLateTick ? std::max(budget_ / 2, kMinBudget)
                              : std::min(budget_ + kBudgetStep, kMaxBudget);
  spent_ = std::chrono::microseconds(0);
  Serve();
  LogDropped(hooks_.now());
}

void PollQueue::Serve() {
  while (!order_.empty() && spent_ < budget_)
    ServeNext();
}

void PollQueue::ServeNext() {
  const HostId from = std::move(order_.front());
  order_.pop_front();
  const auto it = polls_.find(from);
  const Waiting waiting = std::move(it->second);
  polls_.erase(it);
  const TimePoint began = hooks_.now();
  if (began - waiting.added_at > kMaxAge) {
    ++dropped_;
    return;
  }
  hooks_.serve(from, waiting.poll);
  spent_ += hooks_.now() - began;
}

void PollQueue::LogDropped(TimePoint now) {
  if (dropped_ == logged_dropped_ ||
      (logged_at_ != TimePoint{} && now - logged_at_ < kLogInterval)) {
    return;
  }
  LogLine("fleet.polls_dropped")
      .Add("polls", dropped_ - logged_dropped_)
      .Add("waiting", std::uint64_t{polls_.size()})
      .Warn();
  logged_dropped_ = dropped_;
  logged_at_ = now;
}

}  // namespace endivecart::fleet
