#include "endivecart/fleet/fleet_follower.h"

#include <algorithm>
#include <utility>

#include "endivecart/fleet/document_codec.h"
#include "endivecart/fleet/failure_messages.h"
#include "endivecart/fleet/fleet_feed.h"
#include "endivecart/fleet/limit_messages.h"
#include "endivecart/fleet/message_times.h"
#include "endivecart/fleet/quarantine_messages.h"
#include "endivecart/fleet/reach_messages.h"

namespace endivecart::fleet {

FleetFollower::FleetFollower(FleetFollowerOptions options, Hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {
  for (const HostId& contact : options_.contacts) {
    if (contact != options_.self)
      control_hosts_[contact].listed_at = hooks_.now();
  }
}

void FleetFollower::Tick() {
  DetectLostContacts();
  if (hooks_.now() >= poll_due_)
    Poll();
}

wire::FleetPoll FleetFollower::MakePoll() const {
  wire::FleetPoll poll;
  poll.set_incarnation(options_.incarnation);
  poll.set_member(options_.member);
  poll.set_serves_callers(options_.serves_callers);
  poll.set_reads_differences(true);
  poll.set_reads_encoded_routing(true);
  poll.set_needs_whole_routing(needs_whole_routing_);
  if (decisions_) {
    poll.set_decisions_index(decisions_->index);
    poll.set_routing_version(decisions_->routing_version);
  }
  if (following_since_)
    poll.set_following_ms(AgeMillis(*following_since_, hooks_.now()) + 1);
  if (!options_.serves_callers)
    return poll;
  if (hooks_.cache_position) {
    const CachePosition position = hooks_.cache_position();
    poll.set_cache_term(position.term);
    poll.set_cache_cursor(position.cursor);
    poll.set_cache_floor(position.floor);
    poll.set_cache_stores_version(position.stores_version);
  }
  if (hooks_.quarantine_findings) {
    const auto findings = hooks_.quarantine_findings();
    if (findings != quarantine::HostFindings())
      *poll.mutable_quarantine() = ToWire(findings, hooks_.now());
  }
  if (hooks_.limit_findings)
    *poll.mutable_limits() = ToWire(hooks_.limit_findings(), hooks_.now());
  if (hooks_.leaving_upstreams) {
    for (const upstreams::UpstreamRun& run : hooks_.leaving_upstreams()) {
      wire::UpstreamRunRecord& record = *poll.add_leaving();
      record.set_upstream(run.id.str());
      record.set_born_ms(run.start_time_ms);
    }
  }
  if (hooks_.reach_report)
    *poll.mutable_reach() = ToWire(hooks_.reach_report(), hooks_.now());
  for (wire::ServiceMoveReport& report : hooks_.move_reports())
    *poll.add_move_reports() = std::move(report);
  return poll;
}

void FleetFollower::AddLoads(const HostId& primary, wire::FleetPoll& poll) {
  reported_loads_ = hooks_.local_loads();
  for (const LocalLoad& own : reported_loads_) {
    wire::UpstreamLoad& load = *poll.add_loads();
    const auto number =
        primary == loads_sender_ ? loads_.NumberOf(own.upstream) : std::nullopt;
    if (number) {
      load.set_number(*number + 1);
    } else {
      load.set_upstream(own.upstream.str());
    }
    load.set_requests(static_cast<std::uint32_t>(own.requests));
    load.set_prompt_tokens(static_cast<std::uint32_t>(own.prompt_tokens));
    load.set_held_tokens(static_cast<std::uint32_t>(own.held_tokens));
  }
  if (hooks_.outstanding_saves) {
    for (wire::CacheSaveRecord& save : hooks_.outstanding_saves())
      *poll.add_saves() = std::move(save);
  }
  if (hooks_.failures)
    *poll.mutable_failures() = ToWire(hooks_.failures(), hooks_.now());
  if (hooks_.waiting) {
    for (wire::WaitingRecord& waiting : hooks_.waiting())
      *poll.add_waiting() = std::move(waiting);
  }
}

void FleetFollower::AddPositions(const HostId& host,
                                 const ControlHost& control,
                                 wire::FleetPoll& poll) const {
  poll.set_feed_incarnation(control.feed_incarnation);
  poll.set_feed_cursor(control.feed_cursor);
  const bool knows_loads = options_.serves_callers && host == loads_sender_;
  const KnownNames names =
      knows_loads ? loads_.known_names() : control.names.known();
  poll.set_names_epoch(names.epoch);
  poll.set_names(static_cast<std::uint32_t>(names.count));
  if (knows_loads)
    poll.set_loads_version(loads_.version());
}

void FleetFollower::Poll() {
  const Millis interval = PollInterval();
  poll_due_ = hooks_.now() + interval;
  HostId primary = PrimaryControlHost();
  const auto secondary_every = static_cast<std::uint64_t>(std::max<Millis::rep>(
      options_.poll_interval * options_.secondary_poll_every / interval, 1));
  const bool polls_all = primary.empty() || polls_ % secondary_every == 0;
  if (primary.empty())
    primary = NextProbedHost();
  ++polls_;
  polled_primary_ = primary;
  const wire::FleetPoll content = MakePoll();
  for (auto& [host, control] : control_hosts_) {
    if ((host == primary || polls_all) && !IsAnswerPending(control))
      PollHost(host, control, content);
  }
}

void FleetFollower::PollHost(const HostId& host,
                             ControlHost& control,
                             const wire::FleetPoll& content) {
  wire::Envelope envelope;
  wire::FleetPoll& poll = *envelope.mutable_fleet_poll();
  poll = content;
  // No process gets an answer to a poll of its predecessor.
  poll.set_number(options_.incarnation + ++poll_numbers_);
  poll.set_wants_loads(options_.serves_callers && host == polled_primary_);
  if (poll.wants_loads())
    AddLoads(host, poll);
  AddPositions(host, control, poll);
  AddUsage(control, poll);
  control.polled_at = hooks_.now();
  control.poll_number = poll.number();
  hooks_.send(host, std::move(envelope));
}

void FleetFollower::PollForRest(const HostId& host, ControlHost& control) {
  if (!IsAnswerPending(control))
    PollHost(host, control, MakePoll());
}

Millis FleetFollower::PollInterval() const {
  const auto primary = control_hosts_.find(PrimaryControlHost());
  return primary == control_hosts_.end()
             ? options_.poll_interval
             : std::max(options_.poll_interval, primary->second.poll_interval);
}

void FleetFollower::AddUsage(ControlHost& control,
                             wire::FleetPoll& poll) const {
  control.usage_sent = 0;
  if (!options_.serves_callers || !hooks_.usage_since)
    return;
  auto changes = hooks_.usage_since(control.usage_answered);
  if (!changes)
    return;
  control.usage_sent = changes->change;
  *poll.mutable_usage() = std::move(changes->report);
  if (hooks_.unix_ms)
    poll.set_unix_ms(hooks_.unix_ms());
}

bool FleetFollower::IsAnswerPending(const ControlHost& control) const {
  // Only for hosts in contact: one that is just starting may have missed the
  // poll.
  return control.in_contact && control.polled_at > control.last_update_at &&
         hooks_.now() - control.polled_at < kPollTimeout;
}

bool FleetFollower::SendToLeader(wire::Envelope envelope) {
  const auto leader = control_hosts_.find(leader_);
  if (leader == control_hosts_.end() || !leader->second.in_contact)
    return false;
  hooks_.send(leader_, std::move(envelope));
  return true;
}

HostId FleetFollower::PrimaryControlHost() const {
  const auto leader = control_hosts_.find(leader_);
  if (leader != control_hosts_.end() && leader->second.in_contact)
    return leader_;
  for (const auto& [host, control] : control_hosts_) {
    if (control.in_contact)
      return host;
  }
  return HostId();
}

void FleetFollower::OnUpdate(const HostId& from,
                             const wire::FleetUpdate& update) {
  const auto it = control_hosts_.find(from);
  if (it == control_hosts_.end())
    return;  // no longer a control host
  if (!update_limit_.Accepts(from, CountEntries(update), hooks_.now()))
    return;
  ControlHost& control = it->second;
  const TimePoint now = hooks_.now();
  if (!following_since_)
    following_since_ = now;
  if (!std::exchange(control.in_contact, true))
    LogLine("fleet.contact").Add("control_host", from.str()).Info();
  control.last_update_at = now;
  control.has_update = true;
  control.place = {static_cast<int>(update.caller_hosts()),
                   static_cast<int>(update.caller_rank())};
  for (const wire::AnnouncementRecord& record : update.announcements()) {
    if (const auto announcement = upstreams::FromRecord(record)) {
      hooks_.on_announcement(*announcement, now - Millis(record.age_ms()));
    } else {
      LogLine("fleet.announcement_unusable")
          .Add("control_host", from.str())
          .Warn();
    }
  }
  const bool answers_last_poll = update.answered_poll() != 0 &&
                                 update.answered_poll() == control.poll_number;
  if (answers_last_poll)
    control.usage_answered = control.usage_sent;
  if (control.feed_incarnation != update.feed_incarnation()) {
    control.feed_incarnation = update.feed_incarnation();
    control.feed_cursor = 0;
    control.usage_answered = 0;
  }
  // After a lost update the cursor stays, so that the next poll asks for what
  // is missing.
  if (update.feed_base() <= control.feed_cursor)
    control.feed_cursor = std::max(control.feed_cursor, update.feed_cursor());
  bool knows_all = true;
  if (update.has_heard()) {
    knows_all = ApplyHeard(update.heard(), control.names, now, hooks_.on_heard);
  }
  if (update.poll_interval_ms() > 0)
    control.poll_interval = Millis(update.poll_interval_ms());
  if (update.has_fleet_loads()) {
    if (std::exchange(loads_sender_, from) != from)
      loads_.Clear();
    loads_updated_at_ = now;
    knows_all = loads_.Apply(update.fleet_loads(), reported_loads_, now,
                             hooks_.on_heard);
    if (hooks_.on_loads)
      hooks_.on_loads();
    if (hooks_.on_failures)
      hooks_.on_failures(FromWire(update.failures(), now));
  }
  const bool has_rest = static_cast<std::size_t>(update.announcements_size()) >=
                        FleetFeed::kMaxAnnouncements;
  if (!knows_all && !has_rest)
    RequestAllAnnouncements(control);
  if (update.leader_host() == from.str()) {
    leader_ = from;
    quiesced_.clear();
    for (const std::string& upstream : update.resting_upstreams())
      quiesced_.emplace(upstream);
    quiesced_updated_at_ = now;
    if (answers_last_poll && hooks_.on_true_time) {
      hooks_.on_true_time(update.has_true_unix_ms()
                              ? std::optional(update.true_unix_ms())
                              : std::nullopt,
                          control.polled_at);
    }
  }
  if (update.has_quarantine() && hooks_.on_quarantine)
    hooks_.on_quarantine(FromWire(update.quarantine(), now));
  if (update.limits_size() > 0 && hooks_.on_limits)
    hooks_.on_limits(FromWire(update.limits(), now));
  if (update.relays_size() > 0 && hooks_.on_relays)
    hooks_.on_relays(FromWire(update.relays(), now));
  if (update.has_cache() && hooks_.on_cache) {
    hooks_.on_cache(update.cache(),
                    answers_last_poll ? control.polled_at : TimePoint{});
  }
  if (update.weights_ages_size() > 0 && hooks_.on_weights_ages)
    hooks_.on_weights_ages(update);
  // Control hosts apply decisions from their own log.
  if (update.has_decisions() && options_.serves_callers)
    ApplyDecisions(from, update.decisions());
  std::vector<HostId> named;
  for (const std::string& host : update.control_hosts())
    named.emplace_back(host);
  UpdateControlHosts(named);
  // Last, as it may have removed the control host.
  if (const auto known = control_hosts_.find(from);
      has_rest && known != control_hosts_.end()) {
    PollForRest(from, known->second);
  }
}

void FleetFollower::RequestAllAnnouncements(ControlHost& control) {
  const TimePoint now = hooks_.now();
  if (control.asked_for_all_at != TimePoint{} &&
      now - control.asked_for_all_at < kAskForAllInterval) {
    return;
  }
  control.asked_for_all_at = now;
  control.feed_cursor = 0;
}

void FleetFollower::ApplyDecisions(const HostId& from,
                                   const wire::FleetDecisions& message) {
  if (decisions_ && message.index() <= decisions_->index)
    return;
  auto document = RoutingDocument(from, message);
  if (!document) {
    OnOutdatedRouting(from);
  } else {
    auto decisions = std::make_shared<const Decisions>(
        FromWire(message, std::move(*document)));
    if (CheckInvariant(!decisions_ || decisions->routing_version >=
                                          decisions_->routing_version,
                       Invariant::kConfigurationMonotone,
                       "a later decision has an older routing version")) {
      has_outdated_routing_ = false;
      if (message.has_encoded_routing() || !message.routing_omitted())
        needs_whole_routing_ = false;
      decisions_ = std::move(decisions);
      hooks_.on_decisions(decisions_);
    }
  }
  if (message.has_encoded_routing())
    SendReceipt(from);
}

std::optional<std::string> FleetFollower::RoutingDocument(
    const HostId& from,
    const wire::FleetDecisions& message) {
  if (!message.routing_omitted())
    return message.routing_document();
  const std::uint64_t known = decisions_ ? decisions_->routing_version : 0;
  if (message.routing_version() == known)
    return decisions_ ? decisions_->routing_document : "";
  if (!message.has_encoded_routing())
    return std::nullopt;
  const wire::EncodedDocument& encoded = message.encoded_routing();
  // Otherwise the sender learns from the receipt what this process has.
  if (encoded.base_version() != 0 && encoded.base_version() != known)
    return std::nullopt;
  auto document = DecodeDocument(
      encoded, encoded.base_version() == 0
                   ? std::string_view()
                   : std::string_view(decisions_->routing_document));
  if (document)
    return std::move(*document);
  LogLine("fleet.document_unusable")
      .Add("control_host", from.str())
      .Add("version", message.routing_version())
      .Add("base_version", encoded.base_version())
      .Add("reason", DocumentErrorName(document.error()))
      .Warn();
  needs_whole_routing_ = true;
  return std::nullopt;
}

void FleetFollower::OnOutdatedRouting(const HostId& from) {
  has_outdated_routing_ = true;
  // A control host that has just become primary sends the document once polled.
  if (from == PrimaryControlHost() && from != polled_primary_)
    poll_due_ = hooks_.now();
}

void FleetFollower::SendReceipt(const HostId& to) {
  const TimePoint now = hooks_.now();
  if (needs_whole_routing_) {
    if (now - whole_requested_at_ < kAskForWholeInterval)
      return;
    whole_requested_at_ = now;
  }
  wire::Envelope envelope;
  wire::RoutingReceipt& receipt = *envelope.mutable_routing_receipt();
  receipt.set_incarnation(options_.incarnation);
  receipt.set_decisions_index(decisions_ ? decisions_->index : 0);
  receipt.set_routing_version(decisions_ ? decisions_->routing_version : 0);
  receipt.set_needs_whole_routing(needs_whole_routing_);
  hooks_.send(to, std::move(envelope));
}

void FleetFollower::UpdateControlHosts(const std::vector<HostId>& hosts) {
  const TimePoint now = hooks_.now();
  bool is_new = false;
  for (const HostId& host : hosts) {
    if (host == options_.self)
      continue;
    const auto [it, added] = control_hosts_.try_emplace(host);
    it->second.listed_at = now;
    is_new = is_new || added;
  }
  const auto removed = std::erase_if(control_hosts_, [&](const auto& entry) {
    const bool is_contact =
        std::find(options_.contacts.begin(), options_.contacts.end(),
                  entry.first) != options_.contacts.end();
    return !is_contact && now - entry.second.listed_at > kControlHostRetention;
  });
  if (!is_new && removed == 0)
    return;
  NotifyControlHosts();
  if (is_new)
    poll_due_ = now;
}

void FleetFollower::NotifyControlHosts() const {
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
    it->second.listed_at = hooks_.now();
    is_new = is_new || added;
  }
  options_.contacts = contacts;
  if (is_new)
    NotifyControlHosts();
}

void FleetFollower::DetectLostContacts() {
  const TimePoint now = hooks_.now();
  for (auto& [host, control] : control_hosts_) {
    if (control.in_contact && now - control.last_update_at > kContactTimeout) {
      control.in_contact = false;
      // Another one is asked for loads at once, before upstreams seem silent.
      poll_due_ = now;
      LogLine("fleet.contact_lost").Add("control_host", host.str()).Warn();
    }
  }
}

HostId FleetFollower::NextProbedHost() const {
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

// Uses the view with the most hosts, since it gives the smallest shares.
FleetFollower::CallerPlace FleetFollower::Place() const {
  CallerPlace widest;
  for (const auto& [host, control] : control_hosts_) {
    const bool is_fresh =
        control.has_update &&
        hooks_.now() - control.last_update_at <= kContactTimeout;
    if (is_fresh && control.place.hosts > widest.hosts)
      widest = control.place;
  }
  return widest;
}

bool FleetFollower::IsQuiesced(const UpstreamId& upstream) const {
  return quiesced_.contains(upstream) &&
         hooks_.now() - quiesced_updated_at_ <= kContactTimeout;
}

const wire::UpstreamLoad* FleetFollower::RemoteLoad(
    const UpstreamId& upstream) const {
  return hooks_.now() - loads_updated_at_ > kContactTimeout
             ? nullptr
             : loads_.Find(upstream);
}

}  // namespace endivecart::fleet
