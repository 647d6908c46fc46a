// Following the configuration, and what the leader knows of its followers.

#include <algorithm>
#include <utility>

#include "endivecart/control/control_node.h"
#include "endivecart/control/control_timing.h"
#include "endivecart/control/wire_time.h"

namespace endivecart::control {

namespace {

constexpr Millis kPollInterval{500};
constexpr Millis kParentPatience{1200};
constexpr Millis kMarkInterval{500};
constexpr Millis kHostDownAfter{4500};
constexpr Millis kProposalPatience{5000};
constexpr char kFirstChangeId[] = "first-configuration";

}  // namespace

std::optional<TimePoint> ControlNode::OwnContact(TimePoint now) const {
  if (IsLeader()) {
    // What is committed but not applied yet is not in force here.
    if (core_->handed_out_index() < core_->commit_index() || stalled_)
      return std::nullopt;
    return core_->QuorumContact(now);
  }
  return freshness_.Holds(now) ? std::optional(freshness_.contact())
                               : std::nullopt;
}

bool ControlNode::Fresh(TimePoint now) const {
  const auto contact = OwnContact(now);
  return current_ && contact && now < *contact + kFreshnessLease;
}

void ControlNode::LeaderDuties(TimePoint now) {
  if (now < mark_due_)
    return;
  mark_due_ = now + kMarkInterval;
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
        std::move(command), now + kProposalPatience, [](auto) {}, now);
  }
  MarkHosts(now);
}

// Records which hosts are down, so that their homes move.
void ControlNode::MarkHosts(TimePoint now) {
  if (now < leader_since_ + kHostDownAfter)
    return;
  for (const settings::HostEntry& host : options_.hosts) {
    if (host.id == options_.self)
      continue;
    const FollowerTracker::Known* known = followers_.Find(host.id);
    const bool down = known == nullptr || now >= known->heard + kHostDownAfter;
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
        std::move(command), now + kProposalPatience, [](auto) {}, now);
  }
  if (machine_->down_hosts().contains(options_.self)) {
    wire::Command command;
    command.mutable_host_state()->set_host(options_.self.str());
    Propose(
        std::move(command), now + kProposalPatience, [](auto) {}, now);
  }
}

std::optional<ForceReport> ControlNode::Force(Revision revision,
                                              TimePoint now) const {
  if (!IsLeader())
    return std::nullopt;
  ForceReport report;
  report.revision = revision;
  const auto contact = core_->QuorumContact(now);
  report.in_force = contact && machine_->revision() >= revision;
  // Leases that an earlier leader gave may still be out.
  const TimePoint settled = std::max(
      leader_since_ + kFreshnessLease + kLeaseMargin, unreported_until_);
  for (const settings::HostEntry& host : options_.hosts) {
    if (host.id == options_.self)
      continue;
    const FollowerTracker::Known* known = followers_.Find(host.id);
    if (known != nullptr && known->revision >= revision)
      continue;
    BehindHost behind;
    behind.host = host.id;
    behind.revision = known == nullptr ? 0 : known->revision;
    if (followers_.MayBeFresh(host.id, now) || now < settled) {
      behind.reason = "not acknowledged; it may hold a freshness lease";
      report.in_force = false;
    } else {
      behind.reason = "cut off or stopped; its freshness lease has run out";
    }
    report.behind.push_back(std::move(behind));
  }
  return report;
}

std::optional<HostId> ControlNode::ChooseParent(TimePoint now) {
  // A voter follows the leader: it is itself the parent of others.
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
  if (now >= std::max(parent_heard_, parent_since_) + kParentPatience) {
    parent_since_ = now;
    if (!parent_.empty())
      ++parent_turn_;
  }
  return voters[parent_turn_ % voters.size()];
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
  for (const wire::FollowerState& follower : followers_.Report(now))
    *poll.add_followers() = follower;
  hooks_.send(*parent, std::move(envelope));
  // A member that is not a voter yet makes itself known, to be added.
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
  const FollowerTracker::Known* known = followers_.Find(from);
  if (known == nullptr || known->revision < poll.revision())
    poll_due_ = now;  // the leader waits for this acknowledgement
  if (poll.recently_started())
    unreported_until_ = now + kFreshnessLease + kLeaseMargin;
  followers_.OnPoll(from, poll, now);
  SendFollowReply(from, now);
}

void ControlNode::PushNews(TimePoint now) {
  for (const HostId& host : followers_.Direct(now))
    SendFollowReply(host, now);
}

void ControlNode::SendFollowReply(const HostId& to, TimePoint now) {
  const FollowerTracker::Known* known = followers_.Find(to);
  if (known == nullptr || !IsActiveVoter())
    return;
  wire::Envelope envelope;
  wire::FollowReply& reply = *envelope.mutable_follow_reply();
  reply.set_asked_at(known->asked_at);
  reply.set_leader(LeaderHost().str());
  const auto contact = OwnContact(now);
  reply.set_fresh(contact && Fresh(now));
  if (contact) {
    const auto age = std::chrono::duration_cast<Millis>(now - *contact);
    reply.set_age_ms(static_cast<std::uint32_t>(age.count()) + 1);
  }
  // This host's freshness speaks of the configuration it has in force, which
  // may be ahead of its own copy of the log.
  const Revision revision = current_ ? current_->revision : 0;
  reply.set_revision(revision);
  std::vector<wire::RevisionPatch> patches;
  if (known->revision > 0 && machine_->revision() == revision &&
      machine_->PatchesSince(known->revision, patches)) {
    for (wire::RevisionPatch& patch : patches)
      *reply.add_patches() = std::move(patch);
  } else if (known->revision < revision) {
    reply.set_document(current_->document);
  }
  reply.set_down_epoch(down_epoch_);
  if (known->down_epoch != down_epoch_) {
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
  parent_heard_ = now;
  if (!reply.leader().empty())
    leader_hint_ = HostId(reply.leader());
  const bool news = AdoptConfiguration(reply);
  news_to_push_ |= news;
  if (reply.down_epoch() > down_epoch_) {
    std::set<HostId> down;
    for (const std::string& host : reply.down_hosts())
      down.insert(HostId(host));
    SetDownHosts(down, reply.down_epoch());
  }
  // An answer without the configuration it speaks of confirms nothing.
  const TimePoint asked = TimeFromWire(reply.asked_at());
  if (reply.fresh() && current_ && current_->revision >= reply.revision() &&
      asked <= now) {
    freshness_.Confirm(asked - Millis(reply.age_ms()));
  }
  // Acknowledges at once, so that the change is soon known to be in force.
  if (news && from == parent_)
    poll_due_ = now;
}

}  // namespace endivecart::control
