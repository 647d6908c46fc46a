#ifndef ENDIVECART_ENTRY_DISPATCHER_H_
#define ENDIVECART_ENTRY_DISPATCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/entry/placement.h"
#include "endivecart/membership/membership.h"
#include "endivecart/settings/settings.h"

namespace endivecart::entry {

// How an upstream is chosen; all but the first are baselines for experiments.
enum class RoutingPolicy { kPredicted, kLeastLoaded, kRoundRobin };

// An upstream that is known to this host.
struct ListedUpstream {
  routing::UpstreamView view;
  std::string url;

  bool operator==(const ListedUpstream&) const = default;
};

// Admits requests and places each attempt on an upstream: applies plan limits,
// fair queueing, slot leases and the routing decision under one lock.
// Thread-safe.
class Dispatcher {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    // Returns whether this host's configuration is known to be the newest.
    std::function<bool()> fresh;
    // Returns the version for a new request of this model and class. `draw` in
    // [0, 1000) selects by traffic share.
    std::function<VersionId(const configuration::Model& model,
                            const std::string& class_name,
                            int draw)>
        choose_version;
    // Called when requests wait for slots, or idle slots should be returned.
    std::function<void()> on_demand;
    // Called for each finished attempt, to evaluate versions.
    std::function<void(const Placement&,
                       const std::string& class_name,
                       const AttemptReport&)>
        on_report;
  };

  Dispatcher(const settings::HostSettings& settings,
             RoutingPolicy policy,
             Hooks hooks,
             MetricsRegistry& metrics);
  ~Dispatcher();

  // Inputs from the control side.
  void SetConfiguration(configuration::ConfigurationPtr configuration);
  void OnGrants(const std::vector<membership::ResourceGrant>& grants);
  void OnUpstreams(const HostId& home,
                   const std::vector<membership::Upstream>& upstreams);
  // Returns the slots that this host wants; with `include_idle`, also for
  // upstreams without demand.
  std::vector<membership::ResourceDemand> Demands(bool include_idle);
  std::vector<membership::UpstreamEvidence> TakeEvidence(const HostId& home);
  // Re-reads leases, which expire without an event, and serves waiting
  // requests. To be called periodically.
  void Tick();

  // Inputs from the stores.
  void OnStoredPiece(const std::string& store, const cache::StoredPiece& piece);
  void OnFreedPiece(const std::string& store,
                    const std::string& name,
                    std::uint64_t generation);
  void OnStoreLost(const std::string& store);
  // Books an export on the store's link. Returns false if the link is busy.
  bool TryBookExport(const std::string& store, std::int64_t bytes);
  bool IsStored(const std::string& piece) const;
  std::size_t StoredPieces() const;

  // Returns the configuration in force on this host; null before the first one.
  configuration::ConfigurationPtr configuration() const;

  // Admits a request: takes a rate token and a slot of the customer, waits in
  // the fair queue if necessary, and places the first attempt. Blocks up to the
  // deadline.
  Result<Placement, PlacementError> Admit(const PlacementRequest& request);
  // Places another attempt of an admitted request.
  Result<Placement, PlacementError> PlaceRetry(const PlacementRequest& request);
  // Takes a retry from the customer's budget. Returns false if it is exhausted.
  bool TryTakeRetry(const CustomerId& customer);
  void OnFirstToken(const Placement& placement, double first_token_ms);
  // Ends an attempt and releases its slot.
  void Finish(const Placement& placement,
              const std::string& class_name,
              const AttemptReport& report);
  // Ends an admitted request and releases the customer's slot.
  void Release(const CustomerId& customer);
  // Rejects new requests from now on.
  void StopAdmitting();
  int Running() const;

  std::vector<ListedUpstream> ListUpstreams() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_DISPATCHER_H_
