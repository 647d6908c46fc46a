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

// Which order of upstreams is used; all but the first are baselines.
enum class RoutingPolicy { kPredicted, kLeastLoaded, kRoundRobin };

// One upstream that this host knows of.
struct ListedUpstream {
  routing::UpstreamView view;
  std::string url;

  bool operator==(const ListedUpstream&) const = default;
};

// Admits requests and gives each attempt a place: plan limits, fair order,
// slots and the routing decision under one lock. Thread-safe.
class Dispatcher {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    // Whether this host's configuration is known to be the newest.
    std::function<bool()> fresh;
    // The version for a new request of this model and class; `draw` in
    // [0, 1000) decides about shares.
    std::function<VersionId(const configuration::Model& model,
                            const std::string& class_name,
                            int draw)>
        choose_version;
    // Work waits for slots.
    std::function<void()> on_demand;
    // For judging versions.
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
  // With `idle_too` also for upstreams of which nothing is wanted now.
  std::vector<membership::ResourceWish> Wishes(bool idle_too);
  std::vector<membership::UpstreamEvidence> TakeEvidence(const HostId& home);
  // Re-reads leases and serves who waits; call often.
  void Tick();

  // Inputs from the stores.
  void OnStoredPiece(const std::string& store, const cache::StoredPiece& piece);
  void OnFreedPiece(const std::string& store,
                    const std::string& name,
                    std::uint64_t generation);
  void OnStoreLost(const std::string& store);
  // Books an export over the store's link; false if the link is busy.
  bool TryBookExport(const std::string& store, std::int64_t bytes);
  bool IsStored(const std::string& piece) const;
  std::size_t StoredPieces() const;

  // The configuration in force at this host; null before the first.
  configuration::ConfigurationPtr configuration() const;

  // Admits a request: takes the customer's slot and rate token, waiting its
  // turn if need be, and places its first attempt. Blocks up to the deadline.
  Result<Placement, PlacementError> Admit(const PlacementRequest& request);
  // Places a further attempt of an admitted request.
  Result<Placement, PlacementError> PlaceAgain(const PlacementRequest& request);
  // Takes a retry from the customer's budget.
  bool TryTakeRetry(const CustomerId& customer);
  void OnFirstToken(const Placement& placement, double first_token_ms);
  // Ends one attempt and gives its slot back.
  void Finish(const Placement& placement,
              const std::string& class_name,
              const AttemptReport& report);
  // Ends an admitted request and gives the customer's slot back.
  void Release(const CustomerId& customer);
  // Refuses new requests from now on.
  void StopAdmitting();
  int Running() const;

  std::vector<ListedUpstream> ListUpstreams() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_DISPATCHER_H_
