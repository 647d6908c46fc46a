#ifndef ENDIVECART_CONTROL_RAFT_CORE_H_
#define ENDIVECART_CONTROL_RAFT_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/control/raft_log.h"
#include "endivecart/transport/transport.h"

namespace endivecart::control {

// A voter with its data folder: "HOST@IDENTITY". A host that lost its disk
// comes back as another member.
using MemberId = Id<struct MemberTag>;

MemberId MakeMemberId(const HostId& host, const std::string& identity);
HostId HostOf(const MemberId& member);

enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

std::string_view RaftRoleName(RaftRole role);

struct RaftOptions {
  MemberId self;
  Millis election_min{800};
  Millis election_max{1500};
  Millis heartbeat{250};
  std::uint64_t seed = 1;  // of the election timeouts

  bool operator==(const RaftOptions&) const = default;
};

// What must survive a restart.
struct RaftDurableState {
  std::uint64_t term = 0;
  MemberId voted_for;
  wire::DurableSnapshot snapshot;
  std::vector<wire::LogEntry> entries;  // after the snapshot, without gaps
};

// What the owner carries out, in this order: persist and sync the records and
// the snapshot, call OnPersisted(), send the messages, restore the snapshot's
// state, apply the committed entries.
struct RaftReady {
  std::vector<wire::DurableRecord> records;
  std::optional<wire::DurableSnapshot> snapshot;
  std::vector<wire::RaftMessage> messages;
  std::vector<wire::LogEntry> committed;

  bool empty() const {
    return records.empty() && !snapshot && messages.empty() &&
           committed.empty();
  }
};

enum class RaftErrorCode {
  kNotLeader,
  kChangePending,
  kNotCaughtUp,
  kBadMember
};

struct RaftError {
  RaftErrorCode code;

  bool operator==(const RaftError&) const = default;
};

std::string_view RaftErrorName(RaftErrorCode code);

// The replicated log after Raft (Ongaro and Ousterhout, 2014), with pre-vote,
// check-quorum, a leader lease, learners and changes of one voter at a time.
// Does no I/O and reads no clock.
class RaftCore {
 public:
  RaftCore(RaftOptions options, const RaftDurableState& state, TimePoint now);

  void Tick(TimePoint now);
  void Step(const wire::RaftMessage& message, TimePoint now);
  // Appends a command; returns its index. It is committed once it is handed
  // out as such with the same term.
  Result<std::uint64_t, RaftError> Propose(const std::string& command,
                                           TimePoint now);
  Result<std::uint64_t, RaftError> AddLearner(const MemberId& member,
                                              TimePoint now);
  Result<std::uint64_t, RaftError> Promote(const MemberId& member,
                                           TimePoint now);
  Result<std::uint64_t, RaftError> Remove(const MemberId& member,
                                          TimePoint now);

  // Leader only: sends to all with the next tick, for instance to let them
  // know at once what is committed.
  void Nudge(TimePoint now) { heartbeat_due_ = now; }

  RaftReady TakeReady();
  // Everything of the last TakeReady() is synced.
  void OnPersisted(TimePoint now);
  // The owner holds a synced snapshot of the state at `index`: forgets the
  // entries up to it.
  void CompactTo(const wire::DurableSnapshot& snapshot);

  RaftRole role() const { return role_; }
  std::uint64_t term() const { return term_; }
  const MemberId& leader() const { return leader_; }
  const MemberId& self() const { return options_.self; }
  std::uint64_t commit_index() const { return commit_; }
  // Last committed entry that TakeReady() handed out. The commit index may
  // already be further.
  std::uint64_t handed_out_index() const { return handed_out_; }
  const RaftLog& log() const { return log_; }
  const wire::VoterSet& voters() const { return voters_; }
  const MemberId& voted_for() const { return voted_for_; }
  // Leader only: when the newest contact with a quorum began. Until then no
  // other leader can have committed anything. Empty while unknown, or before
  // an entry of this term is committed.
  std::optional<TimePoint> QuorumContact(TimePoint now) const;
  // The state for learning how far a member is behind.
  std::uint64_t MatchOf(const MemberId& member) const;
  bool IsVoter(const MemberId& member) const;
  // The voter set as of `index`.
  wire::VoterSet VotersAt(std::uint64_t index) const;

 private:
  struct Peer {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    TimePoint acked_send{};  // when the newest acknowledged message was sent
    TimePoint snapshot_sent{};
    TimePoint retry_sent{};  // after a rejection
  };

  void ResetElectionTimer(TimePoint now);
  void BecomeFollower(std::uint64_t term,
                      const MemberId& leader,
                      TimePoint now);
  void StartPreVote(TimePoint now);
  void StartElection(TimePoint now);
  void BecomeLeader(TimePoint now);
  void RecordVote();
  void AskForVotes(bool pre_vote, std::uint64_t term);
  bool HasLeaderContact(TimePoint now) const;
  // When the newest messages were sent that a quorum has answered.
  std::optional<TimePoint> NewestQuorumSend(TimePoint now) const;
  std::uint64_t MatchHint(std::uint64_t previous) const;
  void Send(const MemberId& to, wire::RaftMessage message, std::uint64_t term);
  void SendAppend(const MemberId& to, Peer& peer, TimePoint now);
  void SendSnapshot(const MemberId& to, Peer& peer, TimePoint now);
  void Broadcast(TimePoint now);
  void Append(wire::LogEntry entry);
  void TruncateFrom(std::uint64_t index);
  void RefreshVoters();
  void RefreshPeers();
  Result<std::uint64_t, RaftError> ChangeVoters(const wire::VoterSet& voters,
                                                TimePoint now);
  void AdvanceCommit();
  void SetCommit(std::uint64_t index);
  int QuorumSize() const;

  void OnVoteRequest(const MemberId& from,
                     const wire::RaftMessage& message,
                     TimePoint now);
  void OnVoteReply(const MemberId& from,
                   const wire::RaftMessage& message,
                   TimePoint now);
  void OnAppendRequest(const MemberId& from,
                       const wire::RaftMessage& message,
                       TimePoint now);
  bool TakeEntries(const wire::AppendRequest& request);
  void OnAppendReply(const MemberId& from,
                     const wire::RaftMessage& message,
                     TimePoint now);
  void OnSnapshot(const MemberId& from,
                  const wire::RaftMessage& message,
                  TimePoint now);
  void ReplyAppend(const MemberId& to,
                   bool success,
                   std::uint64_t match,
                   std::uint64_t sent_at);

  const RaftOptions options_;
  std::mt19937_64 random_;
  std::uint64_t term_ = 0;
  MemberId voted_for_;
  RaftLog log_;
  wire::VoterSet snapshot_voters_;
  wire::VoterSet voters_;           // newest in the log, committed or not
  std::uint64_t voters_index_ = 0;  // of the entry that holds them
  RaftRole role_ = RaftRole::kFollower;
  MemberId leader_;
  std::uint64_t commit_ = 0;
  std::uint64_t handed_out_ = 0;  // committed entries given to the owner
  std::uint64_t persisted_ = 0;   // last index known to be synced here
  std::uint64_t taken_ = 0;       // last index in the last TakeReady()
  TimePoint leader_contact_;
  TimePoint election_due_;
  TimePoint heartbeat_due_;
  TimePoint leader_since_;
  std::set<MemberId> votes_;
  std::map<MemberId, Peer> peers_;
  RaftReady ready_;
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_RAFT_CORE_H_
