#ifndef ENDIVECART_ENTRY_DISPATCHER_STATE_H_
#define ENDIVECART_ENTRY_DISPATCHER_STATE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "endivecart/admission/admission.h"
#include "endivecart/entry/dispatcher.h"
#include "endivecart/entry/upstream_table.h"

namespace endivecart::entry {

// Recent rate at which queued work was served.
class ServiceRate {
 public:
  void OnServed(double cost, TimePoint now) {
    if (now - window_start_ > kWindow) {
      last_rate_ = Rate(now);
      window_start_ = now;
      cost_ = 0;
    }
    cost_ += cost;
  }
  // Returns the cost served per millisecond; 0 if unknown.
  double Rate(TimePoint now) const {
    const double length = MillisBetween(window_start_, now);
    if (length < static_cast<double>(kWindow.count()) / 4)
      return last_rate_;
    return length > static_cast<double>(kWindow.count()) * 4 ? 0
                                                             : cost_ / length;
  }

 private:
  static constexpr Millis kWindow{2000};

  TimePoint window_start_{};
  double cost_ = 0;
  double last_rate_ = 0;
};

struct CustomerState {
  admission::TokenBucket bucket;
  routing::RetryBudget retries;
  int waiting = 0;
};

// A thread that waits for its placement.
struct Waiter {
  const PlacementRequest* request = nullptr;
  VersionId version;
  cache::PromptPieces pieces;
  Revision chosen_at_revision = 0;  // when its version was chosen
  bool needs_customer_slot = false;
  routing::RoutingErrorCode last_error = routing::RoutingErrorCode::kNoFreeSlot;
  std::optional<Placement> placement;
  std::optional<PlacementError> error;
  std::condition_variable changed;
};

// Internal. The state of a dispatcher, guarded by one lock.
class Dispatcher::State {
 public:
  State(const settings::HostSettings& settings,
        RoutingPolicy policy,
        Hooks hooks,
        MetricsRegistry& metrics)
      : settings_(settings),
        policy_(policy),
        hooks_(std::move(hooks)),
        metrics_(metrics),
        hints_(kMaxHintedPieces) {
    for (const settings::StoreEntry& store : settings.stores) {
      links_.try_emplace(store.id,
                         store.link_bytes_per_s /
                             static_cast<std::int64_t>(settings.hosts.size()),
                         hooks_.now());
    }
  }

  void SetConfiguration(configuration::ConfigurationPtr configuration);
  void RefreshAndServe();
  Result<Placement, PlacementError> Place(const PlacementRequest& request,
                                          bool first);
  void Finish(const Placement& placement,
              const std::string& class_name,
              const AttemptReport& report);
  void ReleaseCustomer(const CustomerId& customer);
  void ConfigureBuckets(TimePoint now);
  void CountEngineHint(const Placement& placement, const AttemptReport& report);

  std::mutex mutex_;
  const settings::HostSettings settings_;
  const RoutingPolicy policy_;
  const Hooks hooks_;
  MetricsRegistry& metrics_;
  configuration::ConfigurationPtr configuration_;
  UpstreamTable table_;
  membership::SlotBorrower slots_;
  cache::StoreIndex index_;
  cache::EngineHints hints_;
  std::map<std::string, cache::LinkBudget> links_;
  std::map<CustomerId, CustomerState> customers_;
  int running_ = 0;
  bool stopping_ = false;

 private:
  static constexpr std::size_t kMaxHintedPieces = 200000;

  Result<Waiter*, PlacementError> Enqueue(const PlacementRequest& request,
                                          bool first,
                                          Waiter& waiter);
  std::optional<PlacementError> CheckLimits(const PlacementRequest& request,
                                            TimePoint now);
  std::optional<PlacementError> CheckExpectedWait(
      const PlacementRequest& request,
      TimePoint now);
  void Serve(TimePoint now);
  bool TryServe(Waiter& waiter, TimePoint now);
  Result<routing::Decision, routing::RoutingError> DecideFor(
      const Waiter& waiter,
      const std::vector<cache::StoredPrefix>& stored,
      std::vector<routing::StoreSource>& sources,
      TimePoint now);
  void FallBackToPromoted(Waiter& waiter);
  Placement MakePlacement(const Waiter& waiter,
                          const routing::Decision& decision,
                          const std::vector<cache::StoredPrefix>& stored,
                          TimePoint now);
  void CheckPlacement(const Waiter& waiter, const Placement& placement) const;
  void LogPlacement(const Waiter& waiter,
                    const Placement& placement,
                    const routing::Decision& decision) const;
  void UpdateDemand(TimePoint now);

  admission::FairQueue queue_;
  std::map<std::uint64_t, Waiter*> waiters_;
  std::map<ModelId, ServiceRate> service_rate_;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_placement_ = 1;
};

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_DISPATCHER_STATE_H_
