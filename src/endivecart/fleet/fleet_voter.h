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
#include "endivecart/fleet/voter_set_manager.h"

namespace endivecart::fleet {

struct FleetVoterOptions {
  control::MemberId member;
  bool is_founder = false;
  std::vector<HostId> founders;  // the initial voters of a new fleet
  std::uint64_t seed = 1;        // for election timeouts
  // The log is compacted into a snapshot once it exceeds one of these.
  std::size_t compact_bytes = 2UL << 20;
  std::size_t compact_entries = 500;
  // A voter that has been silent for longer may be replaced by another member.
  Millis replace_after{1500};

  bool operator==(const FleetVoterOptions&) const = default;
};

// The outcome of a proposal.
enum class ProposalResult {
  kDecided,    // committed: durable at a quorum
  kNotLeader,  // this process isn't the leader; nothing was appended
  kUnknown,    // it may still be committed later
};

using DiskResult = Result<bool, control::StorageError>;

// A voter or learner of the fleet's replicated log. All network, disk and clock
// access goes through hooks.
class FleetVoter {
 public:
  using ProposalCallback = std::function<void(ProposalResult)>;
  using ConfirmCallback = std::function<void(bool)>;

  struct Hooks {
    std::function<void(const HostId&, wire::Envelope)> send;
    // Runs jobs sequentially on another thread and calls `done` on the caller's
    // thread.
    std::function<void(std::function<DiskResult()> job,
                       std::function<void(const DiskResult&)> done)>
        run_on_disk;
    std::function<void(const Decisions&)> on_decisions;
    // Called on a disk error other than a full disk: the contents of the disk
    // are uncertain from then on.
    std::function<void(const control::StorageError&)> on_disk_failure;
    std::function<TimePoint()> now;
  };

  // `storage` must outlive the voter.
  FleetVoter(FleetVoterOptions options, control::Storage* storage, Hooks hooks);

  void Tick();
  void OnRaft(const HostId& from, const wire::RaftMessage& message);
  // Records contact with a process that has a data folder and so can vote.
  void OnMember(const control::MemberId& member);

  // Appends a command to the log. Calls `callback` exactly once, possibly
  // before returning, and with kUnknown if the outcome isn't known within
  // `timeout`.
  void Propose(const wire::FleetCommand& command,
               Millis timeout,
               ProposalCallback callback);
  // Calls `callback` with true once decisions() is confirmed to include
  // everything that was decided before this call, or with false if that can't
  // be confirmed within `timeout`.
  void Confirm(Millis timeout, ConfirmCallback callback);

  bool IsLeader() const;
  // Returns whether this process leads, a quorum has answered it recently
  // enough that no other leader can have been elected, and decisions() includes
  // everything that earlier leaders committed.
  bool IsConfirmedLeader() const;
  bool HasEmptyLog() const;
  // Returns the last index of the log when this process started.
  std::uint64_t loaded_index() const { return loaded_index_; }
  // Returns an empty id if the leader is unknown.
  HostId LeaderHost() const;
  std::uint64_t term() const { return core_->term(); }
  const Decisions& decisions() const { return log_.decisions(); }
  const SaveGrantLog& save_grants() const { return log_.save_grants(); }
  const duties::UsageLog& usage_log() const { return log_.usage_log(); }
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
    // Set at the first commit of this leader's own term that is seen after the
    // request: only from then on does the commit index cover everything that
    // earlier leaders committed.
    std::optional<std::uint64_t> read_index;
    ConfirmCallback callback;
  };

  void LoadState();
  void Pump();
  // Sends heartbeats and entries to followers without waiting for this host's
  // own disk.
  void SendAppendRequests();
  void OnReadyPersisted(const DiskResult& result);
  void DispatchReady(const control::RaftReady& ready);
  void Apply(const wire::LogEntry& entry);
  void SendRaft(wire::RaftMessage message);
  void CompactIfNeeded();
  void OnRoleChange();
  void UpdateVoterSet();
  void ResolveConfirmations();
  void ExpireProposals();

  const FleetVoterOptions options_;
  control::Storage* const storage_;
  const Hooks hooks_;
  std::optional<control::RaftCore> core_;
  DecisionLog log_;
  VoterSetManager voter_set_manager_;
  std::string snapshot_state_;
  // The last entry that decisions() includes. Lags behind the core's delivered
  // index while the disk writes the batch that contains the entries.
  std::uint64_t applied_index_ = 0;
  std::uint64_t loaded_index_ = 0;
  // The newest entry whose proposer was told that it is decided.
  std::uint64_t acknowledged_index_ = 0;
  bool disk_busy_ = false;
  std::optional<control::RaftReady> persisting_;
  // When the batch that is not persisted yet, or the snapshot, was begun.
  TimePoint disk_work_since_{};
  TimePoint retry_disk_at_{};
  std::size_t bytes_since_snapshot_ = 0;
  control::RaftRole last_role_ = control::RaftRole::kFollower;
  HostId last_leader_;
  std::map<std::uint64_t, Proposal> proposals_;  // by log index
  std::deque<Confirmation> confirmations_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_FLEET_VOTER_H_
