#ifndef ENDIVECART_GATEWAY_ROOM_ODDS_H_
#define ENDIVECART_GATEWAY_ROOM_ODDS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::gateway {

// For many hosts that look for room at the same engines and hear of each
// other's work late. Where one engine seems to have room left, all of them see
// it, and together they would send it many times what it holds. So each counts
// on that room only with a chance, such that what all hosts send until the next
// news is about what fits. More urgent prompts come first: they count on room
// as if there were no others. Supposes that other hosts look for as much room
// as this one does.
class RoomOdds {
 public:
  // From an arrival at another host until this one hears of it: half an
  // interval of polls on either side.
  static constexpr Millis kNewsDelay{250};

  // A prompt of this size looks for room now, for the first time or again.
  // `rank`: see RankOf().
  void Add(int rank, std::int64_t tokens, TimePoint now);
  // For each engine, the chance with which to count on its free tokens; each
  // prompt considers a few engines. `hosts`: all that send to them.
  std::vector<double> Chances(int rank,
                              const std::vector<std::int64_t>& free_tokens,
                              int hosts,
                              TimePoint now) const;

 private:
  // Tokens that were looked for in the last kNewsDelay, older ones fading.
  struct Demand {
    double tokens = 0;
    TimePoint at{};

    double Until(TimePoint now) const;
  };

  // By prompts of this rank and those before it.
  double LookedFor(int rank, TimePoint now) const;

  std::map<int, Demand> demands_;  // by rank
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_ROOM_ODDS_H_
