#ifndef ENDIVECART_FLEET_WEIGHTS_AGES_H_
#define ENDIVECART_FLEET_WEIGHTS_AGES_H_

#include <cstdint>
#include <map>

#include "endivecart/base/base.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// When each version of the weights was named. The time of a version may only
// move back: if two sources differ, the one that knew the version for longer is
// right.
class WeightsAges {
 public:
  // A version that was named at least this long ago makes older ones
  // irrelevant, so that they are forgotten.
  static constexpr Millis kRetention{600000};

  // Records that a version was named at this time or earlier.
  void Record(const ModelId& model, std::uint64_t version, TimePoint named_at);

  // Returns the newest version that was named at least `age` ago, or 0.
  std::uint64_t NewestNamedBefore(const ModelId& model,
                                  Millis age,
                                  TimePoint now) const;
  // Returns whether some version was named less than `age` ago.
  bool HasYoungerThan(Millis age, TimePoint now) const;

  void AppendTo(wire::FleetUpdate& update, TimePoint now) const;
  void Merge(const wire::FleetUpdate& update, TimePoint now);

 private:
  std::map<ModelId, std::map<std::uint64_t, TimePoint>> named_at_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_WEIGHTS_AGES_H_
