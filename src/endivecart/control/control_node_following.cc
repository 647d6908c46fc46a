// Part of ControlNode: following the configuration, and tracking followers.

#include <algorithm>
#include <utility>

#include "endivecart/control/control_node.h"
#include "endivecart/control/control_timing.h"
#include "endivecart/control/wire_time.h"

namespace endivecart::control {

namespace {

constexpr Millis kPollInterval{500};
constexpr Millis kParentTimeout{1200};
constexpr Millis kLeaderTaskInterval{500};
constexpr Millis kHostDownTimeout{4500};
constexpr Millis kProposalTimeout{5000};
constexpr char kFirstChangeId[] = "first-configuration";

}  // namespace

std::optional<TimePoint> ControlNode::LatestContact(TimePoint now) const {
  if (IsLeader()) {
    // Entries that are committed but not applied are not in force here.
    if (core_->delivered_index() < core_->commit_index() || stalled_)
      return std::nullopt;
    return core_->QuorumContact(now);
  }
  return freshness_.Holds(now) ? std::optional(freshness_.contact())
                               : std::nullopt;
}

bool ControlNode::IsFresh(TimePoint now) const {
  const auto contact = LatestContact(now);
  return current_ && contact && now < *contact + kFreshnessLease;
}

void ControlNode::RunLeaderTasks(TimePoint now) {
  if (now < leader_tasks_due_)
    return;
  leader_tasks_due_ = now + kLeaderTaskInterval;
  const bool committed_own_term =
      core_->log().TermAt(core_->commit_index()) == core_->term();
  if (!committed_own_term)
    return;
  if (machine_->revision() == 0 && !options_.first_document.empty()) {
    wire::Command command;
    command.mutable_change()->set_change_id(kFirstChangeId);
    command.mutable_change()->set_author("settings");
    command.mutable_change()->set_patch(options_.first_document);
    Propose(
        std::move(command), now + kProposalTimeout, [](auto) {}, now);
  }
  UpdateHostStates(now);
}

// Proposes which hosts are marked as down, so that upstreams with their home on
// such a host move to another.
void ControlNode::UpdateHostStates(TimePoint now) {
  if (now < leader_since_ + kHostDownTimeout)
    return;
  for (const settings::HostEntry& host : options_.hosts) {
    if (host.id == options_.self)
      continue;
    const FollowerTracker::Follower* follower = followers_.Find(host.id);
    const bool down =
        follower == nullptr || now >= follower->last_heard + kHostDownTimeout;
    if (down == machine_->down_hosts().contains(host.id))
      continue;
    LogLine("membership.host")
        .Add("host", host.id.str())
        .Add("down", down ? 1 : 0)
        .Info();
    wire::Command command;
    command.mutable_host_state()->set_host(host.id.str());
    command.mutable_host_state()->set_down(down);
    Propose(
        std::move(command), now + kProposalTimeout, [](auto) {}, now);
  }
  if (machine_->down_hosts().contains(options_.self)) {
    wire::Command command;
    command.mutable_host_state()->set_host(options_.self.str());
    Propose(
        std::move(command), now + kProposalTimeout, [](auto) {}, now);
  }
}

std::optional<InForceStatus> ControlNode::GetInForceStatus(
    Revision revision,
    TimePoint now) const {
  if (!IsLeader())
    return std::nullopt;
  InForceStatus status;
  status.revision = revision;
  const auto contact = core_->QuorumContact(now);
  status.in_force = contact && machine_->revision() >= revision;
  // Leases granted by an earlier leader may not have expired yet.
  const TimePoint old_leases_expired_at = std::max(
      leader_since_ + kFreshnessLease + kLeaseMargin, unreported_leases_until_);
  for (const settings::HostEntry& host : options_.hosts) {
    if (host.id == options_.self)
      continue;
    const FollowerTracker::Follower* follower = followers_.Find(host.id);
    if (follower != nullptr && follower->revision >= revision)
      continue;
    LaggingHost lagging;
    lagging.host = host.id;
    lagging.revision = follower == nullptr ? 0 : follower->revision;
    if (followers_.MayHoldLease(host.id, now) || now < old_leases_expired_at) {
      lagging.reason = "not acknowledged; the host may hold a freshness lease";
      status.in_force = false;
    } else {
      lagging.reason =
          "unreachable or stopped; its freshness lease has expired";
    }
    status.lagging.push_back(std::move(lagging));
  }
  return status;
}

std::optional<HostId> ControlNode::ChooseParent(TimePoint now) {
  // A voter follows the leader, as other hosts follow the voter.
  if (IsActiveVoter())
    return LeaderHost().empty() ? std::nullopt : std::optional(LeaderHost());
  std::vector<HostId> voters;
  for (const settings::HostEntry& host : options_.hosts) {
    if (host.voter && host.id != options_.self &&
        host.domain == options_.domain)
      voters.push_back(host.id);
  }
  for (const settings::HostEntry& host : options_.hosts) {
    if (host.voter && host.id != options_.self &&
        host.domain != options_.domain)
      voters.push_back(host.id);
  }
  if (voters.empty())
    return std::nullopt;
  if (now >= std::max(parent_replied_at_, parent_since_) + kParentTimeout) {
    parent_since_ = now;
    if (!parent_.empty())
      ++parent_index_;
  }
  return voters[parent_index_ % voters.size()];
}

void ControlNode::Poll(TimePoint now) {
  poll_due_ = now + kPollInterval;
  if (IsLeader())
    return;
  const auto parent = ChooseParent(now);
  if (!parent || *parent == options_.self)
    return;
  parent_ = *parent;
  wire::Envelope envelope;
  wire::FollowPoll& poll = *envelope.mutable_follow_poll();
  poll.set_asked_at(TimeToWire(now));
  poll.set_revision(current_ ? current_->revision : 0);
  poll.set_down_epoch(down_epoch_);
  poll.set_recently_started(core_ &&
                            now < started_at_ + kFreshnessLease + kLeaseMargin);
  for (const wire::FollowerState& follower : followers_.ReportFollowers(now))
    *poll.add_followers() = follower;
  hooks_.send(*parent, std::move(envelope));
  // A member that is not a voter yet announces itself in order to be added.
  if (core_ && !IsActiveVoter()) {
    wire::Envelope hello;
    hello.mutable_raft()->set_member(options_.member.str());
    hooks_.send(*parent, hello);
    if (!leader_hint_.empty() && leader_hint_ != *parent)
      hooks_.send(leader_hint_, std::move(hello));
  }
}

void ControlNode::OnFollowPoll(const HostId& from,
                               const wire::FollowPoll& poll,
                               TimePoint now) {
  if (!IsActiveVoter())
    return;
  const FollowerTracker::Follower* follower = followers_.Find(from);
  if (follower == nullptr || follower->revision < poll.revision())
    poll_due_ = now;  // the leader waits for this acknowledgment
  if (poll.recently_started())
    unreported_leases_until_ = now + kFreshnessLease + kLeaseMargin;
  followers_.OnPoll(from, poll, now);
  SendFollowReply(from, now);
}

void ControlNode::PushUpdates(TimePoint now) {
  for (const HostId& host : followers_.DirectFollowers(now))
    SendFollowReply(host, now);
}

void ControlNode::SendFollowReply(const HostId& to, TimePoint now) {
  const FollowerTracker::Follower* follower = followers_.Find(to);
  if (follower == nullptr || !IsActiveVoter())
    return;
  wire::Envelope envelope;
  wire::FollowReply& reply = *envelope.mutable_follow_reply();
  reply.set_asked_at(follower->poll_sent_at);
  reply.set_leader(LeaderHost().str());
  const auto contact = LatestContact(now);
  reply.set_fresh(contact && IsFresh(now));
  if (contact) {
    const auto age = std::chrono::duration_cast<Millis>(now - *contact);
    reply.set_age_ms(static_cast<std::uint32_t>(age.count()) + 1);
  }
  // Freshness applies to the configuration in force on this host, which may be
  // ahead of its copy of the log.
  const Revision revision = current_ ? current_->revision : 0;
  reply.set_revision(revision);
  std::vector<wire::RevisionPatch> patches;
  if (follower->revision > 0 && machine_->revision() == revision &&
      machine_->PatchesSince(follower->revision, patches)) {
    for (wire::RevisionPatch& patch : patches)
      *reply.add_patches() = std::move(patch);
  } else if (follower->revision < revision) {
    reply.set_document(current_->document);
  }
  reply.set_down_epoch(down_epoch_);
  if (follower->down_epoch != down_epoch_) {
    for (const HostId& host : down_hosts_)
      reply.add_down_hosts(host.str());
  }
  hooks_.send(to, std::move(envelope));
}

bool ControlNode::AdoptConfiguration(const wire::FollowReply& reply) {
  const Revision before = current_ ? current_->revision : 0;
  if (!reply.document().empty())
    Publish(reply.revision(), reply.document());
  for (const wire::RevisionPatch& patch : reply.patches()) {
    if (!current_ || patch.revision() != current_->revision + 1)
      continue;
    const auto document =
        configuration::ApplyMergePatch(current_->document, patch.patch());
    if (document)
      Publish(patch.revision(), *document);
  }
  return current_ && current_->revision > before;
}

void ControlNode::OnFollowReply(const HostId& from,
                                const wire::FollowReply& reply,
                                TimePoint now) {
  parent_replied_at_ = now;
  if (!reply.leader().empty())
    leader_hint_ = HostId(reply.leader());
  const bool updated = AdoptConfiguration(reply);
  push_pending_ |= updated;
  if (reply.down_epoch() > down_epoch_) {
    std::set<HostId> down;
    for (const std::string& host : reply.down_hosts())
      down.insert(HostId(host));
    SetDownHosts(down, reply.down_epoch());
  }
  // A reply confirms nothing if this host lacks the configuration it refers to.
  const TimePoint asked = TimeFromWire(reply.asked_at());
  if (reply.fresh() && current_ && current_->revision >= reply.revision() &&
      asked <= now) {
    freshness_.Confirm(asked - Millis(reply.age_ms()));
  }
  // Polls now to acknowledge the change, so that the leader can report it as in
  // force.
  if (updated && from == parent_)
    poll_due_ = now;
}

}  // namespace endivecart::control
