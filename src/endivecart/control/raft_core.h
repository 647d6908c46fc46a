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
// rejoins as another member.
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
  std::uint64_t seed = 1;  // for randomized election timeouts

  bool operator==(const RaftOptions&) const = default;
};

// State that must survive a restart.
struct RaftDurableState {
  std::uint64_t term = 0;
  MemberId voted_for;
  wire::DurableSnapshot snapshot;
  std::vector<wire::LogEntry> entries;  // after the snapshot, without gaps
};

// Work for the owner, in this order: persist and sync the records and the
// snapshot, call OnPersisted(), send the messages, restore the snapshot's
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

// Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, a leader
// lease, learners and single-server changes of the voter set. Does no I/O and
// reads no clock. Not thread-safe.
class RaftCore {
 public:
  RaftCore(RaftOptions options, const RaftDurableState& state, TimePoint now);

  void Tick(TimePoint now);
  void Step(const wire::RaftMessage& message, TimePoint now);
  // Appends a command and returns its index. The command is committed once
  // TakeReady() returns an entry of the same index and term as committed.
  Result<std::uint64_t, RaftError> Propose(const std::string& command,
                                           TimePoint now);
  Result<std::uint64_t, RaftError> AddLearner(const MemberId& member,
                                              TimePoint now);
  Result<std::uint64_t, RaftError> Promote(const MemberId& member,
                                           TimePoint now);
  Result<std::uint64_t, RaftError> Remove(const MemberId& member,
                                          TimePoint now);

  // Leader only: sends to all peers with the next tick, for instance to
  // announce the commit index without delay.
  void RequestBroadcast(TimePoint now) { heartbeat_due_ = now; }

  RaftReady TakeReady();
  // Removes and returns the append requests among the messages that the next
  // TakeReady() would return. They may be sent before the records are
  // persisted, unless these contain a vote: the leader counts its own copy of
  // an entry only once it is persisted.
  std::vector<wire::RaftMessage> TakeAppendRequests();
  // Called when everything from the last TakeReady() is synced.
  void OnPersisted(TimePoint now);
  // Drops the entries covered by `snapshot`, which the owner has synced.
  void CompactTo(const wire::DurableSnapshot& snapshot);

  RaftRole role() const { return role_; }
  std::uint64_t term() const { return term_; }
  const MemberId& leader() const { return leader_; }
  const MemberId& self() const { return options_.self; }
  std::uint64_t commit_index() const { return commit_; }
  // Index of the last committed entry returned by TakeReady(); may be less than
  // the commit index.
  std::uint64_t delivered_index() const { return delivered_; }
  const RaftLog& log() const { return log_; }
  const wire::VoterSet& voters() const { return voters_; }
  const MemberId& voted_for() const { return voted_for_; }
  // Leader only: returns the send time of the newest messages answered by a
  // quorum. No other leader can have committed anything before that time.
  // Returns nullopt if it is unknown or no entry of this term is committed.
  std::optional<TimePoint> QuorumContact(TimePoint now) const;
  // Returns the last index known to match on `member`, from which its lag
  // follows; 0 if unknown.
  std::uint64_t MatchIndexOf(const MemberId& member) const;
  bool IsVoter(const MemberId& member) const;
  // Returns the voter set as of `index`.
  wire::VoterSet VotersAt(std::uint64_t index) const;

 private:
  struct Peer {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    TimePoint acked_sent_at{};  // send time of the newest acknowledged message
    TimePoint snapshot_sent_at{};
    TimePoint retry_sent_at{};  // last append sent after a rejection
  };

  void ResetElectionTimer(TimePoint now);
  void BecomeFollower(std::uint64_t term,
                      const MemberId& leader,
                      TimePoint now);
  void StartPreVote(TimePoint now);
  void StartElection(TimePoint now);
  void BecomeLeader(TimePoint now);
  void RecordVote();
  void RequestVotes(bool pre_vote, std::uint64_t term);
  bool HasLeaderContact(TimePoint now) const;
  // Returns the send time of the newest messages answered by a quorum.
  std::optional<TimePoint> LatestQuorumSendTime(TimePoint now) const;
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
  bool AppendEntries(const wire::AppendRequest& request);
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
  wire::VoterSet voters_;           // latest in the log, committed or not
  std::uint64_t voters_index_ = 0;  // index of the entry with `voters_`
  RaftRole role_ = RaftRole::kFollower;
  MemberId leader_;
  std::uint64_t commit_ = 0;
  std::uint64_t delivered_ = 0;  // last committed entry returned to the owner
  std::uint64_t synced_index_ = 0;  // last index synced on this host
  std::uint64_t ready_index_ = 0;   // last index as of the last TakeReady()
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
