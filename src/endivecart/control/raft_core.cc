#include "endivecart/control/raft_core.h"

#include <algorithm>
#include <utility>

namespace endivecart::control {

namespace {

// A learner can be promoted if it lags by at most this many entries.
constexpr std::uint64_t kMaxCaughtUpLag = 64;

bool Contains(const google::protobuf::RepeatedPtrField<std::string>& list,
              const MemberId& member) {
  return std::find(list.begin(), list.end(), member.str()) != list.end();
}

void Erase(google::protobuf::RepeatedPtrField<std::string>& list,
           const MemberId& member) {
  const auto it = std::find(list.begin(), list.end(), member.str());
  if (it != list.end())
    list.erase(it);
}

}  // namespace

MemberId MakeMemberId(const HostId& host, const std::string& identity) {
  return MemberId(host.str() + "@" + identity);
}

HostId HostOf(const MemberId& member) {
  return HostId(member.str().substr(0, member.str().find('@')));
}

std::string_view RaftRoleName(RaftRole role) {
  switch (role) {
    case RaftRole::kFollower:
      return "follower";
    case RaftRole::kPreCandidate:
      return "pre-candidate";
    case RaftRole::kCandidate:
      return "candidate";
    case RaftRole::kLeader:
      return "leader";
  }
  return "unknown";
}

std::string_view RaftErrorName(RaftErrorCode code) {
  switch (code) {
    case RaftErrorCode::kNotLeader:
      return "not the leader";
    case RaftErrorCode::kChangePending:
      return "another change of voters is pending";
    case RaftErrorCode::kNotCaughtUp:
      return "the learner has not caught up";
    case RaftErrorCode::kBadMember:
      return "the change is not possible for this member";
  }
  return "unknown";
}

RaftCore::RaftCore(RaftOptions options,
                   const RaftDurableState& state,
                   TimePoint now)
    : options_(std::move(options)),
      random_(options_.seed),
      term_(state.term),
      voted_for_(state.voted_for),
      // The last contact with a leader is not known after a restart, so assume
      // the latest possible time.
      leader_contact_(now) {
  log_.Reset(state.snapshot.last_index(), state.snapshot.last_term());
  snapshot_voters_ = state.snapshot.voters();
  for (const wire::LogEntry& entry : state.entries)
    log_.Append(entry);
  commit_ = delivered_ = log_.snapshot_index();
  synced_index_ = ready_index_ = log_.last_index();
  RefreshVoters();
  ResetElectionTimer(now);
}

bool RaftCore::IsVoter(const MemberId& member) const {
  return Contains(voters_.voters(), member);
}

int RaftCore::QuorumSize() const {
  return voters_.voters_size() / 2 + 1;
}

void RaftCore::ResetElectionTimer(TimePoint now) {
  std::uniform_int_distribution<std::int64_t> spread(
      options_.election_min.count(), options_.election_max.count());
  election_due_ = now + Millis(spread(random_));
}

bool RaftCore::HasLeaderContact(TimePoint now) const {
  return now < leader_contact_ + options_.election_min;
}

void RaftCore::RecordVote() {
  wire::DurableRecord record;
  record.mutable_vote()->set_term(term_);
  record.mutable_vote()->set_voted_for(voted_for_.str());
  ready_.records.push_back(std::move(record));
}

void RaftCore::BecomeFollower(std::uint64_t term,
                              const MemberId& leader,
                              TimePoint now) {
  if (term > term_) {
    term_ = term;
    voted_for_ = MemberId();
    RecordVote();
  }
  if (role_ != RaftRole::kFollower)
    ResetElectionTimer(now);
  role_ = RaftRole::kFollower;
  leader_ = leader;
}

void RaftCore::Tick(TimePoint now) {
  if (role_ == RaftRole::kLeader) {
    if (now >= heartbeat_due_)
      Broadcast(now);
    // Check-quorum: a leader without answers from a quorum steps down.
    const TimePoint contact = LatestQuorumSendTime(now).value_or(leader_since_);
    if (now >= std::max(contact, leader_since_) + options_.election_max)
      BecomeFollower(term_, MemberId(), now);
    return;
  }
  if (now < election_due_)
    return;
  ResetElectionTimer(now);
  if (IsVoter(options_.self))
    StartPreVote(now);
}

void RaftCore::Send(const MemberId& to,
                    wire::RaftMessage message,
                    std::uint64_t term) {
  message.set_to(to.str());
  message.set_member(options_.self.str());
  message.set_term(term);
  ready_.messages.push_back(std::move(message));
}

void RaftCore::RequestVotes(bool pre_vote, std::uint64_t term) {
  for (const std::string& voter : voters_.voters()) {
    if (voter == options_.self.str())
      continue;
    wire::RaftMessage message;
    wire::VoteRequest* request = message.mutable_vote_request();
    request->set_pre_vote(pre_vote);
    request->set_last_index(log_.last_index());
    request->set_last_term(log_.last_term());
    Send(MemberId(voter), std::move(message), term);
  }
}

void RaftCore::StartPreVote(TimePoint now) {
  role_ = RaftRole::kPreCandidate;
  leader_ = MemberId();
  votes_ = {options_.self};
  if (QuorumSize() == 1)
    return StartElection(now);
  RequestVotes(true, term_ + 1);
}

void RaftCore::StartElection(TimePoint now) {
  role_ = RaftRole::kCandidate;
  ++term_;
  voted_for_ = options_.self;
  RecordVote();
  votes_ = {options_.self};
  ResetElectionTimer(now);
  if (QuorumSize() == 1)
    return BecomeLeader(now);
  RequestVotes(false, term_);
}

void RaftCore::BecomeLeader(TimePoint now) {
  role_ = RaftRole::kLeader;
  leader_ = options_.self;
  leader_since_ = now;
  peers_.clear();
  RefreshPeers();
  // Entries of earlier terms are committed only along with one of this term.
  wire::LogEntry no_op;
  no_op.set_no_op(true);
  Append(std::move(no_op));
  Broadcast(now);
}

void RaftCore::RefreshPeers() {
  std::set<MemberId> wanted;
  for (const std::string& voter : voters_.voters())
    wanted.insert(MemberId(voter));
  for (const std::string& learner : voters_.learners())
    wanted.insert(MemberId(learner));
  wanted.erase(options_.self);
  std::erase_if(peers_,
                [&](const auto& peer) { return !wanted.contains(peer.first); });
  for (const MemberId& member : wanted) {
    if (!peers_.contains(member))
      peers_[member].next = log_.last_index() + 1;
  }
}

wire::VoterSet RaftCore::VotersAt(std::uint64_t index) const {
  for (std::uint64_t i = std::min(index, log_.last_index());
       i >= log_.first_index(); --i) {
    if (log_.At(i).has_voters())
      return log_.At(i).voters();
  }
  return snapshot_voters_;
}

void RaftCore::RefreshVoters() {
  voters_ = snapshot_voters_;
  voters_index_ = log_.snapshot_index();
  for (std::uint64_t i = log_.first_index(); i <= log_.last_index(); ++i) {
    if (log_.At(i).has_voters()) {
      voters_ = log_.At(i).voters();
      voters_index_ = i;
    }
  }
}

void RaftCore::Append(wire::LogEntry entry) {
  if (entry.index() == 0) {
    entry.set_index(log_.last_index() + 1);
    entry.set_term(term_);
  }
  wire::DurableRecord record;
  *record.mutable_entry() = entry;
  ready_.records.push_back(std::move(record));
  const bool has_voters = entry.has_voters();
  log_.Append(std::move(entry));
  if (!has_voters)
    return;
  RefreshVoters();
  if (role_ == RaftRole::kLeader)
    RefreshPeers();
}

void RaftCore::TruncateFrom(std::uint64_t index) {
  wire::DurableRecord record;
  record.set_truncate_from(index);
  ready_.records.push_back(std::move(record));
  log_.TruncateFrom(index);
  synced_index_ = std::min(synced_index_, index - 1);
  ready_index_ = std::min(ready_index_, index - 1);
  RefreshVoters();
}

Result<std::uint64_t, RaftError> RaftCore::Propose(const std::string& command,
                                                   TimePoint now) {
  if (role_ != RaftRole::kLeader)
    return Fail(RaftError{RaftErrorCode::kNotLeader});
  wire::LogEntry entry;
  entry.set_command(command);
  Append(std::move(entry));
  heartbeat_due_ = now;  // sent with the next tick, batched with others
  return log_.last_index();
}

Result<std::uint64_t, RaftError> RaftCore::ChangeVoters(
    const wire::VoterSet& voters,
    TimePoint now) {
  if (role_ != RaftRole::kLeader)
    return Fail(RaftError{RaftErrorCode::kNotLeader});
  const bool own_term_committed = log_.TermAt(commit_) == term_;
  if (voters_index_ > commit_ || !own_term_committed)
    return Fail(RaftError{RaftErrorCode::kChangePending});
  wire::LogEntry entry;
  *entry.mutable_voters() = voters;
  Append(std::move(entry));
  heartbeat_due_ = now;
  return log_.last_index();
}

Result<std::uint64_t, RaftError> RaftCore::AddLearner(const MemberId& member,
                                                      TimePoint now) {
  if (IsVoter(member) || Contains(voters_.learners(), member))
    return Fail(RaftError{RaftErrorCode::kBadMember});
  wire::VoterSet voters = voters_;
  voters.add_learners(member.str());
  return ChangeVoters(voters, now);
}

Result<std::uint64_t, RaftError> RaftCore::Promote(const MemberId& member,
                                                   TimePoint now) {
  if (!Contains(voters_.learners(), member))
    return Fail(RaftError{RaftErrorCode::kBadMember});
  if (MatchIndexOf(member) + kMaxCaughtUpLag < log_.last_index())
    return Fail(RaftError{RaftErrorCode::kNotCaughtUp});
  wire::VoterSet voters = voters_;
  Erase(*voters.mutable_learners(), member);
  voters.add_voters(member.str());
  return ChangeVoters(voters, now);
}

Result<std::uint64_t, RaftError> RaftCore::Remove(const MemberId& member,
                                                  TimePoint now) {
  wire::VoterSet voters = voters_;
  Erase(*voters.mutable_voters(), member);
  Erase(*voters.mutable_learners(), member);
  const bool known = voters.voters_size() + voters.learners_size() <
                     voters_.voters_size() + voters_.learners_size();
  if (!known || voters.voters_size() == 0)
    return Fail(RaftError{RaftErrorCode::kBadMember});
  return ChangeVoters(voters, now);
}

std::uint64_t RaftCore::MatchIndexOf(const MemberId& member) const {
  if (member == options_.self)
    return synced_index_;
  const auto it = peers_.find(member);
  return it == peers_.end() ? 0 : it->second.match;
}

void RaftCore::Step(const wire::RaftMessage& message, TimePoint now) {
  if (message.to() != options_.self.str())
    return;
  const MemberId from(message.member());
  const bool is_pre_vote =
      (message.has_vote_request() && message.vote_request().pre_vote()) ||
      (message.has_vote_reply() && message.vote_reply().pre_vote());
  // A voter in contact with its leader ignores elections of newer terms, so
  // that a rejoining member does not depose the leader.
  if (message.has_vote_request() &&
      (HasLeaderContact(now) || role_ == RaftRole::kLeader) &&
      message.term() > term_) {
    return;
  }
  if (message.term() > term_ && !is_pre_vote)
    BecomeFollower(message.term(), MemberId(), now);
  if (message.has_vote_request()) {
    OnVoteRequest(from, message, now);
  } else if (message.has_vote_reply()) {
    OnVoteReply(from, message, now);
  } else if (message.has_append_request()) {
    OnAppendRequest(from, message, now);
  } else if (message.has_append_reply()) {
    OnAppendReply(from, message, now);
  } else if (message.has_snapshot_request()) {
    OnSnapshot(from, message, now);
  }
}

void RaftCore::OnVoteRequest(const MemberId& from,
                             const wire::RaftMessage& message,
                             TimePoint now) {
  const wire::VoteRequest& request = message.vote_request();
  const bool up_to_date =
      std::pair(request.last_term(), request.last_index()) >=
      std::pair(log_.last_term(), log_.last_index());
  bool granted = up_to_date && message.term() > term_;
  if (!request.pre_vote()) {
    granted = up_to_date && message.term() == term_ &&
              (voted_for_.empty() || voted_for_ == from);
    if (granted) {
      voted_for_ = from;
      RecordVote();
      ResetElectionTimer(now);
    }
  }
  wire::RaftMessage reply;
  reply.mutable_vote_reply()->set_pre_vote(request.pre_vote());
  reply.mutable_vote_reply()->set_granted(granted);
  // A granted pre-vote is sent with the requested term.
  Send(from, std::move(reply),
       request.pre_vote() && granted ? message.term() : term_);
}

void RaftCore::OnVoteReply(const MemberId& from,
                           const wire::RaftMessage& message,
                           TimePoint now) {
  const wire::VoteReply& reply = message.vote_reply();
  const bool pre_vote = role_ == RaftRole::kPreCandidate;
  const std::uint64_t asked_term = pre_vote ? term_ + 1 : term_;
  if (reply.pre_vote() && !reply.granted() && message.term() > term_)
    return BecomeFollower(message.term(), MemberId(), now);
  if (!reply.granted() || reply.pre_vote() != pre_vote ||
      message.term() != asked_term || !IsVoter(from) ||
      (!pre_vote && role_ != RaftRole::kCandidate)) {
    return;
  }
  votes_.insert(from);
  if (static_cast<int>(votes_.size()) < QuorumSize())
    return;
  if (pre_vote) {
    StartElection(now);
  } else {
    BecomeLeader(now);
  }
}

RaftReady RaftCore::TakeReady() {
  RaftReady ready = std::exchange(ready_, RaftReady{});
  ready_index_ = log_.last_index();
  for (; delivered_ < commit_; ++delivered_)
    ready.committed.push_back(log_.At(delivered_ + 1));
  return ready;
}

std::vector<wire::RaftMessage> RaftCore::TakeAppendRequests() {
  std::vector<wire::RaftMessage> requests;
  const bool has_vote =
      std::any_of(ready_.records.begin(), ready_.records.end(),
                  [](const auto& record) { return record.has_vote(); });
  if (has_vote)
    return requests;
  std::erase_if(ready_.messages, [&](wire::RaftMessage& message) {
    if (!message.has_append_request())
      return false;
    requests.push_back(std::move(message));
    return true;
  });
  return requests;
}

void RaftCore::OnPersisted(TimePoint) {
  synced_index_ = std::max(synced_index_, ready_index_);
  if (role_ == RaftRole::kLeader)
    AdvanceCommit();
}

void RaftCore::CompactTo(const wire::DurableSnapshot& snapshot) {
  if (snapshot.last_index() <= log_.snapshot_index())
    return;
  snapshot_voters_ = snapshot.voters();
  log_.CompactTo(snapshot.last_index(), snapshot.last_term());
  RefreshVoters();
}

std::optional<TimePoint> RaftCore::QuorumContact(TimePoint now) const {
  if (role_ != RaftRole::kLeader || log_.TermAt(commit_) != term_)
    return std::nullopt;
  return LatestQuorumSendTime(now);
}

std::optional<TimePoint> RaftCore::LatestQuorumSendTime(TimePoint now) const {
  std::vector<TimePoint> contacts;
  for (const std::string& voter : voters_.voters()) {
    const MemberId member(voter);
    const auto it = peers_.find(member);
    if (member == options_.self) {
      contacts.push_back(now);
    } else if (it != peers_.end()) {
      contacts.push_back(it->second.acked_sent_at);
    }
  }
  std::sort(contacts.rbegin(), contacts.rend());
  const auto quorum = static_cast<std::size_t>(QuorumSize());
  if (contacts.size() < quorum || contacts[quorum - 1] == TimePoint{})
    return std::nullopt;
  return contacts[quorum - 1];
}
}  // namespace endivecart::control
