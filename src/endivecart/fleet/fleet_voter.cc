#include "endivecart/fleet/fleet_voter.h"

#include <algorithm>
#include <utility>

namespace endivecart::fleet {

using control::MemberId;
using control::RaftRole;

namespace {

// Delay before a failed disk operation is retried, for instance on a full disk.
constexpr Millis kDiskRetry{200};
// Voters are only one or two network delays apart, so these can be short.
constexpr Millis kHeartbeat{100};
constexpr Millis kElectionMin{300};
constexpr Millis kElectionMax{600};
// How long after a quorum answered a leader considers itself confirmed. Shorter
// than the time after which voters elect another leader, even if their clocks
// run faster.
constexpr Millis kLeaderLease{240};
// A leader whose disk is slower, or refuses a write for longer, stops sending
// heartbeats, so that another takes over: it can't apply what is committed.
constexpr Millis kMaxDiskDelay = kElectionMin;
static_assert(kLeaderLease < kElectionMin && kLeaderLease > 2 * kHeartbeat);

wire::DurableVote MakeDurableVote(const control::RaftCore& core) {
  wire::DurableVote vote;
  vote.set_term(core.term());
  vote.set_voted_for(core.voted_for().str());
  return vote;
}

}  // namespace

FleetVoter::FleetVoter(FleetVoterOptions options,
                       control::Storage* storage,
                       Hooks hooks)
    : options_(std::move(options)),
      storage_(storage),
      hooks_(std::move(hooks)),
      voter_set_manager_(options_.member, options_.replace_after) {
  LoadState();
}

void FleetVoter::LoadState() {
  control::RaftDurableState state = storage_->loaded();
  const bool is_new = state.snapshot.last_index() == 0 &&
                      state.snapshot.voters().voters().empty();
  if (options_.is_founder && is_new) {
    for (const HostId& host : options_.founders) {
      state.snapshot.mutable_voters()->add_voters(
          control::MakeMemberId(host, control::kFounderIdentity).str());
    }
    wire::DurableVote vote;
    vote.set_term(state.term);
    vote.set_voted_for(state.voted_for.str());
    const auto saved =
        storage_->SaveSnapshot(state.snapshot, vote, state.entries);
    if (!saved)
      hooks_.on_disk_failure(saved.error());
  }
  control::RaftOptions raft;
  raft.self = options_.member;
  raft.election_min = kElectionMin;
  raft.election_max = kElectionMax;
  raft.heartbeat = kHeartbeat;
  raft.seed = options_.seed;
  snapshot_state_ = state.snapshot.state();
  if (!log_.Restore(snapshot_state_))
    LogLine("fleet.snapshot_unreadable").Error();
  applied_index_ = state.snapshot.last_index();
  core_.emplace(raft, state, hooks_.now());
  loaded_index_ = core_->log().last_index();
  if (state.term == 0)
    return;
  // A full disk may not have synced what was loaded. Nothing is sent before a
  // record has been.
  persisting_.emplace();
  *persisting_->records.emplace_back().mutable_vote() = MakeDurableVote(*core_);
  disk_work_since_ = hooks_.now();
}

void FleetVoter::Tick() {
  core_->Tick(hooks_.now());
  Pump();
  if (core_->role() != last_role_ || LeaderHost() != last_leader_)
    OnRoleChange();
  if (IsLeader())
    UpdateVoterSet();
  ResolveConfirmations();
  ExpireProposals();
}

void FleetVoter::OnRaft(const HostId& from, const wire::RaftMessage& message) {
  const MemberId member(message.member());
  if (control::HostOf(member) != from) {
    LogLine("fleet.foreign_member")
        .Add("host", from.str())
        .Add("member", member.str())
        .Warn();
    return;
  }
  voter_set_manager_.RecordContact(member, hooks_.now());
  core_->Step(message, hooks_.now());
  Tick();
}

void FleetVoter::OnMember(const MemberId& member) {
  voter_set_manager_.RecordContact(member, hooks_.now());
}

void FleetVoter::SendAppendRequests() {
  if (!IsLeader())
    return;
  const bool is_stuck = (disk_busy_ || persisting_) &&
                        hooks_.now() - disk_work_since_ >= kMaxDiskDelay;
  const bool writes_vote =
      persisting_ &&
      std::any_of(persisting_->records.begin(), persisting_->records.end(),
                  [](const auto& r) { return r.has_vote(); });
  if (is_stuck || writes_vote)
    return;
  for (const wire::RaftMessage& message : core_->TakeAppendRequests())
    SendRaft(message);
}

void FleetVoter::Pump() {
  SendAppendRequests();
  while (!disk_busy_) {
    if (persisting_) {
      if (hooks_.now() < retry_disk_at_)
        return;
    } else {
      control::RaftReady ready = core_->TakeReady();
      if (ready.empty()) {
        CompactIfNeeded();
        return;
      }
      if (ready.records.empty() && !ready.snapshot) {
        core_->OnPersisted(hooks_.now());
        DispatchReady(ready);
        continue;
      }
      persisting_ = std::move(ready);
      disk_work_since_ = hooks_.now();
    }
    disk_busy_ = true;
    hooks_.run_on_disk(
        [storage = storage_, records = persisting_->records,
         snapshot = persisting_->snapshot, vote = MakeDurableVote(*core_)]() {
          DiskResult result = true;
          if (snapshot)
            result = storage->SaveSnapshot(*snapshot, vote, {});
          if (result && !records.empty())
            result = storage->Append(records);
          return result;
        },
        [this](const DiskResult& result) { OnReadyPersisted(result); });
  }
}

void FleetVoter::OnReadyPersisted(const DiskResult& result) {
  disk_busy_ = false;
  if (!result) {
    LogLine("fleet.disk_refused").Add("detail", result.error().detail).Error();
    retry_disk_at_ = hooks_.now() + kDiskRetry;
    if (result.error().code != control::StorageErrorCode::kFull)
      hooks_.on_disk_failure(result.error());
    return;
  }
  const control::RaftReady ready = std::move(*persisting_);
  persisting_.reset();
  core_->OnPersisted(hooks_.now());
  DispatchReady(ready);
  Pump();
}

void FleetVoter::DispatchReady(const control::RaftReady& ready) {
  if (ready.snapshot) {
    snapshot_state_ = ready.snapshot->state();
    if (!log_.Restore(snapshot_state_))
      LogLine("fleet.snapshot_unreadable").Error();
    applied_index_ = ready.snapshot->last_index();
    hooks_.on_decisions(log_.decisions());
  }
  for (const wire::RaftMessage& message : ready.messages)
    SendRaft(message);
  for (const wire::LogEntry& entry : ready.committed)
    Apply(entry);
}

void FleetVoter::SendRaft(wire::RaftMessage message) {
  if (message.has_snapshot_request())
    message.mutable_snapshot_request()->set_state(snapshot_state_);
  const HostId to = control::HostOf(MemberId(message.to()));
  wire::Envelope envelope;
  *envelope.mutable_raft() = std::move(message);
  hooks_.send(to, std::move(envelope));
}

void FleetVoter::Apply(const wire::LogEntry& entry) {
  applied_index_ = entry.index();
  bytes_since_snapshot_ += entry.ByteSizeLong();
  log_.OnEntry(entry.term());
  if (entry.has_command() && log_.Apply(entry.command(), entry.index())) {
    hooks_.on_decisions(log_.decisions());
    if (IsLeader())
      core_->RequestBroadcast(hooks_.now());
  }
  const auto it = proposals_.find(entry.index());
  if (it == proposals_.end())
    return;
  const Proposal proposal = std::move(it->second);
  proposals_.erase(it);
  if (proposal.term == entry.term())
    acknowledged_index_ = entry.index();
  proposal.callback(proposal.term == entry.term() ? ProposalResult::kDecided
                                                  : ProposalResult::kUnknown);
}

void FleetVoter::CompactIfNeeded() {
  const std::uint64_t applied = core_->delivered_index();
  const bool needs_compaction =
      bytes_since_snapshot_ > options_.compact_bytes ||
      applied > core_->log().snapshot_index() + options_.compact_entries;
  if (!needs_compaction || applied <= core_->log().snapshot_index() ||
      hooks_.now() < retry_disk_at_) {
    return;
  }
  wire::DurableSnapshot snapshot;
  snapshot.set_last_index(applied);
  snapshot.set_last_term(core_->log().TermAt(applied));
  *snapshot.mutable_voters() = core_->VotersAt(applied);
  snapshot.set_state(log_.Snapshot());
  std::vector<wire::LogEntry> rest;
  for (std::uint64_t i = applied + 1; i <= core_->log().last_index(); ++i)
    rest.push_back(core_->log().At(i));
  bytes_since_snapshot_ = 0;
  disk_busy_ = true;
  disk_work_since_ = hooks_.now();
  hooks_.run_on_disk(
      [storage = storage_, snapshot, rest = std::move(rest),
       vote = MakeDurableVote(*core_)]() {
        return storage->SaveSnapshot(snapshot, vote, rest);
      },
      [this, snapshot](const DiskResult& result) {
        disk_busy_ = false;
        if (result) {
          snapshot_state_ = snapshot.state();
          core_->CompactTo(snapshot);
          Pump();
          return;
        }
        // Keeps the log; compaction is retried later.
        LogLine("fleet.snapshot_failed")
            .Add("detail", result.error().detail)
            .Error();
        bytes_since_snapshot_ = options_.compact_bytes + 1;
        retry_disk_at_ = hooks_.now() + kDiskRetry;
        if (result.error().code != control::StorageErrorCode::kFull)
          hooks_.on_disk_failure(result.error());
      });
}

void FleetVoter::OnRoleChange() {
  if (core_->role() == RaftRole::kLeader && last_role_ != RaftRole::kLeader)
    voter_set_manager_.OnLeadershipGained(hooks_.now());
  if (core_->role() != RaftRole::kLeader && last_role_ == RaftRole::kLeader) {
    // A new leader decides whether these entries are committed.
    auto proposals = std::exchange(proposals_, {});
    for (auto& [index, proposal] : proposals)
      proposal.callback(ProposalResult::kUnknown);
  }
  last_role_ = core_->role();
  last_leader_ = LeaderHost();
  LogLine("fleet.role")
      .Add("role", control::RaftRoleName(last_role_))
      .Add("term", core_->term())
      .Add("leader", last_leader_.str())
      .Info();
}

void FleetVoter::UpdateVoterSet() {
  const TimePoint now = hooks_.now();
  const auto change = voter_set_manager_.NextChange(
      core_->voters(),
      [this](const MemberId& member) {
        return core_->MatchIndexOf(member) >= core_->commit_index() &&
               core_->commit_index() > 0;
      },
      now);
  if (!change)
    return;
  Result<std::uint64_t, control::RaftError> appended =
      Fail(control::RaftError{control::RaftErrorCode::kBadMember});
  switch (change->kind) {
    case VoterChangeKind::kAddLearner:
      appended = core_->AddLearner(change->member, now);
      break;
    case VoterChangeKind::kPromote:
      appended = core_->Promote(change->member, now);
      break;
    case VoterChangeKind::kRemove:
      appended = core_->Remove(change->member, now);
      break;
  }
  if (!appended)
    return;  // another change is pending; the next tick tries again
  LogLine("fleet.voters_change")
      .Add("change", VoterChangeName(change->kind))
      .Add("member", change->member.str())
      .Info();
  Pump();
}

void FleetVoter::Propose(const wire::FleetCommand& command,
                         Millis timeout,
                         ProposalCallback callback) {
  const TimePoint now = hooks_.now();
  const auto index = core_->Propose(command.SerializeAsString(), now);
  if (!index) {
    callback(ProposalResult::kNotLeader);
    return;
  }
  proposals_[*index] = {core_->term(), now + timeout, std::move(callback)};
  Tick();
}

void FleetVoter::Confirm(Millis timeout, ConfirmCallback callback) {
  if (!IsLeader()) {
    callback(false);
    return;
  }
  const TimePoint now = hooks_.now();
  confirmations_.push_back(
      {now, now + timeout, std::nullopt, std::move(callback)});
  core_->RequestBroadcast(now);
  Tick();
}

void FleetVoter::ResolveConfirmations() {
  const TimePoint now = hooks_.now();
  const auto contact = core_->QuorumContact(now);
  std::vector<std::pair<ConfirmCallback, bool>> resolved;
  std::erase_if(confirmations_, [&](Confirmation& confirmation) {
    // There is no quorum contact before an entry of this term is committed.
    if (contact && !confirmation.read_index)
      confirmation.read_index = core_->commit_index();
    bool confirmed = contact && *contact >= confirmation.asked_at &&
                     applied_index_ >= *confirmation.read_index;
    if (!confirmed && IsLeader() && now < confirmation.deadline)
      return false;
    const bool is_current =
        applied_index_ >= acknowledged_index_ &&
        core_->log().TermAt(applied_index_) == core_->term();
    if (confirmed &&
        !CheckInvariant(is_current, Invariant::kConfigurationMonotone,
                        "a read would show an older state")) {
      confirmed = false;
    }
    resolved.emplace_back(std::move(confirmation.callback), confirmed);
    return true;
  });
  for (const auto& [callback, confirmed] : resolved)
    callback(confirmed);
}

void FleetVoter::ExpireProposals() {
  const TimePoint now = hooks_.now();
  std::vector<ProposalCallback> expired;
  std::erase_if(proposals_, [&](auto& entry) {
    if (now < entry.second.deadline)
      return false;
    expired.push_back(std::move(entry.second.callback));
    return true;
  });
  for (const ProposalCallback& callback : expired)
    callback(ProposalResult::kUnknown);
}

bool FleetVoter::IsLeader() const {
  return core_->role() == RaftRole::kLeader;
}

bool FleetVoter::IsConfirmedLeader() const {
  const TimePoint now = hooks_.now();
  const auto contact = core_->QuorumContact(now);
  const bool has_caught_up =
      core_->log().TermAt(applied_index_) == core_->term();
  return IsLeader() && has_caught_up && contact &&
         now - *contact < kLeaderLease;
}

bool FleetVoter::HasEmptyLog() const {
  return core_->log().last_index() == 0;
}

HostId FleetVoter::LeaderHost() const {
  return core_->leader().empty() ? HostId() : control::HostOf(core_->leader());
}

std::vector<HostId> FleetVoter::VoterHosts() const {
  std::vector<HostId> hosts;
  for (const std::string& voter : core_->voters().voters())
    hosts.push_back(control::HostOf(MemberId(voter)));
  return hosts;
}

}  // namespace endivecart::fleet
