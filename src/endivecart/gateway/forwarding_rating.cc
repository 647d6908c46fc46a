// What is learned from runs: activity of upstreams, speed and outcome of the
// software version that served them.

#include <algorithm>
#include <utility>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

namespace {

// The mean time between so many events is the speed of a stream.
constexpr std::size_t kEventsForSpeed = 8;
// With fewer events in less time, the speed of a running stream is unknown.
constexpr std::size_t kMinEventsForSpeed = 4;
constexpr double kMinMillisForSpeed = 1000;

}  // namespace

RunSpeed Forwarding::CurrentSpeed() const {
  const TimePoint now = gateway_.loop_.Now();
  RunSpeed speed;
  speed.first_event_ms =
      MillisBetween(sent_at_, first_event_of_send_at_.value_or(now));
  if (!first_event_of_send_at_)
    return speed;
  const double elapsed_ms = MillisBetween(*first_event_of_send_at_, now);
  // A single pause says little.
  if (call_ && events_of_send_ < kMinEventsForSpeed &&
      elapsed_ms < kMinMillisForSpeed) {
    return speed;
  }
  if (events_of_send_ > 1) {
    speed.gap_ms = MillisBetween(*first_event_of_send_at_, last_event_at_) /
                   static_cast<double>(events_of_send_ - 1);
  }
  // A pause that lasts longer than the mean so far raises it.
  if (call_) {
    speed.gap_ms = std::max(speed.gap_ms,
                            elapsed_ms / static_cast<double>(events_of_send_));
  }
  return speed;
}

void Forwarding::RecordData() {
  data_at_ = gateway_.loop_.Now();
  if (relay_)
    return;
  gateway_.upstreams_.RecordActivity(upstream_);
  gateway_.reach_.OnData(service_.str(), gateway_.loop_.Now());
}

void Forwarding::ReportWaiting() const {
  if (call_ && !relay_ && call_->may_have_been_sent())
    gateway_.reach_.OnWaiting(service_.str(), sent_at_, gateway_.loop_.Now());
}

void Forwarding::RecordSpeedOfRun() {
  if (!call_ || !IsStream() || outcome_recorded_ ||
      !gateway_.moves_.IsMoving(service_)) {
    return;
  }
  if (events_of_send_ >= kEventsForSpeed ||
      gateway_.moves_.IsSlow(service_, route_.name, CurrentSpeed())) {
    AddMoveOutcome(false);
  }
}

void Forwarding::AddMoveOutcome(bool failed) {
  const auto* upstream = gateway_.upstreams_.Find(upstream_);
  if (upstream == nullptr)
    return;
  outcome_recorded_ = true;
  gateway_.moves_.Add(service_, upstream->last.software_version, route_.name,
                      upstream->last.domain, failed, CurrentSpeed());
}

void Forwarding::RecordFirstEventTime() {
  // A resumed stream needs no prefill of the prompt as it was sent.
  if (relay_ || !request_.prompt || may_wait_for_cache_ ||
      !LastEventIdToSend().empty())
    return;
  gateway_.upstreams_.speeds().AddFirstEvent(
      upstream_, service_, tokens_before_first_event_,
      MillisBetween(sent_at_, last_event_at_), last_event_at_);
}

void Forwarding::RecordStepTime(std::size_t events) {
  if (relay_)
    return;
  const auto before = std::exchange(last_step_at_, last_event_at_);
  if (!before)
    return;
  gateway_.upstreams_.speeds().AddStep(
      upstream_, service_,
      gateway_.upstreams_.RequestsAt(upstream_, gateway_.follower_),
      MillisBetween(*before, last_event_at_) / static_cast<double>(events),
      last_event_at_);
}

void Forwarding::RecordAnswerTime() {
  if (relay_ || request_.prompt || IsStream())
    return;
  const TimePoint now = gateway_.loop_.Now();
  gateway_.upstreams_.speeds().AddAnswer(upstream_, service_,
                                         requests_there_ + 1,
                                         MillisBetween(sent_at_, now), now);
}

void Forwarding::RecordMoveOutcome(SendResult result) {
  switch (result) {
    case SendResult::kRefused:
    case SendResult::kUnreachable:
      return;
    case SendResult::kAnswered:
      if (!outcome_recorded_)
        AddMoveOutcome(false);
      return;
    case SendResult::kAbandoned:
      // What is known so far may already be too slow.
      if (!outcome_recorded_ &&
          gateway_.moves_.IsSlow(service_, route_.name, CurrentSpeed())) {
        AddMoveOutcome(false);
      }
      return;
    case SendResult::kFailed:
    case SendResult::kBroken:
    case SendResult::kSilent:
      AddMoveOutcome(true);
      return;
  }
}

}  // namespace endivecart::gateway
