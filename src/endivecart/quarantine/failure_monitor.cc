#include "endivecart/quarantine/failure_monitor.h"

#include <algorithm>

namespace endivecart::quarantine {

namespace {

// Failures in other domains than the own one count only from this many: the
// links between two domains may be cut.
constexpr std::size_t kDomainsThatSuffice = 2;
// More than this many hosts are all of them.
constexpr Millis::rep kMaxDoublings = 20;

TimePoint LastUse(const UpstreamFailures& record) {
  return std::max(record.failed_at, record.answered_at);
}

}  // namespace

std::uint64_t FailureMonitor::NameOf(const std::string& upstream_run) {
  return StableHash(upstream_run);
}

UpstreamFailures& FailureMonitor::RecordOf(std::uint64_t upstream_run) {
  if (records_.size() >= kMaxUpstreams && !records_.contains(upstream_run)) {
    records_.erase(std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          return LastUse(a.second) < LastUse(b.second);
        }));
  }
  UpstreamFailures& record = records_[upstream_run];
  record.upstream_run = upstream_run;
  return record;
}

void FailureMonitor::OnFailed(const std::string& upstream_run, TimePoint now) {
  UpstreamFailures& record = RecordOf(NameOf(upstream_run));
  if (record.failures++ == 0)
    record.first_failed_at = now;
  record.failed_at = now;
}

void FailureMonitor::OnAnswered(const std::string& upstream_run,
                                TimePoint now) {
  UpstreamFailures& record = RecordOf(NameOf(upstream_run));
  record.failures = 0;
  record.answered_at = now;
}

std::vector<UpstreamFailures> FailureMonitor::Report(TimePoint now) {
  std::erase_if(records_, [now](const auto& entry) {
    return now - LastUse(entry.second) > kMemory;
  });
  std::vector<UpstreamFailures> report;
  for (const auto& [run, record] : records_) {
    const bool is_questioned = record.answered_at != TimePoint{} &&
                               std::find(questioned_.begin(), questioned_.end(),
                                         run) != questioned_.end();
    if ((record.failures > 0 || is_questioned) && report.size() < kMaxReported)
      report.push_back(record);
  }
  return report;
}

void FailureMonitor::Apply(const FailureRuling& ruling, TimePoint now) {
  ruled_at_ = now;
  questioned_ = ruling.questioned;
  std::map<std::uint64_t, FailingUpstream> failing;
  for (const FailingUpstream& upstream : ruling.failing) {
    failing[upstream.upstream_run] = upstream;
    if (!failing_.contains(upstream.upstream_run)) {
      LogLine("quarantine.upstream_fails")
          .Add("upstream_run", upstream.upstream_run)
          .Add("failed_before_ms", MillisBetween(upstream.failed_at, now))
          .Add("domains", std::uint64_t{upstream.domains.size()})
          .Warn();
    }
  }
  failing_ = std::move(failing);
}

bool FailureMonitor::IsFailing(const std::string& upstream_run,
                               const DomainId& own_domain,
                               const HostRank& rank,
                               TimePoint now) const {
  if (!KnowsFailing(now))
    return false;
  const std::uint64_t run = NameOf(upstream_run);
  const auto ruling = failing_.find(run);
  if (ruling == failing_.end())
    return false;
  const FailingUpstream& failing = ruling->second;
  if (failing.domains.size() < kDomainsThatSuffice &&
      std::find(failing.domains.begin(), failing.domains.end(), own_domain) ==
          failing.domains.end()) {
    return false;
  }
  TimePoint failed_at = failing.failed_at;
  const auto own = records_.find(run);
  if (own != records_.end()) {
    const bool was_answered = own->second.answered_at != TimePoint{} &&
                              now - own->second.answered_at <= kOwnMemory;
    if (own->second.answered_at > failed_at ||
        (was_answered && own->second.failures == 0)) {
      return false;
    }
    failed_at = std::max(failed_at, own->second.failed_at);
  }
  if (now - failed_at > kMemory)
    return false;
  const auto steps = (now - failed_at) / kReturnStep;
  if (steps < 1 || rank.hosts == 0)
    return true;
  // 1, 2, 4, ... of the hosts, beginning at another one for each upstream.
  const std::uint64_t returned = std::uint64_t{1}
                                 << std::min(steps - 1, kMaxDoublings);
  const std::uint64_t position = (static_cast<std::uint64_t>(rank.rank) + run) %
                                 static_cast<std::uint64_t>(rank.hosts);
  return position >= returned;
}

}  // namespace endivecart::quarantine
