#include "endivecart/limits/limit_monitor.h"

#include <algorithm>

namespace endivecart::limits {

SharedRate RateOf(double requests_per_s) {
  // So many first requests at once are about a second's worth.
  constexpr double kMaxHosts = 1000;
  return {requests_per_s,
          1 + static_cast<int>(std::min(requests_per_s, kMaxHosts))};
}

void LimitMonitor::LogChange(const std::string& upstream_run) const {
  LogLine line("gateway.request_limit");
  line.Add("upstream", upstream_run);
  if (const auto limit = known_.Find(upstream_run)) {
    line.Add("requests_per_s", *limit)
        .Add("hosts", rank_.hosts)
        .Add("rank", rank_.rank);
  } else {
    line.Add("requests_per_s", "unlimited");
  }
  if (const auto refusals = known_.FindRefusalLimit(upstream_run))
    line.Add("refusals_per_s", *refusals);
  line.Info();
}

void LimitMonitor::OnAnswer(const std::string& upstream_run,
                            const UpstreamLimits& limits,
                            TimePoint sent_at,
                            TimePoint now) {
  const bool names_any = limits != UpstreamLimits();
  if (!names_any && !known_.Knows(upstream_run))
    return;
  const NamedLimit named{upstream_run, limits, names_any ? now : sent_at, {}};
  own_.Merge(named);
  if (known_.Merge(named))
    LogChange(upstream_run);
}

void LimitMonitor::Apply(const std::vector<NamedLimit>& limits) {
  for (const NamedLimit& limit : limits) {
    if (known_.Merge(limit))
      LogChange(limit.upstream_run);
  }
}

void LimitMonitor::OnRefused(const std::string& upstream_run, TimePoint now) {
  const auto refusals_per_s = RefusalLimit(upstream_run);
  if (!refusals_per_s)
    return;
  rooms_.OnRefused(upstream_run, *refusals_per_s, rank_, now);
  // Adds to what the answer said; its own time leaves that as it is.
  const NamedLimit refused{upstream_run, {}, {}, now};
  own_.Merge(refused);
  known_.Merge(refused);
}

bool LimitMonitor::HasRoom(const std::string& upstream_run,
                           const Room& room,
                           TimePoint now) const {
  return rooms_.HasRoom(upstream_run, room, known_.RefusedAt(upstream_run),
                        rank_, now);
}

std::vector<NamedLimit> LimitMonitor::Findings(TimePoint now) {
  Expire(now);
  return own_.All();
}

void LimitMonitor::SetRank(const HostRank& rank) {
  if (rank.hosts > 0)
    rank_ = rank;
}

bool LimitMonitor::TryAcquire(const std::string& upstream_run, TimePoint now) {
  const auto limit = known_.Find(upstream_run);
  return !limit || shares_.TryAcquire(upstream_run, RateOf(*limit), rank_, now);
}

Millis LimitMonitor::TimeToNext(const std::string& upstream_run,
                                TimePoint now) const {
  const auto limit = known_.Find(upstream_run);
  return limit ? shares_.TimeToNext(upstream_run, RateOf(*limit), rank_, now)
               : Millis(0);
}

void LimitMonitor::Expire(TimePoint now) {
  own_.Expire(now);
  known_.Expire(now);
  rooms_.Expire(now);
}

std::size_t LimitMonitor::limited() const {
  const auto all = known_.All();
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [](const NamedLimit& limit) {
        return limit.limits.requests_per_s.has_value();
      }));
}

}  // namespace endivecart::limits
