// Part of RaftCore: replication of entries and snapshots, and the commit index.

#include <algorithm>
#include <utility>
#include <vector>

#include "endivecart/control/raft_core.h"
#include "endivecart/control/wire_time.h"

namespace endivecart::control {

namespace {

constexpr std::uint64_t kMaxEntriesPerAppend = 256;
constexpr std::size_t kMaxBytesPerAppend = 1UL << 20;
constexpr Millis kSnapshotResendInterval{1000};
constexpr Millis kRetryInterval{20};

}  // namespace

void RaftCore::Broadcast(TimePoint now) {
  heartbeat_due_ = now + options_.heartbeat;
  for (auto& [member, peer] : peers_)
    SendAppend(member, peer, now);
}

void RaftCore::SendAppend(const MemberId& to, Peer& peer, TimePoint now) {
  if (peer.next < log_.first_index())
    return SendSnapshot(to, peer, now);
  wire::RaftMessage message;
  wire::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(peer.next - 1);
  request->set_previous_term(log_.TermAt(peer.next - 1));
  request->set_commit_index(commit_);
  request->set_sent_at(TimeToWire(now));
  std::size_t bytes = 0;
  const std::uint64_t end =
      std::min(log_.last_index() + 1, peer.next + kMaxEntriesPerAppend);
  for (; peer.next < end && bytes < kMaxBytesPerAppend; ++peer.next) {
    *request->add_entries() = log_.At(peer.next);
    bytes += log_.At(peer.next).ByteSizeLong();
  }
  Send(to, std::move(message), term_);
}

void RaftCore::SendSnapshot(const MemberId& to, Peer& peer, TimePoint now) {
  if (now < peer.snapshot_sent_at + kSnapshotResendInterval)
    return;
  peer.snapshot_sent_at = now;
  wire::RaftMessage message;
  wire::SnapshotRequest* request = message.mutable_snapshot_request();
  request->set_last_index(log_.snapshot_index());
  request->set_last_term(log_.snapshot_term());
  *request->mutable_voters() = snapshot_voters_;
  request->set_sent_at(TimeToWire(now));
  // The owner adds the state, which the core does not hold.
  Send(to, std::move(message), term_);
}

void RaftCore::ReplyAppend(const MemberId& to,
                           bool success,
                           std::uint64_t match,
                           std::uint64_t sent_at) {
  wire::RaftMessage message;
  wire::AppendReply* reply = message.mutable_append_reply();
  reply->set_success(success);
  reply->set_match_index(match);
  reply->set_sent_at(sent_at);
  Send(to, std::move(message), term_);
}

void RaftCore::OnAppendRequest(const MemberId& from,
                               const wire::RaftMessage& message,
                               TimePoint now) {
  const wire::AppendRequest& request = message.append_request();
  if (message.term() < term_)
    return ReplyAppend(from, false, 0, request.sent_at());
  BecomeFollower(message.term(), from, now);
  leader_contact_ = now;
  ResetElectionTimer(now);
  const std::uint64_t previous = request.previous_index();
  const bool matches = previous <= log_.last_index() &&
                       (previous < log_.snapshot_index() ||
                        log_.TermAt(previous) == request.previous_term());
  if (!matches) {
    return ReplyAppend(from, false, MatchHint(previous), request.sent_at());
  }
  if (!AppendEntries(request))
    return;
  const std::uint64_t match =
      previous + static_cast<std::uint64_t>(request.entries_size());
  SetCommit(std::min(request.commit_index(), match));
  ReplyAppend(from, true, match, request.sent_at());
}

// Returns the last index that may match the log of a leader whose entry at
// `previous` differs. Skips a whole term at a time.
std::uint64_t RaftCore::MatchHint(std::uint64_t previous) const {
  std::uint64_t hint = std::min(log_.last_index(), previous);
  const std::uint64_t conflicting_term = log_.TermAt(hint);
  while (hint > commit_ && hint >= log_.first_index() &&
         (hint == previous || log_.TermAt(hint) == conflicting_term) &&
         log_.last_index() >= previous) {
    --hint;
  }
  return hint;
}

bool RaftCore::AppendEntries(const wire::AppendRequest& request) {
  for (const wire::LogEntry& entry : request.entries()) {
    if (entry.index() <= log_.snapshot_index())
      continue;
    if (log_.Holds(entry.index())) {
      if (log_.TermAt(entry.index()) == entry.term())
        continue;
      if (!CheckInvariant(entry.index() > commit_,
                          Invariant::kConfigurationMonotone,
                          "a committed entry would be replaced")) {
        return false;
      }
      TruncateFrom(entry.index());
    }
    if (entry.index() != log_.last_index() + 1)
      return false;
    Append(entry);
  }
  return true;
}

void RaftCore::OnAppendReply(const MemberId& from,
                             const wire::RaftMessage& message,
                             TimePoint now) {
  const auto it = peers_.find(from);
  if (role_ != RaftRole::kLeader || message.term() != term_ ||
      it == peers_.end()) {
    return;
  }
  const wire::AppendReply& reply = message.append_reply();
  Peer& peer = it->second;
  const TimePoint sent = TimeFromWire(reply.sent_at());
  if (sent <= now)
    peer.acked_sent_at = std::max(peer.acked_sent_at, sent);
  if (!reply.success()) {
    // The hint may only move `next` back.
    peer.next =
        std::max(peer.match + 1, std::min(peer.next, reply.match_index() + 1));
    // Delayed and duplicated rejections must not multiply the messages.
    if (now >= peer.retry_sent_at + kRetryInterval) {
      peer.retry_sent_at = now;
      SendAppend(from, peer, now);
    }
    return;
  }
  peer.match = std::max(peer.match, reply.match_index());
  peer.next = std::max(peer.next, peer.match + 1);
  AdvanceCommit();
  if (peer.next <= log_.last_index())
    SendAppend(from, peer, now);
}

void RaftCore::AdvanceCommit() {
  std::vector<std::uint64_t> matches;
  for (const std::string& voter : voters_.voters())
    matches.push_back(MatchIndexOf(MemberId(voter)));
  if (matches.empty())
    return;
  std::sort(matches.rbegin(), matches.rend());
  const std::uint64_t index =
      matches[static_cast<std::size_t>(QuorumSize()) - 1];
  // Entries of earlier terms are committed only along with one of this term.
  if (index > commit_ && log_.TermAt(index) == term_)
    SetCommit(index);
}

void RaftCore::SetCommit(std::uint64_t index) {
  commit_ = std::max(commit_, std::min(index, log_.last_index()));
  // A removed leader steps down once its removal is committed.
  if (role_ == RaftRole::kLeader && !IsVoter(options_.self) &&
      voters_index_ <= commit_) {
    role_ = RaftRole::kFollower;
    leader_ = MemberId();
  }
}

void RaftCore::OnSnapshot(const MemberId& from,
                          const wire::RaftMessage& message,
                          TimePoint now) {
  const wire::SnapshotRequest& request = message.snapshot_request();
  if (message.term() < term_)
    return ReplyAppend(from, false, 0, request.sent_at());
  BecomeFollower(message.term(), from, now);
  leader_contact_ = now;
  ResetElectionTimer(now);
  if (log_.Holds(request.last_index()) &&
      log_.TermAt(request.last_index()) == request.last_term()) {
    // The log covers the snapshot and may hold acknowledged entries beyond it.
    SetCommit(request.last_index());
  } else if (request.last_index() > commit_) {
    wire::DurableSnapshot snapshot;
    snapshot.set_last_index(request.last_index());
    snapshot.set_last_term(request.last_term());
    *snapshot.mutable_voters() = request.voters();
    snapshot.set_state(request.state());
    log_.Reset(request.last_index(), request.last_term());
    snapshot_voters_ = request.voters();
    commit_ = delivered_ = request.last_index();
    synced_index_ = ready_index_ = request.last_index();
    // The snapshot replaces all entries not yet written.
    std::erase_if(ready_.records,
                  [](const auto& record) { return !record.has_vote(); });
    ready_.snapshot = std::move(snapshot);
    RefreshVoters();
  }
  ReplyAppend(from, true, request.last_index(), request.sent_at());
}

}  // namespace endivecart::control
