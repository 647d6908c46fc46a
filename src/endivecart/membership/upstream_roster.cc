#include "endivecart/membership/upstream_roster.h"

namespace endivecart::membership {

namespace {

constexpr int kColdSignsBeforeReset = 3;

}  // namespace

UpstreamRoster::UpstreamRoster(Millis announcement_lease)
    : announcement_lease_(announcement_lease) {}

void UpstreamRoster::ResetToCold(Record& record, std::string_view reason) {
  record.slow_start.Reset(record.upstream.capacity);
  record.cold_signs = 0;
  LogLine("membership.cold")
      .Add("upstream", record.upstream.id.str())
      .Add("incarnation", record.upstream.incarnation)
      .Add("reason", reason)
      .Info();
}

void UpstreamRoster::Announce(const Upstream& announced, TimePoint now) {
  const auto [it, added] = records_.try_emplace(
      announced.id, Record{announced, SlowStart(announced.capacity), now, 0});
  Record& record = it->second;
  const bool restarted = record.upstream.incarnation != announced.incarnation;
  // A delayed announcement of an earlier incarnation must not replace a newer
  // one.
  if (announced.incarnation < record.upstream.incarnation)
    return;
  record.upstream = announced;
  record.expires = now + announcement_lease_;
  if (added || restarted)
    ResetToCold(record, added ? "announced" : "new-incarnation");
  record.upstream.concurrency_limit = record.slow_start.limit();
}

void UpstreamRoster::OnEvidence(const UpstreamEvidence& evidence) {
  const auto it = records_.find(evidence.upstream);
  if (it == records_.end() ||
      it->second.upstream.incarnation != evidence.incarnation) {
    return;
  }
  Record& record = it->second;
  for (int i = 0; i < evidence.good; ++i)
    record.slow_start.OnFinished(true);
  for (int i = 0; i < evidence.slow + evidence.cold + evidence.failed; ++i)
    record.slow_start.OnFinished(false);
  if (evidence.good > 0)
    record.cold_signs = 0;
  record.cold_signs += evidence.cold;
  if (record.cold_signs >= kColdSignsBeforeReset &&
      record.slow_start.complete()) {
    ResetToCold(record, "cold-signs");
  }
  record.upstream.concurrency_limit = record.slow_start.limit();
}

std::vector<UpstreamId> UpstreamRoster::Expire(TimePoint now) {
  std::vector<UpstreamId> gone;
  for (auto it = records_.begin(); it != records_.end();) {
    if (now < it->second.expires) {
      ++it;
      continue;
    }
    gone.push_back(it->first);
    it = records_.erase(it);
  }
  return gone;
}

std::vector<Upstream> UpstreamRoster::Current() const {
  std::vector<Upstream> out;
  out.reserve(records_.size());
  for (const auto& [id, record] : records_)
    out.push_back(record.upstream);
  return out;
}

}  // namespace endivecart::membership
