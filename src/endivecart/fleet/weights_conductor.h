#ifndef ENDIVECART_FLEET_WEIGHTS_CONDUCTOR_H_
#define ENDIVECART_FLEET_WEIGHTS_CONDUCTOR_H_

#include <map>
#include <vector>

#include "endivecart/fleet/decisions.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::fleet {

// An order to an upstream to load a version of a model's weights.
struct WeightsOrder {
  UpstreamId upstream;
  settings::Endpoint address;
  ModelId model;
  std::uint64_t version = 0;
  std::uint64_t fencing_number = 0;

  bool operator==(const WeightsOrder&) const = default;
};

// How an order ended, as far as it is known.
enum class WeightsOrderEnd {
  kAccepted,  // it is being carried out
  kHolds,     // the upstream has these weights already
  kBusy,      // another order is being carried out there
  kRefused,   // it isn't carried out
  kUnknown,   // no answer: it may be carried out now or later
};

std::string_view WeightsOrderEndName(WeightsOrderEnd end);

// A question to an upstream whether its order is done.
struct WeightsCheck {
  UpstreamId upstream;
  settings::Endpoint address;
  ModelId model;

  bool operator==(const WeightsCheck&) const = default;
};

// Brings all upstreams to the newest named weights, a few at a time, so that
// the others keep serving and loads don't slow each other. Only the process
// that holds office gives orders, and a new one waits until orders of the one
// before can no longer arrive.
class WeightsConductor {
 public:
  struct Options {
    Millis lease{3000};
    int max_parallel = 2;

    bool operator==(const Options&) const = default;
  };

  explicit WeightsConductor(Options options);

  // Called often. `has_office`: this process leads and a quorum agrees.
  std::vector<WeightsOrder> NextOrders(
      const Decisions& decisions,
      const upstreams::AnnouncedRoster& roster,
      bool has_office,
      std::uint64_t term,
      TimePoint now);
  std::vector<WeightsCheck> NextChecks(
      const upstreams::AnnouncedRoster& roster,
      TimePoint now);

  void OnOrderEnd(const UpstreamId& upstream,
                  WeightsOrderEnd end,
                  TimePoint now);
  // An upstream's own word on the version of its weights.
  void OnVersion(const UpstreamId& upstream,
                 const ModelId& model,
                 std::uint64_t version,
                 TimePoint now);

 private:
  struct Work {
    ModelId model;
    std::uint64_t version = 0;
    std::uint64_t born_ms = 0;
    TimePoint ordered_at;
    bool is_under_way = false;  // ordered, and not known to be done or refused
    TimePoint next_try{};
    TimePoint next_check{};
    std::uint64_t known_version = 0;  // as told since the order
  };

  std::uint64_t VersionAt(const upstreams::AnnouncedUpstream& upstream,
                          const ModelId& model) const;

  const Options options_;
  bool had_office_ = false;
  std::uint64_t office_term_ = 0;
  TimePoint office_since_{};
  std::map<UpstreamId, Work> work_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_WEIGHTS_CONDUCTOR_H_
