#include "endivecart/scheduling/capacity_estimator.h"

#include <algorithm>
#include <cmath>

#include "endivecart/scheduling/placement.h"

namespace endivecart::scheduling {

namespace {

// Share of the free tokens that all hosts together aim to fill. The rest
// absorbs the random differences between what they expect and what arrives.
constexpr double kFilledShare = 0.8;

}  // namespace

double CapacityEstimator::Demand::DecayedTo(TimePoint now) const {
  return tokens * std::exp(-MillisBetween(at, now) /
                           static_cast<double>(kUpdateDelay.count()));
}

void CapacityEstimator::Add(int rank, std::int64_t tokens, TimePoint now) {
  Demand& demand = demands_[rank];
  demand = {demand.DecayedTo(now) + static_cast<double>(tokens), now};
}

double CapacityEstimator::DemandUpToRank(int rank, TimePoint now) const {
  double tokens = 0;
  for (const auto& [level, demand] : demands_) {
    if (level <= rank)
      tokens += demand.DecayedTo(now);
  }
  return tokens;
}

std::vector<double> CapacityEstimator::AdmissionProbabilities(
    int rank,
    const std::vector<std::int64_t>& free_tokens,
    int hosts,
    TimePoint now) const {
  const std::size_t engines = free_tokens.size();
  std::vector<double> probabilities(engines, 1);
  const double others_demand =
      DemandUpToRank(rank, now) * std::max(hosts - 1, 0);
  if (engines == 0 || others_demand <= 0)
    return probabilities;
  double free = 0;
  for (const std::int64_t tokens : free_tokens)
    free += static_cast<double>(std::max<std::int64_t>(tokens, 0));
  const double to_fill = free * kFilledShare;
  if (to_fill >= others_demand)
    return probabilities;
  // Each prompt draws for each engine, and goes to one of those that it may
  // use. If it may use S of them on average, 1 - exp(-S) of the prompts find
  // one. That share of the demand is to fill the free tokens.
  const double options = -std::log(1 - to_fill / others_demand);
  for (std::size_t i = 0; i < engines; ++i) {
    probabilities[i] = std::min(
        1.0,
        options / free *
            static_cast<double>(std::max<std::int64_t>(free_tokens[i], 0)));
  }
  return probabilities;
}

}  // namespace endivecart::scheduling
