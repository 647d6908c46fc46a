#include "endivecart/fleet/fleet_feed.h"

#include <algorithm>
#include <utility>

namespace endivecart::fleet {

FleetFeed::FleetFeed(std::uint64_t incarnation,
                     const upstreams::UpstreamRegistry* roster,
                     Hooks hooks)
    : incarnation_(incarnation),
      roster_(roster),
      hooks_(std::move(hooks)),
      started_at_(hooks_.now()) {}

void FleetFeed::OnPoll(const HostId& from, const wire::FleetPoll& poll) {
  Follower& follower = followers_[from];
  follower.polled_at = hooks_.now();
  follower.poll = poll;
  if (poll.serves_callers())
    caller_seen_at_[from] = hooks_.now();
  // Trusts the poll rather than what was pushed, which may have been lost.
  follower.sent_cursor =
      poll.feed_incarnation() == incarnation_ ? poll.feed_cursor() : 0;
  follower.sent_decisions = poll.decisions_index();
  if (poll.routing_version() != decisions_.routing_version &&
      follower.missing_version != decisions_.routing_version) {
    follower.missing_version = decisions_.routing_version;
    follower.missing_since = follower.polled_at;
  }
  for (const wire::ServiceMoveReport& report : poll.move_reports())
    hooks_.on_move_report(from, report);
  Send(from, follower, true);
}

void FleetFeed::PushDecisions(const Decisions& decisions) {
  decisions_ = decisions;
  for (auto& [host, follower] : followers_)
    Send(host, follower, false);
}

void FleetFeed::PushAnnouncements() {
  for (auto& [host, follower] : followers_)
    Send(host, follower, false);
}

void FleetFeed::Expire() {
  const TimePoint now = hooks_.now();
  std::erase_if(caller_seen_at_, [&](const auto& entry) {
    return now - entry.second > kCallerRetention;
  });
  std::erase_if(followers_, [&](const auto& entry) {
    if (now - entry.second.polled_at <= kFollowerTimeout)
      return false;
    LogLine("fleet.follower_lost").Add("host", entry.first.str()).Info();
    return true;
  });
}

void FleetFeed::Send(const HostId& to, Follower& follower, bool is_answer) {
  const TimePoint now = hooks_.now();
  wire::Envelope envelope;
  wire::FleetUpdate& update = *envelope.mutable_fleet_news();
  update.set_feed_incarnation(incarnation_);
  update.set_feed_cursor(roster_->newest_change());
  for (const auto* upstream : roster_->ChangedSince(follower.sent_cursor)) {
    *update.add_announcements() = upstreams::ToRecord(
        upstream->last,
        std::chrono::duration_cast<Millis>(now - upstream->received_at));
  }
  follower.sent_cursor = roster_->newest_change();
  if (decisions_.index > follower.sent_decisions) {
    *update.mutable_decisions() =
        ToWire(decisions_, IncludeDocument(follower, now));
    follower.sent_decisions = decisions_.index;
  }
  for (const HostId& host : ControlHosts())
    update.add_control_hosts(host.str());
  update.set_leader_host(hooks_.leader_host().str());
  update.set_caller_hosts(static_cast<std::uint32_t>(CallerHosts()));
  update.set_caller_rank(static_cast<std::uint32_t>(
      std::distance(caller_seen_at_.begin(), caller_seen_at_.lower_bound(to))));
  for (const UpstreamId& upstream : hooks_.quiesced())
    update.add_resting_upstreams(upstream.str());
  if (is_answer && follower.poll.serves_callers()) {
    if (follower.poll.wants_loads())
      AddRemoteLoads(to, update);
    auto cache = hooks_.cache_update(follower.poll.cache_term(),
                                     follower.poll.cache_cursor());
    if (cache)
      *update.mutable_cache() = std::move(*cache);
  }
  hooks_.send(to, std::move(envelope));
}

bool FleetFeed::IncludeDocument(Follower& follower, TimePoint now) {
  const std::uint64_t version = decisions_.routing_version;
  if (follower.poll.routing_version() == version)
    return false;
  const bool is_overdue =
      follower.missing_version == version &&
      now - follower.missing_since >= kSecondaryDocumentDelay;
  if (!follower.poll.wants_loads() && !is_overdue)
    return false;
  if (follower.sent_document_version == version &&
      now - follower.document_sent_at < kDocumentResendDelay) {
    return false;
  }
  follower.sent_document_version = version;
  follower.document_sent_at = now;
  return true;
}

void FleetFeed::AddRemoteLoads(const HostId& receiver,
                               wire::FleetUpdate& update) const {
  std::map<std::string, wire::UpstreamLoad> sums;
  for (const auto& [host, follower] : followers_) {
    if (host == receiver)
      continue;
    for (const wire::UpstreamLoad& load : follower.poll.loads()) {
      wire::UpstreamLoad& sum = sums[load.upstream()];
      sum.set_requests(sum.requests() + load.requests());
      sum.set_prompt_tokens(sum.prompt_tokens() + load.prompt_tokens());
      sum.set_held_tokens(sum.held_tokens() + load.held_tokens());
    }
  }
  for (auto& [upstream, sum] : sums) {
    sum.set_upstream(upstream);
    *update.add_loads() = std::move(sum);
  }
}

std::vector<HostId> FleetFeed::ControlHosts() const {
  std::vector<HostId> hosts = hooks_.voter_hosts();
  for (const auto& [host, follower] : followers_) {
    if (!follower.poll.serves_callers() &&
        std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

int FleetFeed::CallerHosts() const {
  if (hooks_.now() - started_at_ < kCallerDiscoveryTime)
    return 0;
  return static_cast<int>(caller_seen_at_.size());
}

}  // namespace endivecart::fleet
