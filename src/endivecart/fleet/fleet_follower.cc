#include "endivecart/fleet/fleet_follower.h"

#include <algorithm>
#include <utility>

namespace endivecart::fleet {

FleetFollower::FleetFollower(FleetFollowerOptions options, Hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {
  for (const HostId& contact : options_.contacts) {
    if (contact != options_.self)
      control_hosts_[contact].named_at = hooks_.now();
  }
}

void FleetFollower::Tick() {
  NoteLostContacts();
  if (hooks_.now() >= poll_due_)
    Poll();
}

void FleetFollower::Poll() {
  poll_due_ = hooks_.now() + options_.poll_interval;
  wire::FleetPoll poll;
  poll.set_incarnation(options_.incarnation);
  poll.set_member(options_.member);
  poll.set_serves_callers(options_.serves_callers);
  if (decisions_) {
    poll.set_decisions_index(decisions_->index);
    poll.set_routing_version(decisions_->routing_version);
  }
  if (options_.serves_callers) {
    for (const OwnLoad& own : hooks_.own_loads()) {
      wire::UpstreamLoad& load = *poll.add_loads();
      load.set_upstream(own.upstream.str());
      load.set_requests(static_cast<std::uint32_t>(own.requests));
      load.set_prompt_tokens(static_cast<std::uint32_t>(own.prompt_tokens));
      load.set_held_tokens(static_cast<std::uint32_t>(own.held_tokens));
    }
    if (hooks_.cache_position) {
      const auto [term, cursor] = hooks_.cache_position();
      poll.set_cache_term(term);
      poll.set_cache_cursor(cursor);
    }
    for (wire::ServiceMoveReport& report : hooks_.move_reports())
      *poll.add_move_reports() = std::move(report);
  }
  HostId main = MainControlHost();
  const bool asks_all =
      main.empty() ||
      polls_ % static_cast<std::uint64_t>(options_.others_every) == 0;
  if (main.empty())
    main = GuessedControlHost();
  ++polls_;
  for (auto& [host, control] : control_hosts_) {
    if ((host != main && !asks_all) || IsAnswerOnItsWay(control))
      continue;
    wire::Envelope envelope;
    wire::FleetPoll& out = *envelope.mutable_fleet_poll();
    out = poll;
    out.set_wants_loads(options_.serves_callers && host == main);
    if (host != main)
      out.clear_loads();
    out.set_feed_incarnation(control.feed_incarnation);
    out.set_feed_cursor(control.feed_cursor);
    control.polled_at = hooks_.now();
    hooks_.send(host, std::move(envelope));
  }
}

bool FleetFollower::IsAnswerOnItsWay(const ControlHost& control) const {
  // One that starts just now may have missed the first poll.
  return control.in_contact && control.polled_at > control.heard_at &&
         hooks_.now() - control.polled_at < kAnswerLost;
}

HostId FleetFollower::MainControlHost() const {
  const auto leader = control_hosts_.find(leader_);
  if (leader != control_hosts_.end() && leader->second.in_contact)
    return leader_;
  for (const auto& [host, control] : control_hosts_) {
    if (control.in_contact)
      return host;
  }
  return HostId();
}

void FleetFollower::OnNews(const HostId& from, const wire::FleetNews& news) {
  const auto it = control_hosts_.find(from);
  if (it == control_hosts_.end())
    return;  // no longer one of control
  ControlHost& control = it->second;
  const TimePoint now = hooks_.now();
  if (!std::exchange(control.in_contact, true))
    LogLine("fleet.contact").Add("control_host", from.str()).Info();
  control.heard_at = now;
  control.heard = true;
  control.place = {static_cast<int>(news.caller_hosts()),
                   static_cast<int>(news.caller_rank())};
  for (const wire::AnnouncementRecord& record : news.announcements()) {
    if (const auto announcement = upstreams::FromRecord(record)) {
      hooks_.on_announcement(*announcement, now - Millis(record.age_ms()));
    } else {
      LogLine("fleet.announcement_unusable")
          .Add("control_host", from.str())
          .Warn();
    }
  }
  control.feed_incarnation = news.feed_incarnation();
  control.feed_cursor = news.feed_cursor();
  if (news.loads_size() > 0) {
    loads_heard_at_ = now;
    loads_.clear();
    for (const wire::UpstreamLoad& load : news.loads())
      loads_[UpstreamId(load.upstream())] = load;
    if (hooks_.on_loads)
      hooks_.on_loads();
  }
  if (news.leader_host() == from.str()) {
    leader_ = from;
    resting_.clear();
    for (const std::string& upstream : news.resting_upstreams())
      resting_.emplace(upstream);
    resting_heard_at_ = now;
  }
  if (news.has_cache() && hooks_.on_cache)
    hooks_.on_cache(news.cache());
  if (news.has_decisions())
    TakeDecisions(news.decisions());
  std::vector<HostId> named;
  for (const std::string& host : news.control_hosts())
    named.emplace_back(host);
  NoteControlHosts(named);
}

void FleetFollower::TakeDecisions(const wire::FleetDecisions& message) {
  if (decisions_ && message.index() <= decisions_->index)
    return;
  const bool needs_document =
      message.routing_omitted() && message.routing_version() != 0 &&
      (!decisions_ || decisions_->routing_version != message.routing_version());
  if (needs_document) {
    poll_due_ = hooks_.now();  // asks for the document
    return;
  }
  auto decisions =
      std::make_shared<const Decisions>(FromWire(message, decisions_.get()));
  if (!CheckInvariant(!decisions_ || decisions->routing_version >=
                                         decisions_->routing_version,
                      Invariant::kConfigurationMonotone,
                      "a later decision has an older routing version")) {
    return;
  }
  decisions_ = std::move(decisions);
  hooks_.on_decisions(decisions_);
}

void FleetFollower::NoteControlHosts(const std::vector<HostId>& hosts) {
  const TimePoint now = hooks_.now();
  bool is_new = false;
  for (const HostId& host : hosts) {
    if (host == options_.self)
      continue;
    const auto [it, added] = control_hosts_.try_emplace(host);
    it->second.named_at = now;
    is_new = is_new || added;
  }
  const auto forgotten = std::erase_if(control_hosts_, [&](const auto& entry) {
    const bool is_contact =
        std::find(options_.contacts.begin(), options_.contacts.end(),
                  entry.first) != options_.contacts.end();
    return !is_contact && now - entry.second.named_at > kForgetControlHost;
  });
  if (!is_new && forgotten == 0)
    return;
  TellControlHosts();
  if (is_new)
    poll_due_ = now;
}

void FleetFollower::TellControlHosts() const {
  std::vector<HostId> hosts;
  for (const auto& [host, known] : control_hosts_)
    hosts.push_back(host);
  hooks_.on_control_hosts(hosts);
}

void FleetFollower::AddContacts(const std::vector<HostId>& contacts) {
  bool is_new = false;
  for (const HostId& contact : contacts) {
    if (contact == options_.self)
      continue;
    const auto [it, added] = control_hosts_.try_emplace(contact);
    it->second.named_at = hooks_.now();
    is_new = is_new || added;
  }
  options_.contacts = contacts;
  if (is_new)
    TellControlHosts();
}

void FleetFollower::NoteLostContacts() {
  const TimePoint now = hooks_.now();
  for (auto& [host, control] : control_hosts_) {
    if (control.in_contact && now - control.heard_at > kContactLost) {
      control.in_contact = false;
      LogLine("fleet.contact_lost").Add("control_host", host.str()).Warn();
    }
  }
}

// Another one with each poll, and other ones than other processes guess.
HostId FleetFollower::GuessedControlHost() const {
  if (control_hosts_.empty())
    return HostId();
  const std::uint64_t at =
      (options_.incarnation + polls_) % control_hosts_.size();
  return std::next(control_hosts_.begin(), static_cast<std::ptrdiff_t>(at))
      ->first;
}

bool FleetFollower::InContact() const {
  return std::any_of(control_hosts_.begin(), control_hosts_.end(),
                     [](const auto& entry) { return entry.second.in_contact; });
}

// Of all views the widest counts: shares by it are the smallest.
FleetFollower::CallerPlace FleetFollower::Place() const {
  CallerPlace widest;
  for (const auto& [host, control] : control_hosts_) {
    const bool is_fresh =
        control.heard && hooks_.now() - control.heard_at <= kContactLost;
    if (is_fresh && control.place.hosts > widest.hosts)
      widest = control.place;
  }
  return widest;
}

bool FleetFollower::IsResting(const UpstreamId& upstream) const {
  return resting_.contains(upstream) &&
         hooks_.now() - resting_heard_at_ <= kContactLost;
}

const wire::UpstreamLoad* FleetFollower::LoadOfOthers(
    const UpstreamId& upstream) const {
  const auto it = loads_.find(upstream);
  return it == loads_.end() || hooks_.now() - loads_heard_at_ > kContactLost
             ? nullptr
             : &it->second;
}

}  // namespace endivecart::fleet
