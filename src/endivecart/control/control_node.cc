#include "endivecart/control/control_node.h"

#include <algorithm>
#include <utility>

#include "endivecart/control/control_timing.h"

namespace endivecart::control {

namespace {

constexpr Millis kProposalResendInterval{300};

std::string ValidateDocument(const std::string& document) {
  const auto parsed = configuration::ParseConfiguration(document);
  return parsed ? std::string() : settings::JoinErrors(parsed.error());
}

wire::VoterSet FoundingVoters(const std::vector<settings::HostEntry>& hosts) {
  wire::VoterSet voters;
  for (const settings::HostEntry& host : hosts) {
    if (host.voter)
      voters.add_voters(MakeMemberId(host.id, "founder").str());
  }
  return voters;
}

}  // namespace

ControlNode::ControlNode(ControlOptions options,
                         Storage* storage,
                         Hooks hooks,
                         TimePoint now)
    : options_(std::move(options)),
      storage_(storage),
      hooks_(std::move(hooks)),
      started_at_(now),
      freshness_(kFreshnessLease),
      followers_(kFreshnessLease + kLeaseMargin) {
  if (storage_ == nullptr)
    return;
  RaftDurableState state = storage_->loaded();
  if (options_.is_founder && state.snapshot.last_index() == 0 &&
      state.snapshot.voters().voters().empty()) {
    *state.snapshot.mutable_voters() = FoundingVoters(options_.hosts);
    wire::DurableVote vote;
    vote.set_term(state.term);
    vote.set_voted_for(state.voted_for.str());
    const auto saved =
        storage_->SaveSnapshot(state.snapshot, vote, state.entries);
    if (!saved)
      hooks_.on_disk_failure(saved.error());
  }
  RaftOptions raft;
  raft.self = options_.member;
  raft.seed = options_.seed;
  machine_.emplace(ValidateDocument);
  machine_->Restore(state.snapshot.state());
  snapshot_state_ = state.snapshot.state();
  core_.emplace(raft, state, now);
  PublishMachineState(now);
}

bool ControlNode::IsActiveVoter() const {
  return core_ && core_->IsVoter(core_->self());
}

bool ControlNode::IsLeader() const {
  return core_ && core_->role() == RaftRole::kLeader;
}

HostId ControlNode::LeaderHost() const {
  if (core_ && !core_->leader().empty())
    return HostOf(core_->leader());
  return IsActiveVoter() ? HostId() : leader_hint_;
}

std::uint64_t ControlNode::Term() const {
  return core_ ? core_->term() : 0;
}

const StateMachine* ControlNode::machine() const {
  return machine_ ? &*machine_ : nullptr;
}

MemberId ControlNode::LastSeenMember(const HostId& host) const {
  const auto it = last_seen_members_.find(host);
  return it == last_seen_members_.end() ? MemberId() : it->second;
}

Result<std::uint64_t, RaftError> ControlNode::ChangeVoters(
    const std::string& action,
    const MemberId& member,
    TimePoint now) {
  if (!core_)
    return Fail(RaftError{RaftErrorCode::kNotLeader});
  if (action == "add")
    return core_->AddLearner(member, now);
  if (action == "promote")
    return core_->Promote(member, now);
  if (action == "remove")
    return core_->Remove(member, now);
  return Fail(RaftError{RaftErrorCode::kBadMember});
}

void ControlNode::Tick(TimePoint now) {
  if (core_ && !stalled_)
    core_->Tick(now);
  Pump(now);
  if (core_ && core_->role() != last_role_)
    OnRoleChange(now);
  if (IsLeader())
    RunLeaderTasks(now);
  if (now >= poll_due_)
    Poll(now);
  SendProposals(now);
  ExpireProposals(now);
}

void ControlNode::OnRoleChange(TimePoint now) {
  last_role_ = core_->role();
  LogLine("control.role")
      .Add("role", RaftRoleName(last_role_))
      .Add("term", core_->term())
      .Info();
  if (last_role_ == RaftRole::kLeader) {
    leader_since_ = now;
    return;
  }
  // This host does not learn the outcome of its pending entries. It resends its
  // own proposals; the hosts that sent the other ones resend those.
  pending_.clear();
  for (auto& [key, proposal] : proposals_)
    proposal.sent_at = TimePoint{};
}

void ControlNode::Pump(TimePoint now) {
  PumpRaft(now);
  // Sent after PumpRaft(), when all committed entries are published.
  if (std::exchange(push_pending_, false))
    PushUpdates(now);
}

// Persists, sends and applies until the core has no more work.
void ControlNode::PumpRaft(TimePoint now) {
  while (core_) {
    RaftReady ready =
        stalled_ ? *std::exchange(stalled_, std::nullopt) : core_->TakeReady();
    if (ready.empty())
      return;
    // Append requests are sent before the local write, so that followers write
    // in parallel. The local copy counts towards the quorum only once synced.
    for (wire::RaftMessage& message : ready.messages) {
      if (message.has_append_request())
        SendRaft(message);
    }
    std::erase_if(ready.messages,
                  [](const auto& m) { return m.has_append_request(); });
    if (!Persist(ready)) {
      stalled_ = std::move(ready);
      return;
    }
    core_->OnPersisted(now);
    if (ready.snapshot) {
      snapshot_state_ = ready.snapshot->state();
      machine_->Restore(snapshot_state_);
      PublishMachineState(now);
    }
    for (wire::RaftMessage& message : ready.messages)
      SendRaft(std::move(message));
    for (const wire::LogEntry& entry : ready.committed)
      ApplyCommitted(entry, now);
    MaybeCompact();
  }
}

bool ControlNode::Persist(const RaftReady& ready) {
  Result<bool, StorageError> saved = true;
  if (ready.snapshot) {
    wire::DurableVote vote;
    vote.set_term(core_->term());
    vote.set_voted_for(core_->voted_for().str());
    saved = storage_->SaveSnapshot(*ready.snapshot, vote, {});
  }
  if (saved && !ready.records.empty())
    saved = storage_->Append(ready.records);
  if (saved)
    return true;
  if (saved.error().code == StorageErrorCode::kFull) {
    LogLine("control.disk_full").Add("detail", saved.error().detail).Error();
  } else {
    hooks_.on_disk_failure(saved.error());
  }
  return false;
}

void ControlNode::SendRaft(wire::RaftMessage message) {
  if (message.has_snapshot_request())
    message.mutable_snapshot_request()->set_state(snapshot_state_);
  const HostId to = HostOf(MemberId(message.to()));
  wire::Envelope envelope;
  *envelope.mutable_raft() = std::move(message);
  hooks_.send(to, std::move(envelope));
}

void ControlNode::ApplyCommitted(const wire::LogEntry& entry, TimePoint now) {
  const Revision before = machine_->revision();
  wire::Outcome outcome;
  if (entry.has_command())
    outcome = machine_->Apply(entry.command());
  if (machine_->revision() != before && IsLeader()) {
    LogLine("configuration.accepted")
        .Add("revision", machine_->revision())
        .Info();
  }
  PublishMachineState(now);
  const auto it = pending_.find(entry.index());
  if (it == pending_.end())
    return;
  const Pending pending = it->second;
  pending_.erase(it);
  // If another entry is at this index, the proposal was lost.
  if (pending.term == entry.term())
    SendOutcome(pending, outcome);
}

void ControlNode::SendOutcome(const Pending& pending,
                              const wire::Outcome& outcome) {
  if (pending.local_proposal) {
    const auto it = proposals_.find(*pending.local_proposal);
    if (it == proposals_.end())
      return;
    const Callback callback = std::move(it->second.callback);
    proposals_.erase(it);
    callback(outcome);
    return;
  }
  wire::Envelope envelope;
  wire::ProposeReply& reply = *envelope.mutable_propose_reply();
  reply.set_request(pending.requester->second);
  reply.set_known(true);
  reply.set_outcome(outcome.SerializeAsString());
  hooks_.send(pending.requester->first, std::move(envelope));
}

void ControlNode::MaybeCompact() {
  const std::uint64_t applied = core_->delivered_index();
  if (applied < core_->log().snapshot_index() + options_.compact_entries)
    return;
  wire::DurableSnapshot snapshot;
  snapshot.set_last_index(applied);
  snapshot.set_last_term(core_->log().TermAt(applied));
  *snapshot.mutable_voters() = core_->VotersAt(applied);
  snapshot.set_state(machine_->Snapshot());
  wire::DurableVote vote;
  vote.set_term(core_->term());
  vote.set_voted_for(core_->voted_for().str());
  std::vector<wire::LogEntry> rest;
  for (std::uint64_t i = applied + 1; i <= core_->log().last_index(); ++i)
    rest.push_back(core_->log().At(i));
  const auto saved = storage_->SaveSnapshot(snapshot, vote, rest);
  if (!saved) {
    // Compaction is tried again after the next entries.
    LogLine("control.snapshot_failed")
        .Add("detail", saved.error().detail)
        .Error();
    if (saved.error().code == StorageErrorCode::kIo)
      hooks_.on_disk_failure(saved.error());
    return;
  }
  snapshot_state_ = snapshot.state();
  core_->CompactTo(snapshot);
}

void ControlNode::PublishMachineState(TimePoint now) {
  SetDownHosts(machine_->down_hosts(), machine_->down_epoch());
  const Revision before = current_ ? current_->revision : 0;
  Publish(machine_->revision(), machine_->document());
  if (machine_->revision() <= before)
    return;
  push_pending_ = true;
  if (IsLeader()) {
    core_->RequestBroadcast(now);
  } else {
    poll_due_ = now;
  }
}

void ControlNode::Publish(Revision revision, const std::string& document) {
  if (revision == 0 || (current_ && revision <= current_->revision))
    return;
  auto parsed = configuration::ParseConfiguration(document);
  if (!parsed) {
    LogLine("configuration.unreadable").Add("revision", revision).Error();
    return;
  }
  current_ = std::make_shared<const configuration::ConfigurationSnapshot>(
      configuration::ConfigurationSnapshot{revision, document,
                                           std::move(*parsed)});
  hooks_.on_configuration(current_);
}

void ControlNode::SetDownHosts(const std::set<HostId>& down,
                               std::uint64_t epoch) {
  if (epoch <= down_epoch_)
    return;
  down_hosts_ = down;
  down_epoch_ = epoch;
  hooks_.on_down_hosts(down_hosts_, down_epoch_);
}

void ControlNode::Propose(wire::Command command,
                          TimePoint deadline,
                          Callback callback,
                          TimePoint now) {
  command.set_at_ms(hooks_.unix_ms());
  const std::uint64_t key = next_proposal_++;
  proposals_.emplace(key, Proposal{std::move(command), deadline,
                                   std::move(callback), TimePoint{}});
  if (IsLeader())
    ProposeLocally(key, now);
}

void ControlNode::ProposeLocally(std::uint64_t key, TimePoint now) {
  Proposal& proposal = proposals_.at(key);
  const auto index = core_->Propose(proposal.command.SerializeAsString(), now);
  if (!index)
    return;
  // Not resent while this host is the leader, which learns the outcome itself.
  proposal.sent_at = proposal.deadline;
  pending_[*index] = {core_->term(), key, std::nullopt};
}

void ControlNode::SendProposals(TimePoint now) {
  const HostId leader = LeaderHost();
  for (auto& [key, proposal] : proposals_) {
    if (IsLeader()) {
      if (proposal.sent_at < proposal.deadline)
        ProposeLocally(key, now);
      continue;
    }
    if (leader.empty() || leader == options_.self ||
        (proposal.sent_at != TimePoint{} &&
         now < proposal.sent_at + kProposalResendInterval)) {
      continue;
    }
    proposal.sent_at = now;
    wire::Envelope envelope;
    envelope.mutable_propose_request()->set_request(key);
    envelope.mutable_propose_request()->set_command(
        proposal.command.SerializeAsString());
    hooks_.send(leader, std::move(envelope));
  }
}

void ControlNode::ExpireProposals(TimePoint now) {
  std::vector<Callback> expired;
  std::erase_if(proposals_, [&](auto& entry) {
    if (now < entry.second.deadline)
      return false;
    expired.push_back(std::move(entry.second.callback));
    return true;
  });
  for (const Callback& callback : expired)
    callback(std::nullopt);
}

void ControlNode::OnProposeRequest(const HostId& from,
                                   const wire::ProposeRequest& request,
                                   TimePoint now) {
  if (!IsLeader()) {
    wire::Envelope envelope;
    envelope.mutable_propose_reply()->set_request(request.request());
    envelope.mutable_propose_reply()->set_leader(LeaderHost().str());
    hooks_.send(from, std::move(envelope));
    return;
  }
  const auto index = core_->Propose(request.command(), now);
  if (index) {
    pending_[*index] = {core_->term(), std::nullopt,
                        std::pair(from, request.request())};
  }
}

void ControlNode::OnProposeReply(const wire::ProposeReply& reply) {
  const auto it = proposals_.find(reply.request());
  if (it == proposals_.end())
    return;
  if (!reply.known()) {
    if (!reply.leader().empty() && reply.leader() != leader_hint_.str()) {
      leader_hint_ = HostId(reply.leader());
      it->second.sent_at = TimePoint{};
    }
    return;
  }
  wire::Outcome outcome;
  if (!outcome.ParseFromString(reply.outcome()))
    return;
  const Callback callback = std::move(it->second.callback);
  proposals_.erase(it);
  callback(outcome);
}

void ControlNode::OnEnvelope(const wire::Envelope& envelope, TimePoint now) {
  const HostId from(envelope.from());
  if (envelope.has_raft()) {
    const MemberId member(envelope.raft().member());
    if (HostOf(member) != from)
      return;
    last_seen_members_[from] = member;
    if (core_ && !stalled_)
      core_->Step(envelope.raft(), now);
  } else if (envelope.has_follow_poll()) {
    OnFollowPoll(from, envelope.follow_poll(), now);
  } else if (envelope.has_follow_reply()) {
    OnFollowReply(from, envelope.follow_reply(), now);
  } else if (envelope.has_propose_request()) {
    OnProposeRequest(from, envelope.propose_request(), now);
  } else if (envelope.has_propose_reply()) {
    OnProposeReply(envelope.propose_reply());
  }
}
}  // namespace endivecart::control
