#ifndef ENDIVECART_FLEET_WEIGHTS_CONDUCTOR_H_
#define ENDIVECART_FLEET_WEIGHTS_CONDUCTOR_H_

#include <map>
#include <optional>
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
  // Orders that the upstream has accepted before. With another number it
  // refuses: an order that comes late doesn't undo a newer one.
  std::uint64_t orders_before = 0;

  bool operator==(const WeightsOrder&) const = default;
};

// How an order ended, as far as it is known.
enum class WeightsOrderEnd {
  kAccepted,  // it is being carried out
  kHolds,     // the upstream has these weights already
  kBusy,      // another order is being carried out, or was accepted before
  kRefused,   // it isn't carried out
  kUnknown,   // no answer: it may be carried out now or later
};

std::string_view WeightsOrderEndName(WeightsOrderEnd end);

// A question to an upstream for its state.
struct WeightsCheck {
  UpstreamId upstream;
  settings::Endpoint address;
  ModelId model;

  bool operator==(const WeightsCheck&) const = default;
};

// An upstream's answer, a little behind its real state.
struct WeightsReport {
  std::uint64_t version = 0;  // of the model's weights
  std::uint64_t orders = 0;   // that it has accepted since its start
  bool is_busy = false;       // with an order

  bool operator==(const WeightsReport&) const = default;
};

// Brings all upstreams to the newest named weights, a part of them at a time,
// so that the others keep serving and loads don't slow each other. Only the
// process that holds office gives orders, and a new one waits until orders of
// the one before can no longer arrive.
class WeightsConductor {
 public:
  struct Options {
    Millis lease{3000};
    // Of the upstreams with the model, at work on orders at the same time.
    double parallel_share = 0.34;
    int least_parallel = 2;

    bool operator==(const Options&) const = default;
  };

  explicit WeightsConductor(Options options);

  // Called often. `has_office`: this process leads and a quorum agrees.
  std::vector<WeightsOrder> NextOrders(const Decisions& decisions,
                                       const upstreams::UpstreamRegistry& roster,
                                       bool has_office,
                                       std::uint64_t term,
                                       TimePoint now);
  std::vector<WeightsCheck> NextChecks(const upstreams::UpstreamRegistry& roster,
                                       TimePoint now);

  void OnOrderEnd(const UpstreamId& upstream,
                  WeightsOrderEnd end,
                  TimePoint now);
  void OnReport(const UpstreamId& upstream,
                const ModelId& model,
                const WeightsReport& report,
                TimePoint now);

  // Upstreams that had better get no new requests: they are about to load.
  std::vector<UpstreamId> Resting() const;

 private:
  enum class Step {
    kAsking,    // for its state, before the order
    kOrdering,  // the order is to be sent, or was sent without an answer yet
    kLoading,   // the order is, or may be, being carried out
    kOver,
  };

  struct Work {
    ModelId model;
    std::uint64_t version = 0;
    std::uint64_t born_ms = 0;
    Step step = Step::kOver;
    TimePoint began_at;
    TimePoint ordered_at{};
    bool order_sent = false;
    std::uint64_t orders_before = 0;
    TimePoint next_check{};
    TimePoint not_before{};           // of the next try
    std::uint64_t known_version = 0;  // as told since
  };

  std::uint64_t VersionAt(const upstreams::AnnouncedUpstream& upstream,
                          const ModelId& model) const;
  int CountUnderWay(const upstreams::UpstreamRegistry& roster, TimePoint now);
  void BeginWork(const Decisions& decisions,
                 const upstreams::UpstreamRegistry& roster,
                 TimePoint now);

  const Options options_;
  bool had_office_ = false;
  std::uint64_t office_term_ = 0;
  TimePoint office_since_{};
  std::map<UpstreamId, Work> work_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_WEIGHTS_CONDUCTOR_H_
