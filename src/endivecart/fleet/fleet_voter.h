#ifndef ENDIVECART_FLEET_FLEET_VOTER_H_
#define ENDIVECART_FLEET_FLEET_VOTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/control/control.h"
#include "endivecart/fleet/decision_log.h"
#include "endivecart/fleet/voter_keeper.h"

namespace endivecart::fleet {

struct FleetVoterOptions {
  control::MemberId member;
  bool is_founder = false;
  std::vector<HostId> founders;  // of a new fleet
  std::uint64_t seed = 1;        // of the election timeouts
  // The log is replaced by a snapshot once its commands exceed this.
  std::size_t compact_bytes = 2UL << 20;
  std::size_t compact_entries = 500;
  // How long a voter is silent before another member may take its place.
  Millis replace_after{1500};

  bool operator==(const FleetVoterOptions&) const = default;
};

// How a proposal ended.
enum class ProposalEnd {
  kDecided,    // committed: synced by a quorum, and will never be lost
  kNotLeader,  // nothing was done here
  kUnknown,    // it may or may not be committed later
};

using DiskResult = Result<bool, control::StorageError>;

// One voter, or learner, of the fleet's replicated log. Sends, syncs and tells
// the time through hooks only.
class FleetVoter {
 public:
  using ProposalCallback = std::function<void(ProposalEnd)>;
  using ConfirmCallback = std::function<void(bool)>;

  struct Hooks {
    std::function<void(const HostId&, wire::Envelope)> send;
    // Runs jobs one after the other, away from the caller's thread, and calls
    // `done` on the caller's thread.
    std::function<void(std::function<DiskResult()> job,
                       std::function<void(const DiskResult&)> done)>
        run_on_disk;
    std::function<void(const Decisions&)> on_decisions;
    // The disk is not to be relied on any more.
    std::function<void(const control::StorageError&)> on_disk_failure;
    std::function<TimePoint()> now;
  };

  // `storage` must outlive the voter.
  FleetVoter(FleetVoterOptions options, control::Storage* storage, Hooks hooks);

  void Tick();
  void OnRaft(const HostId& from, const wire::RaftMessage& message);
  // A process with a data folder of its own has been heard of.
  void OnMember(const control::MemberId& member);

  // Has a command decided. `callback` is called once, perhaps at once.
  void Propose(const wire::FleetCommand& command,
               Millis patience,
               ProposalCallback callback);
  // Calls back with true once it is sure that decisions() were the newest at
  // some time after this call; with false if that can't be found out in time.
  void Confirm(Millis patience, ConfirmCallback callback);

  bool IsLeader() const;
  // Whether this process leads, and was answered by a quorum lately.
  bool HasOffice() const;
  // Empty while unknown.
  HostId LeaderHost() const;
  std::uint64_t term() const { return core_->term(); }
  const Decisions& decisions() const { return log_.decisions(); }
  std::vector<HostId> VoterHosts() const;
  const control::RaftCore& core() const { return *core_; }

 private:
  struct Proposal {
    std::uint64_t term = 0;
    TimePoint deadline;
    ProposalCallback callback;
  };
  struct Confirmation {
    TimePoint asked_at;
    TimePoint deadline;
    std::uint64_t commit_index = 0;
    ConfirmCallback callback;
  };

  void LoadState();
  void Pump();
  void OnReadyPersisted(const DiskResult& result);
  void HandOut(const control::RaftReady& ready);
  void Apply(const wire::LogEntry& entry);
  void SendRaft(wire::RaftMessage message);
  void CompactIfLong();
  void OnRoleChange();
  void KeepVoters();
  void SettleConfirmations();
  void ExpireProposals();

  const FleetVoterOptions options_;
  control::Storage* const storage_;
  const Hooks hooks_;
  std::optional<control::RaftCore> core_;
  DecisionLog log_;
  VoterKeeper keeper_;
  std::string snapshot_state_;
  bool disk_busy_ = false;
  std::optional<control::RaftReady> persisting_;
  TimePoint retry_disk_at_{};
  std::size_t bytes_since_snapshot_ = 0;
  control::RaftRole last_role_ = control::RaftRole::kFollower;
  HostId last_leader_;
  std::map<std::uint64_t, Proposal> proposals_;  // by log index
  std::deque<Confirmation> confirmations_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_FLEET_VOTER_H_
