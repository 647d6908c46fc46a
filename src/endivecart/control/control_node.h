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

// A host on which a revision is not in force yet, and why.
struct BehindHost {
  HostId host;
  Revision revision = 0;
  std::string reason;

  bool operator==(const BehindHost&) const = default;
};

struct ForceReport {
  Revision revision = 0;
  bool in_force = false;  // no host with a freshness lease is behind
  std::vector<BehindHost> behind;

  bool operator==(const ForceReport&) const = default;
};

struct ControlOptions {
  HostId self;
  DomainId domain;
  std::vector<settings::HostEntry> hosts;
  MemberId member;             // of the data folder; empty without one
  bool is_founder = false;     // the data folder began with the site
  std::string first_document;  // proposed while there is no configuration
  std::uint64_t seed = 1;
  std::uint64_t compact_entries = 2000;
};

// One host's part in control: the replicated log if it has a data folder, and
// following the configuration in any case. Does no I/O but through its storage
// and hooks, and reads no clock but the Unix time hook. Belongs to one thread.
class ControlNode {
 public:
  struct Hooks {
    std::function<void(const HostId& to, wire::Envelope)> send;
    std::function<void(configuration::ConfigurationPtr)> on_configuration;
    std::function<void(const std::set<HostId>& down, std::uint64_t epoch)>
        on_down_hosts;
    // Unix time in ms; only for records and retention.
    std::function<std::uint64_t()> unix_ms;
    // The disk failed: this process must not go on as a voter.
    std::function<void(const StorageError&)> on_disk_failure;
  };
  // Nothing if the outcome could not be learnt in time.
  using Callback = std::function<void(std::optional<wire::Outcome>)>;

  // `storage` may be null; otherwise it must outlive the node.
  ControlNode(ControlOptions options,
              Storage* storage,
              Hooks hooks,
              TimePoint now);

  void Tick(TimePoint now);
  void OnEnvelope(const wire::Envelope& envelope, TimePoint now);
  // Has a command decided, here or by the leader. It may be sent several times
  // and must be idempotent. `callback` is called once, from a later call.
  void Propose(wire::Command command,
               TimePoint deadline,
               Callback callback,
               TimePoint now);

  // Whether this host knows that its configuration is the newest.
  bool Fresh(TimePoint now) const;
  const configuration::ConfigurationPtr& configuration() const {
    return current_;
  }
  const std::set<HostId>& down_hosts() const { return down_hosts_; }
  std::uint64_t down_epoch() const { return down_epoch_; }

  // Leader only; nothing elsewhere.
  std::optional<ForceReport> Force(Revision revision, TimePoint now) const;
  bool IsLeader() const;
  HostId LeaderHost() const;
  std::uint64_t Term() const;
  // Voters only; null elsewhere.
  const StateMachine* machine() const;
  const RaftCore* core() const { return core_ ? &*core_ : nullptr; }
  // Adds, promotes or removes a member; leader only.
  Result<std::uint64_t, RaftError> ChangeVoters(const std::string& action,
                                                const MemberId& member,
                                                TimePoint now);
  // The member that a host's messages last came from.
  MemberId SeenMember(const HostId& host) const;

 private:
  struct Proposal {
    wire::Command command;
    TimePoint deadline;
    Callback callback;
    TimePoint sent_at{};
  };
  struct Pending {  // at the leader, by log index
    std::uint64_t term = 0;
    std::optional<std::uint64_t> own;  // key in proposals_
    std::optional<std::pair<HostId, std::uint64_t>> asker;
  };

  void Pump(TimePoint now);
  void PumpRaft(TimePoint now);
  bool Persist(const RaftReady& ready);
  void SendRaft(wire::RaftMessage message);
  void ApplyCommitted(const wire::LogEntry& entry, TimePoint now);
  void Answer(const Pending& pending, const wire::Outcome& outcome);
  void CompactIfLong();
  void OnRoleChange(TimePoint now);
  void Publish(Revision revision, const std::string& document);
  void PublishMachine(TimePoint now);
  void SetDownHosts(const std::set<HostId>& down, std::uint64_t epoch);
  void LeaderDuties(TimePoint now);
  void MarkHosts(TimePoint now);
  void ProposeLocally(std::uint64_t key, TimePoint now);
  void SendProposals(TimePoint now);
  void ExpireProposals(TimePoint now);
  void Poll(TimePoint now);
  std::optional<HostId> ChooseParent(TimePoint now);
  void PushNews(TimePoint now);
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
  std::optional<TimePoint> OwnContact(TimePoint now) const;

  const ControlOptions options_;
  Storage* storage_;
  const Hooks hooks_;
  std::optional<RaftCore> core_;
  std::optional<StateMachine> machine_;
  std::string snapshot_state_;  // of the newest snapshot
  bool news_to_push_ = false;
  std::optional<RaftReady> stalled_;  // found no room on the disk
  RaftRole last_role_ = RaftRole::kFollower;
  TimePoint leader_since_{};
  TimePoint started_at_;
  // Until then, leases may be out of which no voter's report tells.
  TimePoint unreported_until_{};
  configuration::ConfigurationPtr current_;
  std::set<HostId> down_hosts_;
  std::uint64_t down_epoch_ = 0;
  membership::FreshnessLease freshness_;
  FollowerTracker followers_;
  std::map<HostId, MemberId> seen_members_;
  HostId leader_hint_;
  HostId parent_;
  TimePoint parent_heard_{};
  TimePoint parent_since_{};
  std::size_t parent_turn_ = 0;
  TimePoint poll_due_{};
  TimePoint mark_due_{};
  std::uint64_t next_proposal_ = 1;
  std::map<std::uint64_t, Proposal> proposals_;
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_CONTROL_NODE_H_
