#include "endivecart/moves/version_judge.h"

#include <algorithm>
#include <vector>

namespace endivecart::moves {

namespace {

constexpr std::size_t kBaselineWindow = 200;  // outcomes per route
constexpr std::size_t kMinBaselineOutcomes = 20;
constexpr double kQuantile = 0.95;
constexpr double kFirstTokenMargin = 1.3;
constexpr double kDefaultFirstTokenLimit = 2.0;  // ratio, without a baseline
constexpr double kGapMargin = 1.5;
constexpr double kMinGapLimitMillis = 20;
constexpr double kDefaultGapLimitMillis = 200;  // without a baseline

// At the baseline rates, the mean number of requests of a route before a false
// alarm of one detector is at least exp(11) = 60,000.
constexpr double kAlarmThreshold = 11.0;
constexpr double kBaselineFailureRate = 0.02;
constexpr double kBaselineSlowRate = 0.06;

double Quantile(std::vector<double> values) {
  if (values.empty())
    return 0;
  const auto at = static_cast<std::size_t>(
      kQuantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

// Returns a coarse detector, which finds a total failure within a few requests,
// and a fine one, which finds a small rise within a few hundred.
std::vector<CusumDetector> MakeDetectors(double baseline_rate,
                                         double coarse,
                                         double fine) {
  return {CusumDetector(baseline_rate, coarse, kAlarmThreshold),
          CusumDetector(baseline_rate, fine, kAlarmThreshold)};
}

void AddCounts(std::vector<CusumDetector>& detectors,
               std::uint64_t outcomes,
               std::uint64_t bad) {
  for (CusumDetector& detector : detectors) {
    for (std::uint64_t i = 0; i < outcomes; ++i)
      detector.Add(i + bad >= outcomes);
  }
}

bool HasAlarm(const std::vector<CusumDetector>& detectors) {
  return std::any_of(
      detectors.begin(), detectors.end(),
      [](const CusumDetector& detector) { return detector.alarm(); });
}

}  // namespace

void RouteBaseline::Add(const VersionOutcome& outcome) {
  recent_.push_back(outcome);
  if (recent_.size() > kBaselineWindow)
    recent_.pop_front();
}

bool RouteBaseline::HasEnough() const {
  return recent_.size() >= kMinBaselineOutcomes;
}

double RouteBaseline::FirstTokenLimit() const {
  if (!HasEnough())
    return kDefaultFirstTokenLimit;
  std::vector<double> ratios;
  ratios.reserve(recent_.size());
  for (const VersionOutcome& outcome : recent_)
    ratios.push_back(outcome.first_token_ratio);
  return std::max(kFirstTokenMargin,
                  kFirstTokenMargin * Quantile(std::move(ratios)));
}

double RouteBaseline::GapLimit() const {
  if (!HasEnough())
    return kDefaultGapLimitMillis;
  std::vector<double> gaps;
  gaps.reserve(recent_.size());
  for (const VersionOutcome& outcome : recent_)
    gaps.push_back(outcome.gap_ms);
  return std::max(kMinGapLimitMillis, kGapMargin * Quantile(std::move(gaps)));
}

double RouteBaseline::FailureRate() const {
  if (!HasEnough())
    return 0;
  const auto failed =
      std::count_if(recent_.begin(), recent_.end(),
                    [](const VersionOutcome& o) { return o.failed; });
  return static_cast<double>(failed) / static_cast<double>(recent_.size());
}

SegmentDetectors::SegmentDetectors()
    : failures_(MakeDetectors(kBaselineFailureRate, 0.36, 0.08)),
      slow_first_tokens_(MakeDetectors(kBaselineSlowRate, 0.5, 0.18)),
      slow_gaps_(MakeDetectors(kBaselineSlowRate, 0.5, 0.18)) {}

void SegmentDetectors::Add(const OutcomeCounts& counts) {
  AddCounts(failures_, counts.requests, counts.failed);
  const std::uint64_t answered = counts.requests - counts.failed;
  AddCounts(slow_first_tokens_, answered, counts.slow_first_tokens);
  AddCounts(slow_gaps_, answered, counts.slow_gaps);
}

std::string_view SegmentDetectors::verdict() const {
  if (HasAlarm(failures_))
    return "failures";
  if (HasAlarm(slow_first_tokens_))
    return "slow first tokens";
  return HasAlarm(slow_gaps_) ? "slow tokens" : "";
}

void PooledJudge::OnCounts(const HostId& host, const CountsBySegment& counts) {
  for (const auto& [segment, now] : counts) {
    OutcomeCounts& before = last_counts_[host][segment];
    // A delayed or duplicated report holds no new outcomes.
    if (now.requests <= before.requests)
      continue;
    SegmentDetectors& detectors = detectors_[segment];
    detectors.Add({now.requests - before.requests, now.failed - before.failed,
                   now.slow_first_tokens - before.slow_first_tokens,
                   now.slow_gaps - before.slow_gaps});
    before = now;
    if (verdict_.empty() && !detectors.verdict().empty()) {
      verdict_ = "all hosts together: " + std::string(detectors.verdict()) +
                 ", " + segment;
    }
  }
}

bool VersionJudge::IsSlow(const VersionOutcome& outcome) const {
  const auto it = baselines_.find(outcome.route);
  return it != baselines_.end() && it->second.HasEnough() &&
         (outcome.first_token_ratio > it->second.FirstTokenLimit() ||
          outcome.gap_ms > it->second.GapLimit());
}

void VersionJudge::AddBaseline(const VersionOutcome& outcome) {
  baselines_[outcome.route].Add(outcome);
}

void VersionJudge::Count(const std::string& segment,
                         const OutcomeCounts& added) {
  OutcomeCounts& total = counts_[segment];
  total.requests += added.requests;
  total.failed += added.failed;
  total.slow_first_tokens += added.slow_first_tokens;
  total.slow_gaps += added.slow_gaps;
  SegmentDetectors& detectors = detectors_[segment];
  detectors.Add(added);
  if (verdict_.empty() && !detectors.verdict().empty()) {
    verdict_ = std::string(detectors.verdict()) + ", " + segment + ", after " +
               std::to_string(candidates_) + " requests, " +
               std::to_string(faults_) + " bad";
  }
}

void VersionJudge::AddCandidate(const VersionOutcome& outcome) {
  const RouteBaseline& baseline = baselines_[outcome.route];
  // A failure that the promoted version has too is not held against the new
  // version.
  const bool shared_failure =
      outcome.failed && baseline.FailureRate() > kBaselineFailureRate * 5;
  OutcomeCounts added;
  added.requests = 1;
  added.failed = outcome.failed && !shared_failure ? 1 : 0;
  if (!outcome.failed) {
    added.slow_first_tokens =
        outcome.first_token_ratio > baseline.FirstTokenLimit() ? 1 : 0;
    added.slow_gaps = outcome.gap_ms > baseline.GapLimit() ? 1 : 0;
  }
  ++candidates_;
  faults_ +=
      added.failed + added.slow_first_tokens + added.slow_gaps > 0 ? 1 : 0;
  Count("route " + outcome.route, added);
  Count("domain " + outcome.domain.str(), added);
  Count("all routes", added);
}

}  // namespace endivecart::moves
