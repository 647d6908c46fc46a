#include "endivecart/quarantine/failure_judge.h"

#include <algorithm>
#include <utility>

namespace endivecart::quarantine {

void FailureJudge::OnReport(const HostId& host,
                            const DomainId& domain,
                            const std::vector<UpstreamFailures>& report,
                            bool reaches_upstreams,
                            TimePoint now) {
  if (report.empty()) {
    reports_.erase(host);
    return;
  }
  reports_[host] = {domain, report, reaches_upstreams, now};
}

void FailureJudge::Evidence::Add(const UpstreamFailures& observed,
                                 const DomainId& domain) {
  if (observed.failures == 0 || observed.failed_at <= answered_at)
    return;
  // Another host was answered in between: only the last one is surely later.
  const bool is_split = observed.first_failed_at <= answered_at;
  failures += is_split ? 1 : static_cast<std::size_t>(observed.failures);
  first_failed_at =
      std::min(first_failed_at,
               is_split ? observed.failed_at : observed.first_failed_at);
  failed_at = std::max(failed_at, observed.failed_at);
  if (domains.size() < kMaxDomains &&
      std::find(domains.begin(), domains.end(), domain) == domains.end()) {
    domains.push_back(domain);
  }
}

std::map<std::uint64_t, FailureJudge::Evidence> FailureJudge::Collect() const {
  std::map<std::uint64_t, Evidence> evidence;
  for (const auto& [host, reported] : reports_) {
    for (const UpstreamFailures& observed : reported.report) {
      TimePoint& answered_at = evidence[observed.upstream_run].answered_at;
      answered_at = std::max(answered_at, observed.answered_at);
    }
  }
  for (const auto& [host, reported] : reports_) {
    if (!reported.reaches_upstreams)
      continue;
    for (const UpstreamFailures& observed : reported.report)
      evidence[observed.upstream_run].Add(observed, reported.domain);
  }
  return evidence;
}

void FailureJudge::Judge(TimePoint now) {
  std::erase_if(reports_, [now](const auto& entry) {
    return now - entry.second.reported_at > kReportMemory;
  });
  auto evidence = Collect();
  std::erase_if(evidence, [](const auto& entry) {
    return entry.second.failures + 1 < kFailures;
  });
  std::erase_if(questioned_since_, [&](const auto& entry) {
    return !evidence.contains(entry.first);
  });
  ruling_ = {};
  for (auto& [run, all] : evidence) {
    if (questioned_since_.size() >= kMaxQuestioned &&
        !questioned_since_.contains(run)) {
      continue;
    }
    const TimePoint since =
        questioned_since_.try_emplace(run, now).first->second;
    ruling_.questioned.push_back(run);
    if (all.failures >= kFailures &&
        now - std::max(since, all.first_failed_at) >=
            2 * poll_interval_ + kQuestionMargin) {
      ruling_.failing.push_back({run, all.failed_at, std::move(all.domains)});
    }
  }
}

const FailureRuling& FailureJudge::CurrentRuling(TimePoint now) {
  if (judged_at_ == TimePoint{} || now - judged_at_ >= kInterval) {
    judged_at_ = now;
    Judge(now);
  }
  return ruling_;
}

}  // namespace endivecart::quarantine
