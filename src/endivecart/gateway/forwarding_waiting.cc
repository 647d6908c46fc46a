// Waiting for capacity, and refusal.

#include <algorithm>

#include "endivecart/gateway/forwarding.h"
#include "endivecart/gateway/send_invariants.h"

namespace endivecart::gateway {

namespace {

// A request is queued for at most its remaining time divided by this; the rest
// is left for running it, or for a retry by the caller.
constexpr int kMaxWaitDivisor = 3;

}  // namespace

Millis Forwarding::MaxWait() const {
  return TimeLeft() / kMaxWaitDivisor;
}

void Forwarding::Wait() {
  const TimePoint now = gateway_.loop_.Now();
  ticket_ = gateway_.request_queue_.Add(Rank(), service_.str(), now);
  gateway_.waiting_[*ticket_] = weak_from_this();
  const Millis max_wait = MaxWait();
  LogLine("gateway.wait")
      .Add("request", request_.id.str())
      .Add("waiting", std::uint64_t{gateway_.request_queue_.size()})
      .Add("at_most_ms", max_wait.count())
      .Info();
  const auto weak = weak_from_this();
  wait_timer_ = gateway_.loop_.After(max_wait, [weak](TimePoint) {
    const auto self = weak.lock();
    if (self && self->ticket_) {
      self->StopWaiting();
      self->GiveUp("no_room");
    }
  });
}

void Forwarding::StopWaiting() {
  if (!ticket_)
    return;
  gateway_.request_queue_.Remove(*ticket_);
  gateway_.waiting_.erase(*ticket_);
  ticket_.reset();
  wait_timer_.reset();
}

bool Forwarding::TryDispatch() {
  const auto self = shared_from_this();
  if (gateway_.part_monitor_.IsQuarantined(parts_) || ChooseRelay()) {
    StopWaiting();
    Send();
    return true;
  }
  const auto upstream = ChooseUpstream();
  if (!upstream)
    return false;
  if (KeepForCaller()) {
    StopWaiting();
    StartCall(*upstream);
  }
  return true;
}

void Forwarding::GiveUp(const char* reason) {
  if (started_) {
    exchange_->Abort();
    Finish(0, reason);
    return;
  }
  if (run_state_ == RunState::kNotRun) {
    Refuse(503, reason,
           std::max(kDefaultRetryAfter, time_to_permit_.value_or(Millis(0))));
  } else {
    Refuse(502, reason, std::nullopt);
  }
}

void Forwarding::Refuse(int status,
                        const std::string& reason,
                        std::optional<Millis> retry_after) {
  CheckInvariant(run_state_ == RunState::kNotRun || !GuaranteesNotRun(status),
                 Invariant::kNotRunIsTrue, request_.id.str());
  gateway_.RespondWithRefusal(
      *exchange_, {status, reason, retry_after, request_.id},
      ticket_from_relay_ && run_state_ == RunState::kNotRun);
  Finish(status, reason.c_str());
}

}  // namespace endivecart::gateway
