#include "endivecart/moves/version_judge.h"

#include <algorithm>
#include <vector>

namespace endivecart::moves {

namespace {

constexpr std::size_t kBaselineWindow = 200;  // outcomes a route
constexpr std::size_t kBaselineEnough = 20;
constexpr double kQuantile = 0.95;
constexpr double kFirstTokenMargin = 1.3;
constexpr double kFirstTokenFloor = 2.0;  // ratio while little is known
constexpr double kGapMargin = 1.5;
constexpr double kGapFloorMillis = 20;
constexpr double kGapUnknownMillis = 200;

// At the usual part of bad outcomes, a false alarm of one test comes on
// average after at least exp(11) = 60,000 requests of a route.
constexpr double kThreshold = 11.0;
constexpr double kUsualFailures = 0.02;
constexpr double kUsualSlow = 0.06;

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

// A coarse test finds a total fault within a few requests, a fine one a small
// rise within some hundred.
std::vector<DriftTest> CoarseAndFine(double usual, double coarse, double fine) {
  return {DriftTest(usual, coarse, kThreshold),
          DriftTest(usual, fine, kThreshold)};
}

void AddCounts(std::vector<DriftTest>& tests,
               std::uint64_t outcomes,
               std::uint64_t bad) {
  for (DriftTest& test : tests) {
    for (std::uint64_t i = 0; i < outcomes; ++i)
      test.Add(i + bad >= outcomes);
  }
}

bool AnyAlarm(const std::vector<DriftTest>& tests) {
  return std::any_of(tests.begin(), tests.end(),
                     [](const DriftTest& test) { return test.alarm(); });
}

}  // namespace

void RouteBaseline::Add(const VersionOutcome& outcome) {
  recent_.push_back(outcome);
  if (recent_.size() > kBaselineWindow)
    recent_.pop_front();
}

double RouteBaseline::FirstTokenLimit() const {
  if (recent_.size() < kBaselineEnough)
    return kFirstTokenFloor;
  std::vector<double> ratios;
  ratios.reserve(recent_.size());
  for (const VersionOutcome& outcome : recent_)
    ratios.push_back(outcome.first_token_ratio);
  return std::max(kFirstTokenMargin,
                  kFirstTokenMargin * Quantile(std::move(ratios)));
}

double RouteBaseline::GapLimit() const {
  if (recent_.size() < kBaselineEnough)
    return kGapUnknownMillis;
  std::vector<double> gaps;
  gaps.reserve(recent_.size());
  for (const VersionOutcome& outcome : recent_)
    gaps.push_back(outcome.gap_ms);
  return std::max(kGapFloorMillis, kGapMargin * Quantile(std::move(gaps)));
}

double RouteBaseline::FailurePart() const {
  if (recent_.size() < kBaselineEnough)
    return 0;
  const auto failed =
      std::count_if(recent_.begin(), recent_.end(),
                    [](const VersionOutcome& o) { return o.failed; });
  return static_cast<double>(failed) / static_cast<double>(recent_.size());
}

PartTests::PartTests()
    : failures_(CoarseAndFine(kUsualFailures, 0.36, 0.08)),
      slow_first_tokens_(CoarseAndFine(kUsualSlow, 0.5, 0.18)),
      slow_gaps_(CoarseAndFine(kUsualSlow, 0.5, 0.18)) {}

void PartTests::Add(const OutcomeCounts& counts) {
  AddCounts(failures_, counts.requests, counts.failed);
  const std::uint64_t answered = counts.requests - counts.failed;
  AddCounts(slow_first_tokens_, answered, counts.slow_first_tokens);
  AddCounts(slow_gaps_, answered, counts.slow_gaps);
}

std::string_view PartTests::verdict() const {
  if (AnyAlarm(failures_))
    return "failures";
  if (AnyAlarm(slow_first_tokens_))
    return "slow first tokens";
  return AnyAlarm(slow_gaps_) ? "slow tokens" : "";
}

void PooledJudge::OnCounts(const HostId& host, const CountsByPart& counts) {
  for (const auto& [part, now] : counts) {
    OutcomeCounts& before = seen_[host][part];
    // A report that comes late or doubled says nothing new.
    if (now.requests <= before.requests)
      continue;
    PartTests& tests = tests_[part];
    tests.Add({now.requests - before.requests, now.failed - before.failed,
               now.slow_first_tokens - before.slow_first_tokens,
               now.slow_gaps - before.slow_gaps});
    before = now;
    if (verdict_.empty() && !tests.verdict().empty()) {
      verdict_ =
          "all hosts together: " + std::string(tests.verdict()) + ", " + part;
    }
  }
}

void VersionJudge::AddBaseline(const VersionOutcome& outcome) {
  baselines_[outcome.route].Add(outcome);
}

void VersionJudge::Count(const std::string& part, const OutcomeCounts& one) {
  OutcomeCounts& total = counts_[part];
  total.requests += one.requests;
  total.failed += one.failed;
  total.slow_first_tokens += one.slow_first_tokens;
  total.slow_gaps += one.slow_gaps;
  PartTests& tests = tests_[part];
  tests.Add(one);
  if (verdict_.empty() && !tests.verdict().empty()) {
    verdict_ = std::string(tests.verdict()) + ", " + part + ", after " +
               std::to_string(candidates_) + " requests, " +
               std::to_string(faults_) + " bad";
  }
}

void VersionJudge::AddCandidate(const VersionOutcome& outcome) {
  const RouteBaseline& baseline = baselines_[outcome.route];
  // A fault that the promoted version has as well is not the new one's.
  const bool shared_fault =
      outcome.failed && baseline.FailurePart() > kUsualFailures * 5;
  OutcomeCounts one;
  one.requests = 1;
  one.failed = outcome.failed && !shared_fault ? 1 : 0;
  if (!outcome.failed) {
    one.slow_first_tokens =
        outcome.first_token_ratio > baseline.FirstTokenLimit() ? 1 : 0;
    one.slow_gaps = outcome.gap_ms > baseline.GapLimit() ? 1 : 0;
  }
  ++candidates_;
  faults_ += one.failed + one.slow_first_tokens + one.slow_gaps > 0 ? 1 : 0;
  Count("route " + outcome.route, one);
  Count("domain " + outcome.domain.str(), one);
  Count("all routes", one);
}

}  // namespace endivecart::moves
