#include "endivecart/gateway/room_odds.h"

#include <algorithm>
#include <cmath>

#include "endivecart/gateway/placement.h"

namespace endivecart::gateway {

double RoomOdds::Demand::Until(TimePoint now) const {
  return tokens * std::exp(-MillisBetween(at, now) /
                           static_cast<double>(kNewsDelay.count()));
}

void RoomOdds::Add(int rank, std::int64_t tokens, TimePoint now) {
  Demand& demand = demands_[rank];
  demand = {demand.Until(now) + static_cast<double>(tokens), now};
}

double RoomOdds::LookedFor(int rank, TimePoint now) const {
  double tokens = 0;
  for (const auto& [level, demand] : demands_) {
    if (level <= rank)
      tokens += demand.Until(now);
  }
  return tokens;
}

std::vector<double> RoomOdds::Chances(
    int rank,
    const std::vector<std::int64_t>& free_tokens,
    int hosts,
    TimePoint now) const {
  const std::size_t engines = free_tokens.size();
  std::vector<double> chances(engines, 1);
  const double others = LookedFor(rank, now) * std::max(hosts - 1, 0);
  if (engines == 0 || others <= 0)
    return chances;
  const auto considered =
      static_cast<double>(std::min(engines, kConsideredEngines));
  // What others look for at each engine, if they consider all alike.
  const double sought = others * considered / static_cast<double>(engines);
  // A prompt goes to one of those that it counts on: the more of them there
  // are, the less goes to each. Two rounds come close enough.
  double counted_on = 1;
  for (int round = 0; round < 2; ++round) {
    double sum = 0;
    for (std::size_t i = 0; i < engines; ++i) {
      const auto free =
          static_cast<double>(std::max<std::int64_t>(free_tokens[i], 0));
      chances[i] = std::min(1.0, free * counted_on / sought);
      sum += chances[i];
    }
    counted_on = 1 + (considered - 1) * sum / static_cast<double>(engines);
  }
  return chances;
}

}  // namespace endivecart::gateway
