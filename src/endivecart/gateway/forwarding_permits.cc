// Whether and where a request may be sent: quarantined parts, limits of
// upstreams, and the evidence for a quarantine.

#include <algorithm>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

namespace {

// An answer that has been arriving for longer did not crash its upstream.
constexpr Millis kTimeToCrash{1000};

}  // namespace

bool Forwarding::AdmitParts() {
  const auto admission = gateway_.part_monitor_.Admit(parts_, gateway_.Rank(),
                                                      gateway_.loop_.Now());
  is_trial_ = admission.is_trial;
  if (admission.allowed)
    return true;
  gateway_.metrics_.Add("endivecart_quarantined_requests_total");
  if (started_ || run_state_ != RunState::kNotRun) {
    GiveUp("quarantined");
  } else {
    Refuse(503, "quarantined", admission.retry_after);
  }
  return false;
}

bool Forwarding::KeepWithinRoom(std::vector<Candidate>& candidates) const {
  const limits::LimitMonitor& limits = gateway_.limits_;
  const auto run_of = [this](const Candidate& candidate) {
    return gateway_.upstreams_.RunOf(candidate.id);
  };
  // Upstreams of a service are brittle together. One that has just returned may
  // not have said so yet.
  const bool is_brittle = std::any_of(
      candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return limits.RefusalLimit(run_of(candidate)).has_value();
      });
  if (!is_brittle)
    return false;
  const TimePoint now = gateway_.loop_.Now();
  const auto places = gateway_.upstreams_.PlacesInService(service_);
  return std::erase_if(candidates, [&](const Candidate& candidate) {
           const auto place = places.find(candidate.id);
           const limits::Room room{candidate.slots, candidate.requests,
                                   candidate.own_requests,
                                   place == places.end() ? 0 : place->second};
           return !limits.HasRoom(run_of(candidate), room, now);
         }) > 0;
}

bool Forwarding::AcquirePermits(const UpstreamId& id,
                                bool is_cold,
                                const routes::Service* service,
                                const HostRank& rank) {
  const TimePoint now = gateway_.loop_.Now();
  const std::string run = gateway_.upstreams_.RunOf(id);
  if (!gateway_.limits_.TryAcquire(run, now)) {
    const Millis wait = gateway_.limits_.TimeToNext(run, now);
    time_to_permit_ = std::min(time_to_permit_.value_or(wait), wait);
    return false;
  }
  return !is_cold ||
         gateway_.cold_start_limiter_.TryAcquire(
             id, service ? service->cold_requests_per_s : 0, rank, now);
}

void Forwarding::LeaveWaitingUpstream(const UpstreamId& upstream) {
  if (!call_ || relay_ || upstream_ != upstream || call_->may_have_been_sent())
    return;
  const SendEffect effect = EndCall(net::CallResult::kNotSent);
  EndSend(SendResult::kAbandoned);
  RetryOrGiveUp("asked_to_wait", effect);
}

void Forwarding::RecordBrokenRun() {
  if (relay_)
    return;
  const TimePoint now = gateway_.loop_.Now();
  // What crashes upstreams does so before or as soon as they begin to answer.
  const bool was_under_way =
      first_event_of_send_at_ && now - *first_event_of_send_at_ > kTimeToCrash;
  if (!was_under_way) {
    gateway_.part_monitor_.OnBroken(gateway_.upstreams_.RunOf(upstream_),
                                    StableHash(request_.id.str()), parts_, now);
  }
}

void Forwarding::RecordAnswered() {
  // Without framing, the end of a crashed upstream may look like the end of the
  // answer.
  if (relay_)
    return;
  const bool has_framing = head_.fields.Has("Content-Length") ||
                           head_.fields.Has("Transfer-Encoding");
  if (has_framing)
    gateway_.part_monitor_.OnAnswered(parts_, gateway_.loop_.Now());
}

}  // namespace endivecart::gateway
