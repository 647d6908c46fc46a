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
    caller_places_[from] = hooks_.now();
  // What was pushed since may have been lost: the poll counts.
  follower.sent_cursor =
      poll.feed_incarnation() == incarnation_ ? poll.feed_cursor() : 0;
  follower.sent_decisions = poll.decisions_index();
  if (poll.routing_version() != decisions_.routing_version &&
      follower.lacking_version != decisions_.routing_version) {
    follower.lacking_version = decisions_.routing_version;
    follower.lacking_since = follower.polled_at;
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
  std::erase_if(caller_places_, [&](const auto& entry) {
    return now - entry.second > kKeepPlace;
  });
  std::erase_if(followers_, [&](const auto& entry) {
    if (now - entry.second.polled_at <= kForgetFollower)
      return false;
    LogLine("fleet.follower_lost").Add("host", entry.first.str()).Info();
    return true;
  });
}

void FleetFeed::Send(const HostId& to, Follower& follower, bool is_answer) {
  const TimePoint now = hooks_.now();
  wire::Envelope envelope;
  wire::FleetNews& news = *envelope.mutable_fleet_news();
  news.set_feed_incarnation(incarnation_);
  news.set_feed_cursor(roster_->newest_change());
  for (const auto* upstream : roster_->ChangedSince(follower.sent_cursor)) {
    *news.add_announcements() = upstreams::ToRecord(
        upstream->last,
        std::chrono::duration_cast<Millis>(now - upstream->received_at));
  }
  follower.sent_cursor = roster_->newest_change();
  if (decisions_.index > follower.sent_decisions) {
    *news.mutable_decisions() = ToWire(decisions_, TakeDocument(follower, now));
    follower.sent_decisions = decisions_.index;
  }
  for (const HostId& host : ControlHosts())
    news.add_control_hosts(host.str());
  news.set_leader_host(hooks_.leader_host().str());
  news.set_caller_hosts(static_cast<std::uint32_t>(CallerHosts()));
  news.set_caller_rank(static_cast<std::uint32_t>(
      std::distance(caller_places_.begin(), caller_places_.lower_bound(to))));
  for (const UpstreamId& upstream : hooks_.resting())
    news.add_resting_upstreams(upstream.str());
  if (is_answer && follower.poll.serves_callers()) {
    if (follower.poll.wants_loads())
      AddLoadsOfOthers(to, news);
    auto cache = hooks_.cache_news(follower.poll.cache_term(),
                                   follower.poll.cache_cursor());
    if (cache)
      *news.mutable_cache() = std::move(*cache);
  }
  hooks_.send(to, std::move(envelope));
}

bool FleetFeed::TakeDocument(Follower& follower, TimePoint now) {
  const std::uint64_t version = decisions_.routing_version;
  if (follower.poll.routing_version() == version)
    return false;
  const bool lacks_it_long =
      follower.lacking_version == version &&
      now - follower.lacking_since >= kDocumentFromOthers;
  if (!follower.poll.wants_loads() && !lacks_it_long)
    return false;
  if (follower.sent_document == version &&
      now - follower.document_sent_at < kDocumentOnItsWay) {
    return false;
  }
  follower.sent_document = version;
  follower.document_sent_at = now;
  return true;
}

void FleetFeed::AddLoadsOfOthers(const HostId& receiver,
                                 wire::FleetNews& news) const {
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
    *news.add_loads() = std::move(sum);
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
  if (hooks_.now() - started_at_ < kLearnCallers)
    return 0;
  return static_cast<int>(caller_places_.size());
}

}  // namespace endivecart::fleet
