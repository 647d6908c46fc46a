#include "endivecart/gateway/capacity_estimator.h"

#include <algorithm>
#include <cmath>

#include "endivecart/gateway/placement.h"

namespace endivecart::gateway {

namespace {

// What control told is used for this long, or for kMaxDelays update delays if
// they are longer: demand changes within seconds.
constexpr Millis kMinOthersLifetime{1000};
constexpr int kMaxDelays = 4;

}  // namespace

double CapacityEstimator::Demand::DecayedTo(TimePoint now,
                                            Millis update_delay) const {
  return tokens * std::exp(-MillisBetween(at, now) /
                           static_cast<double>(update_delay.count()));
}

void CapacityEstimator::Add(int rank, std::int64_t tokens, TimePoint now) {
  Demand& demand = demands_[rank];
  demand = {demand.DecayedTo(now, update_delay_) + static_cast<double>(tokens),
            now};
}

double CapacityEstimator::DemandUpToRank(int rank, TimePoint now) const {
  double tokens = 0;
  for (const auto& [level, demand] : demands_) {
    if (level <= rank)
      tokens += demand.DecayedTo(now, update_delay_);
  }
  return tokens;
}

fleet::DemandByRank CapacityEstimator::Demands(TimePoint now) const {
  fleet::DemandByRank out;
  for (const auto& [rank, demand] : demands_) {
    const double tokens = demand.DecayedTo(now, update_delay_);
    if (tokens >= 1)
      out[rank] = static_cast<std::uint64_t>(tokens);
  }
  return out;
}

void CapacityEstimator::SetOthersDemand(const fleet::DemandByRank& demand,
                                        TimePoint now) {
  others_demand_ = demand;
  others_known_at_ = now;
}

double CapacityEstimator::OthersDemandUpToRank(int rank,
                                               int hosts,
                                               TimePoint now) const {
  const Millis lifetime =
      std::max(kMinOthersLifetime, update_delay_ * kMaxDelays);
  if (others_known_at_ == TimePoint{} || now - others_known_at_ > lifetime)
    return DemandUpToRank(rank, now) * std::max(hosts - 1, 0);
  double tokens = 0;
  for (const auto& [level, demand] : others_demand_) {
    if (level <= rank)
      tokens += static_cast<double>(demand);
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
  const double others_demand = OthersDemandUpToRank(rank, hosts, now);
  if (engines == 0 || others_demand <= 0)
    return probabilities;
  const auto considered =
      static_cast<double>(std::min(engines, kConsideredEngines));
  // Demand of other hosts at each engine, if they consider all engines equally.
  const double demand_per_engine =
      others_demand * considered / static_cast<double>(engines);
  // A prompt goes to one of the considered engines that it may use: the more of
  // these, the less demand reaches each. Two iterations are accurate enough.
  double expected_options = 1;
  for (int round = 0; round < 2; ++round) {
    double sum = 0;
    for (std::size_t i = 0; i < engines; ++i) {
      const auto free =
          static_cast<double>(std::max<std::int64_t>(free_tokens[i], 0));
      probabilities[i] =
          std::min(1.0, free * expected_options / demand_per_engine);
      sum += probabilities[i];
    }
    expected_options =
        1 + (considered - 1) * sum / static_cast<double>(engines);
  }
  return probabilities;
}

}  // namespace endivecart::gateway
