#ifndef ENDIVECART_FLEET_WEIGHTS_COORDINATOR_H_
#define ENDIVECART_FLEET_WEIGHTS_COORDINATOR_H_

#include <map>
#include <optional>
#include <vector>

#include "endivecart/fleet/decisions.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::fleet {

// An order to an upstream to load a version of the weights of a model.
struct WeightsOrder {
  UpstreamId upstream;
  settings::Endpoint address;
  ModelId model;
  std::uint64_t version = 0;
  std::uint64_t fencing_number = 0;
  // The number of orders that the upstream has accepted so far. It refuses the
  // order if this doesn't match, so that a delayed order can't undo a newer
  // one.
  std::uint64_t orders_before = 0;

  bool operator==(const WeightsOrder&) const = default;
};

// The known outcome of an order.
enum class WeightsOrderResult {
  kAccepted,       // the upstream is executing it
  kAlreadyLoaded,  // the upstream has these weights already
  kBusy,           // another order is in progress or was accepted first
  kRefused,        // the order won't be executed
  kUnknown,        // no answer: it may be executed now or later
};

std::string_view WeightsOrderResultName(WeightsOrderResult result);

// A request for the weights version that an upstream has loaded.
struct WeightsCheck {
  UpstreamId upstream;
  settings::Endpoint address;
  ModelId model;

  bool operator==(const WeightsCheck&) const = default;
};

// An upstream's answer to a WeightsCheck. It may lag behind the actual state.
struct WeightsReport {
  std::uint64_t version = 0;  // of the model's weights
  std::uint64_t orders = 0;   // accepted since the upstream started
  bool is_busy = false;       // executing an order

  bool operator==(const WeightsReport&) const = default;
};

// Brings all upstreams to the newest decided weights, a fraction of them at a
// time so that the others keep serving and concurrent loads don't slow each
// other down. Only a confirmed leader sends orders, and a new leader waits
// until orders of the previous one can no longer arrive.
class WeightsCoordinator {
 public:
  struct Options {
    // How long an order of a former leader may still arrive.
    Millis lease{3000};
    // The fraction of the ready upstreams with models that may load at a time.
    double parallel_share = 0.34;
    int min_parallel = 2;

    bool operator==(const Options&) const = default;
  };

  explicit WeightsCoordinator(Options options);

  // Returns the orders to send now. Must be called regularly, with
  // `is_confirmed_leader` as of FleetVoter::IsConfirmedLeader().
  std::vector<WeightsOrder> NextOrders(
      const Decisions& decisions,
      const upstreams::UpstreamRegistry& roster,
      bool is_confirmed_leader,
      std::uint64_t term,
      TimePoint now);
  // Returns the checks to send now.
  std::vector<WeightsCheck> NextChecks(
      const upstreams::UpstreamRegistry& roster,
      TimePoint now);

  void OnOrderResult(const UpstreamId& upstream,
                     WeightsOrderResult result,
                     TimePoint now);
  void OnReport(const UpstreamId& upstream,
                const ModelId& model,
                const WeightsReport& report,
                TimePoint now);

  // Returns the upstreams that should get no new requests, because they load
  // new weights or soon will.
  std::vector<UpstreamId> QuiescedUpstreams() const;

 private:
  enum class Step {
    kChecking,  // requesting its state before the order
    kOrdering,  // the order is due, or was sent and not answered yet
    kLoading,   // the order is, or may be, in progress
    kDone,
  };

  struct Work {
    ModelId model;
    std::uint64_t version = 0;
    std::uint64_t start_time_ms = 0;
    Step step = Step::kDone;
    TimePoint started_at;
    TimePoint ordered_at{};
    bool order_sent = false;
    std::uint64_t orders_before = 0;
    TimePoint next_check{};
    TimePoint not_before{};           // of the next attempt
    std::uint64_t known_version = 0;  // as reported since the start
  };

  std::uint64_t VersionAt(const upstreams::AnnouncedUpstream& upstream,
                          const ModelId& model) const;
  int CountInProgress(const upstreams::UpstreamRegistry& roster, TimePoint now);
  void StartWork(const Decisions& decisions,
                 const upstreams::UpstreamRegistry& roster,
                 TimePoint now);

  const Options options_;
  bool is_confirmed_leader_ = false;
  std::uint64_t leader_term_ = 0;
  TimePoint leader_since_{};
  std::map<UpstreamId, Work> work_;
  TimePoint scanned_at_{};  // all upstreams, for outdated weights
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_WEIGHTS_COORDINATOR_H_
