#ifndef ENDIVECART_FLEET_CACHE_SAVE_BATCHES_H_
#define ENDIVECART_FLEET_CACHE_SAVE_BATCHES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "endivecart/fleet/cache_catalog.h"

namespace endivecart::fleet {

// Logs the leader's grants of saves before they are answered, so that the next
// leader knows them even if no process has survived. One batch is under way at
// a time, and claims that arrive meanwhile wait for the next one.
class CacheSaveBatches {
 public:
  struct Hooks {
    // Appends the command to the replicated log. Calls `done` once, possibly
    // before returning, with whether the command is known to be decided.
    std::function<void(const wire::FleetCommand& command,
                       std::function<void(bool is_decided)> done)>
        propose;
    std::function<void(const HostId&, const wire::CacheSaveGrant&)> answer;
  };

  // Bounds the processor time of the control hosts: 50 commits a second.
  static constexpr Millis kMinInterval{20};
  // No batch is begun for this long after one failed.
  static constexpr Millis kFailurePause{1000};
  // Claims for parts beyond these are denied while as many wait.
  static constexpr std::size_t kMaxParts = 5000;
  // Grants that ended, in one command.
  static constexpr std::size_t kMaxEnded = 5000;

  // Both must outlive this object.
  CacheSaveBatches(CacheCatalog& catalog, TimerService& timers, Hooks hooks);

  // To be called after the catalogue's. `is_log_complete`: the log has all
  // saves of earlier leaders that may still begin.
  void OnLeadershipGained(bool is_log_complete);
  void OnLeadershipLost();
  // Both only while this process is the confirmed leader.
  void Tick();
  void OnClaim(const HostId& host, const wire::CacheSaveClaim& claim);

 private:
  struct Waiting {
    HostId host;
    wire::CacheSaveGrant grant;
    std::uint32_t lifetime_ms = 0;
    TimePoint claimed_at{};
  };

  void ProposeIfDue(TimePoint now);
  // Drops claims whose requests have been sent without a grant meanwhile.
  void DropLate(TimePoint now);
  wire::FleetCommand NextCommand(TimePoint now);
  void Propose(TimePoint now);
  void OnOutcome(std::uint64_t batch, bool is_decided);

  CacheCatalog& catalog_;
  TimerService& timers_;
  const Hooks hooks_;
  bool is_leader_ = false;
  bool is_log_complete_ = false;
  // The log says that this leader logs its grants.
  bool is_announced_ = false;
  std::uint64_t batch_ = 0;  // the newest
  bool is_under_way_ = false;
  TimePoint next_at_{};
  std::vector<Waiting> waiting_;
  std::size_t waiting_parts_ = 0;
  // Of the batch under way.
  std::vector<Waiting> proposed_;
  std::vector<CacheSaveLedger::Outstanding> proposed_ended_;
  std::unique_ptr<TimerSubscription> timer_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_CACHE_SAVE_BATCHES_H_
