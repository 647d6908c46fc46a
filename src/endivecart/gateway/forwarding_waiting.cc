// Waiting for capacity, and refusal.

#include <algorithm>

#include "endivecart/gateway/forwarding.h"
#include "endivecart/gateway/send_invariants.h"

namespace endivecart::gateway {

namespace {

// A wait that an upstream named is waited for if it takes no more of the time
// left than this part; the rest is left for running the request.
constexpr int kMaxNamedWaitDivisor = 3;
// Time kept for the rest of a stream, at most: the time limit divided by this.
// Streams end when their callers have enough, so the mean says little.
constexpr int kMaxRestDivisor = 2;
// A request may be queued for at least its remaining time divided by this.
constexpr int kMinWaitDivisor = 3;

}  // namespace

Millis Forwarding::MaxNamedWait() const {
  return TimeLeft() / kMaxNamedWaitDivisor;
}

Millis Forwarding::PredictedService() const {
  const Millis prefill = request_.prompt ? PromptPrefillTime() : Millis(0);
  return prefill + gateway_.service_times_.ShortestFirstEvent(route_.name);
}

Millis Forwarding::PromptPrefillTime() const {
  return Millis(static_cast<Millis::rep>(
      static_cast<double>(PromptTokens()) /
      gateway_.prefill_rates_.EstimateFor(service_).prompt_tokens_per_ms));
}

void Forwarding::RecordServiceTime() {
  const TimePoint now = gateway_.loop_.Now();
  const TimePoint first = first_event_of_send_at_.value_or(now);
  const Millis prefill = request_.prompt ? PromptPrefillTime() : Millis(0);
  const Millis took = std::chrono::duration_cast<Millis>(first - sent_at_);
  gateway_.service_times_.Add(route_.name, std::max(took - prefill, Millis(0)),
                              std::chrono::duration_cast<Millis>(now - first));
}

scheduling::WaitingRequest Forwarding::AsWaiting() const {
  scheduling::WaitingRequest out;
  out.rank = Rank();
  if (customer_ != nullptr)
    out.customer = customer_->id;
  out.route = route_.name;
  out.group = service_.str();
  out.work_tokens = std::max<std::int64_t>(HeldTokens(), 1);
  out.arrived_at = accepted_at_ - used_before_;
  out.deadline = deadline_;
  const Millis service = PredictedService();
  const Millis rest =
      std::min(gateway_.service_times_.MeanRest(route_.name),
               std::chrono::duration_cast<Millis>(deadline_ - accepted_at_) /
                   kMaxRestDivisor);
  // The estimates may be wrong: a part of the time left may always be waited.
  out.give_up_at =
      std::max(deadline_ - service - rest,
               gateway_.loop_.Now() + TimeLeft() / kMinWaitDivisor);
  out.latest_start = route_.latency_target > Millis(0)
                         ? out.arrived_at + route_.latency_target - service
                         : out.give_up_at;
  return out;
}

void Forwarding::Wait() {
  const TimePoint now = gateway_.loop_.Now();
  const scheduling::WaitingRequest waiting = AsWaiting();
  ticket_ = gateway_.wait_queue_.Add(waiting, now);
  gateway_.waiting_[*ticket_] = weak_from_this();
  const Millis max_wait = std::max(
      std::chrono::duration_cast<Millis>(waiting.give_up_at - now), Millis(0));
  LogLine("gateway.wait")
      .Add("request", request_.id.str())
      .Add("waiting", std::uint64_t{gateway_.wait_queue_.size()})
      .Add("on_time_ms", MillisBetween(now, waiting.latest_start))
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
  gateway_.wait_queue_.Remove(*ticket_, gateway_.loop_.Now());
  gateway_.waiting_.erase(*ticket_);
  ticket_.reset();
  wait_timer_.reset();
}

scheduling::WaitQueue::TryResult Forwarding::TryDispatch() {
  using scheduling::WaitQueue;
  const auto self = shared_from_this();
  if (gateway_.part_monitor_.IsQuarantined(parts_) || ChooseRelay()) {
    StopWaiting();
    Send();
    return WaitQueue::TryResult::kSent;
  }
  const auto upstream = ChooseUpstream();
  if (!upstream) {
    return has_spare_ ? WaitQueue::TryResult::kSpare
                      : WaitQueue::TryResult::kFull;
  }
  if (KeepForCaller()) {
    StopWaiting();
    StartCall(*upstream);
  }
  return WaitQueue::TryResult::kSent;
}

void Forwarding::RefuseWaiting(Millis retry_after, Millis expected_wait) {
  const auto self = shared_from_this();
  if (!ticket_)
    return;
  StopWaiting();
  LogLine("gateway.no_prospect")
      .Add("request", request_.id.str())
      .Add("expected_wait_ms", expected_wait.count())
      .Add("left_ms", TimeLeft().count())
      .Add("retry_after_ms", retry_after.count())
      .Info();
  if (started_ || run_state_ != RunState::kNotRun) {
    GiveUp("no_room");
  } else {
    Refuse(503, "no_room", retry_after);
  }
}

Millis Forwarding::RetryAfter() const {
  return gateway_.wait_queue_.RetryAfter(AsWaiting(), gateway_.loop_.Now());
}

void Forwarding::GiveUp(const char* reason) {
  if (started_) {
    exchange_->Abort();
    Finish(0, reason);
    return;
  }
  if (run_state_ == RunState::kNotRun) {
    Refuse(503, reason,
           std::max(RetryAfter(), time_to_permit_.value_or(Millis(0))));
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
