#ifndef ENDIVECART_CONTROL_CONTROL_NODE_H_
#define ENDIVECART_CONTROL_CONTROL_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/control/follower_tracker.h"
#include "endivecart/control/raft_core.h"
#include "endivecart/control/state_machine.h"
#include "endivecart/control/storage.h"
#include "endivecart/membership/membership.h"
#include "endivecart/settings/settings.h"
#include "endivecart/transport/transport.h"

namespace endivecart::control {

// A host on which a revision is not in force yet, with the reason.
struct LaggingHost {
  HostId host;
  Revision revision = 0;
  std::string reason;

  bool operator==(const LaggingHost&) const = default;
};

// Whether a revision is in force on all hosts.
struct InForceStatus {
  Revision revision = 0;
  bool in_force = false;  // no host with a freshness lease lags
  std::vector<LaggingHost> lagging;

  bool operator==(const InForceStatus&) const = default;
};

struct ControlOptions {
  HostId self;
  DomainId domain;
  std::vector<settings::HostEntry> hosts;
  MemberId member;             // empty if there is no data folder
  bool is_founder = false;     // data folder created with the site
  std::string first_document;  // proposed if there is no configuration
  std::uint64_t seed = 1;
  std::uint64_t compact_entries = 2000;
};

// Control plane of one host: takes part in the Raft log if the host has a data
// folder, and follows the configuration in any case. Does I/O only through its
// storage and hooks, and reads no clock but the Unix time hook. Not
// thread-safe.
class ControlNode {
 public:
  struct Hooks {
    std::function<void(const HostId& to, wire::Envelope)> send;
    std::function<void(configuration::ConfigurationPtr)> on_configuration;
    std::function<void(const std::set<HostId>& down, std::uint64_t epoch)>
        on_down_hosts;
    // Returns the Unix time in ms; used only for records and retention.
    std::function<std::uint64_t()> unix_ms;
    // Called if the disk failed: this process must not continue as a voter.
    std::function<void(const StorageError&)> on_disk_failure;
  };
  // Receives the outcome, or nullopt if it is still unknown at the deadline.
  using Callback = std::function<void(std::optional<wire::Outcome>)>;

  // `storage` may be null; otherwise it must outlive the object.
  ControlNode(ControlOptions options,
              Storage* storage,
              Hooks hooks,
              TimePoint now);

  void Tick(TimePoint now);
  void OnEnvelope(const wire::Envelope& envelope, TimePoint now);
  // Proposes a command, here or through the leader. The command may be sent
  // several times and must be idempotent. `callback` is called once, from
  // within a later call of a member function.
  void Propose(wire::Command command,
               TimePoint deadline,
               Callback callback,
               TimePoint now);

  // Returns whether this host's configuration is known to be the newest.
  bool IsFresh(TimePoint now) const;
  const configuration::ConfigurationPtr& configuration() const {
    return current_;
  }
  const std::set<HostId>& down_hosts() const { return down_hosts_; }
  std::uint64_t down_epoch() const { return down_epoch_; }

  // Returns whether `revision` is in force; nullopt if this host is not the
  // leader.
  std::optional<InForceStatus> GetInForceStatus(Revision revision,
                                                TimePoint now) const;
  bool IsLeader() const;
  HostId LeaderHost() const;
  std::uint64_t Term() const;
  // Returns nullptr if this host has no data folder.
  const StateMachine* machine() const;
  const RaftCore* core() const { return core_ ? &*core_ : nullptr; }
  // Starts a change of the voter set; leader only. `action` is "add", "promote"
  // or "remove". Returns the log index of the change.
  Result<std::uint64_t, RaftError> ChangeVoters(const std::string& action,
                                                const MemberId& member,
                                                TimePoint now);
  // Returns the member that last sent a message from `host`; empty if none did.
  MemberId LastSeenMember(const HostId& host) const;

 private:
  struct Proposal {
    wire::Command command;
    TimePoint deadline;
    Callback callback;
    TimePoint sent_at{};
  };
  // An entry whose outcome is awaited, at the leader.
  struct Pending {
    std::uint64_t term = 0;
    std::optional<std::uint64_t> local_proposal;  // key in proposals_
    std::optional<std::pair<HostId, std::uint64_t>> requester;
  };

  void Pump(TimePoint now);
  void PumpRaft(TimePoint now);
  bool Persist(const RaftReady& ready);
  void SendRaft(wire::RaftMessage message);
  void ApplyCommitted(const wire::LogEntry& entry, TimePoint now);
  void SendOutcome(const Pending& pending, const wire::Outcome& outcome);
  void MaybeCompact();
  void OnRoleChange(TimePoint now);
  void Publish(Revision revision, const std::string& document);
  void PublishMachineState(TimePoint now);
  void SetDownHosts(const std::set<HostId>& down, std::uint64_t epoch);
  void RunLeaderTasks(TimePoint now);
  void UpdateHostStates(TimePoint now);
  void ProposeLocally(std::uint64_t key, TimePoint now);
  void SendProposals(TimePoint now);
  void ExpireProposals(TimePoint now);
  void Poll(TimePoint now);
  std::optional<HostId> ChooseParent(TimePoint now);
  void PushUpdates(TimePoint now);
  void SendFollowReply(const HostId& to, TimePoint now);
  void OnFollowPoll(const HostId& from,
                    const wire::FollowPoll& poll,
                    TimePoint now);
  void OnFollowReply(const HostId& from,
                     const wire::FollowReply& reply,
                     TimePoint now);
  bool AdoptConfiguration(const wire::FollowReply& reply);
  void OnProposeRequest(const HostId& from,
                        const wire::ProposeRequest& request,
                        TimePoint now);
  void OnProposeReply(const wire::ProposeReply& reply);
  bool IsActiveVoter() const;
  std::optional<TimePoint> LatestContact(TimePoint now) const;

  const ControlOptions options_;
  Storage* storage_;
  const Hooks hooks_;
  std::optional<RaftCore> core_;
  std::optional<StateMachine> machine_;
  std::string snapshot_state_;  // of the newest snapshot
  bool push_pending_ = false;
  std::optional<RaftReady> stalled_;  // not persisted: the disk is full
  RaftRole last_role_ = RaftRole::kFollower;
  TimePoint leader_since_{};
  TimePoint started_at_;
  // Until then, a follower of a recently restarted voter may hold a lease that
  // no voter reports.
  TimePoint unreported_leases_until_{};
  configuration::ConfigurationPtr current_;
  std::set<HostId> down_hosts_;
  std::uint64_t down_epoch_ = 0;
  membership::FreshnessLease freshness_;
  FollowerTracker followers_;
  std::map<HostId, MemberId> last_seen_members_;
  HostId leader_hint_;
  HostId parent_;
  TimePoint parent_replied_at_{};
  TimePoint parent_since_{};
  std::size_t parent_index_ = 0;
  TimePoint poll_due_{};
  TimePoint leader_tasks_due_{};
  std::uint64_t next_proposal_ = 1;
  std::map<std::uint64_t, Proposal> proposals_;
  std::map<std::uint64_t, Pending> pending_;  // by log index
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_CONTROL_NODE_H_
