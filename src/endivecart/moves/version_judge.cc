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
// average after at least exp(14) = 1.2 million requests of a route.
constexpr double kThreshold = 14.0;
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
std::vector<DriftTest> CoarseAndFine(double usual,
                                     double coarse,
                                     double fine) {
  return {DriftTest(usual, coarse, kThreshold),
          DriftTest(usual, fine, kThreshold)};
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

VersionJudge::Route& VersionJudge::RouteOf(const std::string& name) {
  const auto [it, added] = routes_.try_emplace(name);
  if (added) {
    it->second.failures = CoarseAndFine(kUsualFailures, 0.36, 0.08);
    it->second.slow_first_tokens = CoarseAndFine(kUsualSlow, 0.5, 0.18);
    it->second.slow_gaps = CoarseAndFine(kUsualSlow, 0.5, 0.18);
  }
  return it->second;
}

void VersionJudge::AddBaseline(const VersionOutcome& outcome) {
  RouteOf(outcome.route).baseline.Add(outcome);
}

void VersionJudge::Test(const std::string& route,
                        std::vector<DriftTest>& tests,
                        bool bad,
                        std::string_view what) {
  for (DriftTest& test : tests) {
    test.Add(bad);
    if (test.alarm() && verdict_.empty()) {
      verdict_ = std::string(what) + " on route " + route + " after " +
                 std::to_string(candidates_) + " requests, " +
                 std::to_string(faults_) + " bad";
    }
  }
}

void VersionJudge::AddCandidate(const VersionOutcome& outcome) {
  Route& route = RouteOf(outcome.route);
  ++candidates_;
  // A fault that the promoted version has as well is not the new one's.
  const bool shared_fault =
      outcome.failed && route.baseline.FailurePart() > kUsualFailures * 5;
  const bool failed = outcome.failed && !shared_fault;
  const bool slow = !outcome.failed && outcome.first_token_ratio >
                                           route.baseline.FirstTokenLimit();
  const bool halting =
      !outcome.failed && outcome.gap_ms > route.baseline.GapLimit();
  faults_ += failed || slow || halting ? 1 : 0;
  Test(outcome.route, route.failures, failed, "failures");
  if (outcome.failed)
    return;
  Test(outcome.route, route.slow_first_tokens, slow, "slow first tokens");
  Test(outcome.route, route.slow_gaps, halting, "slow tokens");
}

}  // namespace endivecart::moves
