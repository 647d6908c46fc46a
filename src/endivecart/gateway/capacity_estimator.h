#ifndef ENDIVECART_GATEWAY_CAPACITY_ESTIMATOR_H_
#define ENDIVECART_GATEWAY_CAPACITY_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/fleet/fleet.h"

namespace endivecart::gateway {

// Estimates which free capacity of engines this host may use. Many hosts share
// the engines and learn of each other's load with a delay: if one engine seems
// to have capacity left, all hosts see it, and together they would send it many
// times what it holds. Each host therefore uses that capacity only with a
// probability, such that all hosts together send about what fits until the next
// update. More urgent prompts go first: less urgent demand does not reduce
// their probability. The demand of other hosts is what control told; as long as
// that is unknown or old, they are taken to have the same as this one.
class CapacityEstimator {
 public:
  // Time from an arrival at another host until this one learns of it: half a
  // poll interval on either side. As long as no other delay is set.
  static constexpr Millis kUpdateDelay{250};

  void SetUpdateDelay(Millis delay) { update_delay_ = delay; }
  // Adds the demand of a prompt that needs `tokens` of capacity, each time that
  // it is tried. `rank`: see RankOf().
  void Add(int rank, std::int64_t tokens, TimePoint now);
  // Returns the demand of this host within the last update delay.
  fleet::DemandByRank Demands(TimePoint now) const;
  // Sets the demand of all other hosts together.
  void SetOthersDemand(const fleet::DemandByRank& demand, TimePoint now);
  // Returns for each engine the probability with which a prompt may use its
  // free tokens. `hosts` is the number of hosts that send to the engines.
  std::vector<double> AdmissionProbabilities(
      int rank,
      const std::vector<std::int64_t>& free_tokens,
      int hosts,
      TimePoint now) const;

 private:
  // Requested tokens, decaying exponentially with the update delay.
  struct Demand {
    double tokens = 0;
    TimePoint at{};

    double DecayedTo(TimePoint now, Millis update_delay) const;
  };

  // Returns the requested tokens of all prompts of this or a more urgent rank.
  double DemandUpToRank(int rank, TimePoint now) const;
  // Returns those of all other hosts.
  double OthersDemandUpToRank(int rank, int hosts, TimePoint now) const;

  Millis update_delay_ = kUpdateDelay;
  std::map<int, Demand> demands_;  // by rank
  fleet::DemandByRank others_demand_;
  TimePoint others_known_at_{};
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_CAPACITY_ESTIMATOR_H_
