#include "endivecart/fleet/fleet_feed.h"

#include <algorithm>
#include <utility>

#include "endivecart/fleet/failure_messages.h"
#include "endivecart/fleet/heard_upstreams.h"
#include "endivecart/fleet/limit_messages.h"
#include "endivecart/fleet/quarantine_messages.h"
#include "endivecart/fleet/reach_messages.h"

namespace endivecart::fleet {

namespace {

// How precisely it is stored when a quarantine was asked for last.
constexpr Millis kAskedResolution{60000};
// An age beyond this is of no consequence.
constexpr std::uint64_t kMaxReplayedAgeMs = std::uint64_t{24} * 3600 * 1000;

}  // namespace

FleetFeed::FleetFeed(std::uint64_t incarnation,
                     const upstreams::UpstreamRegistry* roster,
                     Hooks hooks)
    : incarnation_(incarnation),
      roster_(roster),
      hooks_(std::move(hooks)),
      started_at_(hooks_.now()),
      loads_(incarnation) {}

void FleetFeed::OnPoll(const HostId& from, const wire::FleetPoll& poll) {
  if (!poll_limit_.Accepts(from, CountEntries(poll), hooks_.now()))
    return;
  const auto [it, is_new] = followers_.try_emplace(from);
  Follower& follower = it->second;
  follower.polled_at = hooks_.now();
  // A new process doesn't know the control hosts.
  if (follower.poll.incarnation() != poll.incarnation() ||
      poll.feed_incarnation() != incarnation_) {
    follower.sent_control_hosts.clear();
    follower.limits_sent_at = TimePoint{};
  }
  follower.poll = poll;
  bool is_new_caller = false;
  if (poll.serves_callers())
    is_new_caller = caller_seen_at_.insert_or_assign(from, hooks_.now()).second;
  if (is_new || is_new_caller)
    UpdateMembership();
  loads_.Set(from, {poll.loads().begin(), poll.loads().end()},
             poll.names_epoch());
  // Trusts the poll rather than what was pushed, which may have been lost.
  follower.sent_cursor =
      poll.feed_incarnation() == incarnation_ ? poll.feed_cursor() : 0;
  if (!std::exchange(follower.was_primary, poll.wants_loads()) &&
      poll.wants_loads()) {
    follower.sent_cursor = std::min(follower.sent_cursor, RepeatedFrom());
  }
  follower.sent_names = {poll.names_epoch(), poll.names()};
  follower.sent_decisions = poll.decisions_index();
  const RoutingPosition at{poll.incarnation(), poll.routing_version(),
                           poll.reads_encoded_routing(),
                           poll.needs_whole_routing()};
  UpdatePosition(follower, at, follower.polled_at);
  transfers_.OnPoll(from, at, follower.polled_at);
  if (poll.serves_callers())
    RecordFindings(from, poll);
  for (const auto& limit : FromWire(poll.limits(), hooks_.now())) {
    if (limits_.Merge(limit)) {
      push_requested_ = true;
      ++limits_version_;
    }
  }
  for (const wire::ServiceMoveReport& report : poll.move_reports())
    hooks_.on_move_report(from, report);
  for (const wire::UpstreamRunRecord& record : poll.leaving()) {
    const auto id =
        ParseId<UpstreamId>(InputSource::kPeer, "upstream", record.upstream());
    if (id && hooks_.on_leaving)
      hooks_.on_leaving({*id, record.born_ms()});
  }
  Send(from, follower, true);
  SendToWaiting();
}

void FleetFeed::UpdatePosition(Follower& follower,
                               const RoutingPosition& at,
                               TimePoint now) {
  if (at.routing_version >= decisions_.routing_version) {
    follower.outdated_since.reset();
  } else if (!follower.outdated_since ||
             at.routing_version != follower.routing_version ||
             at.incarnation != follower.incarnation) {
    follower.outdated_since = now;
  }
  follower.routing_version = at.routing_version;
  follower.incarnation = at.incarnation;
}

void FleetFeed::OnReceipt(const HostId& from,
                          const wire::RoutingReceipt& receipt) {
  const auto it = followers_.find(from);
  if (it == followers_.end() ||
      it->second.incarnation != receipt.incarnation()) {
    return;
  }
  Follower& follower = it->second;
  const RoutingPosition at{receipt.incarnation(), receipt.routing_version(),
                           true, receipt.needs_whole_routing()};
  UpdatePosition(follower, at, hooks_.now());
  transfers_.OnReceipt(from, at);
  follower.sent_decisions = receipt.decisions_index();
  if (at.routing_version < decisions_.routing_version)
    Send(from, follower, false);
  SendToWaiting();
}

void FleetFeed::SendToWaiting() {
  for (std::size_t left = transfers_.waiting(); left > 0; --left) {
    const auto host = transfers_.TakeWaiting();
    if (!host)
      return;
    Follower& follower = followers_.at(*host);
    follower.sent_decisions =
        std::min(follower.sent_decisions, decisions_.index - 1);
    Send(*host, follower, false);
  }
}

void FleetFeed::RecordFindings(const HostId& from,
                               const wire::FleetPoll& poll) {
  const TimePoint now = hooks_.now();
  quarantine::HostFindings findings = FromWire(poll.quarantine(), now);
  if (poll.following_ms() > 0)
    findings.following_since = now - Millis(poll.following_ms() - 1);
  part_judge_.OnReport(from, findings, now);
  const quarantine::HostReach reach = FromWire(poll.reach(), now);
  relay_table_.OnReport(from, reach, now);
  if (poll.wants_loads()) {
    const bool is_cut_off =
        std::any_of(reach.services.begin(), reach.services.end(),
                    [](const auto& service) { return service.is_cut_off; });
    failure_judge_.OnReport(from, reach.domain, FromWire(poll.failures(), now),
                            !is_cut_off, now);
  }
}

void FleetFeed::RecordWeightsAges(const Decisions& decisions) {
  const TimePoint now = hooks_.now();
  const bool is_replayed = decisions.index <= loaded_index_;
  const std::uint64_t unix_ms =
      is_replayed && hooks_.unix_ms ? hooks_.unix_ms() : 0;
  for (const auto& [model, version] : decisions.weights) {
    const auto known = decisions_.weights.find(model);
    // A snapshot of an earlier release doesn't have the times.
    if (known == decisions_.weights.end() || known->second < version)
      weights_ages_.Record(model, version, now);
  }
  for (const auto& [model, versions] : decisions.weights_named_ms) {
    const auto known = decisions_.weights_named_ms.find(model);
    for (const auto& [version, named_ms] : versions) {
      if (known != decisions_.weights_named_ms.end() &&
          known->second.contains(version)) {
        continue;
      }
      Millis age{0};
      if (named_ms != 0 && unix_ms > named_ms) {
        age = Millis(static_cast<Millis::rep>(
            std::min<std::uint64_t>(unix_ms - named_ms, kMaxReplayedAgeMs)));
      }
      LogLine("fleet.weights_named")
          .Add("model", model.str())
          .Add("version", version)
          .Add("age_ms", age.count())
          .Info();
      weights_ages_.Record(model, version, now - age);
    }
  }
}

void FleetFeed::PushDecisions(const Decisions& decisions) {
  RecordWeightsAges(decisions);
  const bool is_new_routing =
      decisions.routing_version != decisions_.routing_version;
  const std::size_t waiting = transfers_.bytes_under_way();
  decisions_ = decisions;
  transfers_.SetDocument(decisions.routing_version, decisions.routing_document);
  for (auto& [host, follower] : followers_) {
    if (is_new_routing && !follower.outdated_since)
      follower.outdated_since = hooks_.now();
    Send(host, follower, false);
  }
  if (is_new_routing) {
    LogLine("fleet.configuration_sent")
        .Add("version", decisions.routing_version)
        .Add("document_bytes", std::uint64_t{decisions.routing_document.size()})
        .Add("sent_bytes",
             std::uint64_t{transfers_.bytes_under_way() - waiting})
        .Add("waiting_bytes", std::uint64_t{waiting})
        .Add("waiting_hosts", std::uint64_t{transfers_.waiting()})
        .Info();
  }
}

void FleetFeed::ReportQuarantines() {
  // Times of requests for them change all the time.
  const auto is_same = [](const quarantine::Quarantine& told,
                          const quarantine::Quarantine& current) {
    return told.parts == current.parts &&
           told.failed_trials == current.failed_trials &&
           current.asked_at - told.asked_at < kAskedResolution;
  };
  const auto& current = part_judge_.quarantines();
  if (!hooks_.on_quarantines ||
      std::equal(told_quarantines_.begin(), told_quarantines_.end(),
                 current.begin(), current.end(), is_same)) {
    return;
  }
  told_quarantines_ = current;
  hooks_.on_quarantines(current);
}

void FleetFeed::PushIfRequested() {
  push_requested_ |= part_judge_.Judge(hooks_.now());
  ReportQuarantines();
  if (!std::exchange(push_requested_, false))
    return;
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
    loads_.Set(entry.first, {});
    transfers_.Remove(entry.first);
    return true;
  });
  UpdateMembership();
  loads_.SetCoarse(static_cast<int>(caller_seen_at_.size()) > kFullRateHosts);
  part_judge_.SetPollInterval(PollInterval());
  failure_judge_.SetPollInterval(PollInterval());
  limits_.Expire(now);
  relay_table_.Expire(now);
  loads_.DropUnused(*roster_);
  newest_changes_.emplace_back(now, roster_->newest_change());
  while (now - newest_changes_.front().first > kRepeatedTime)
    newest_changes_.pop_front();
}

std::uint64_t FleetFeed::RepeatedFrom() const {
  const bool is_old = hooks_.now() - started_at_ > kRepeatedTime;
  return is_old && !newest_changes_.empty() ? newest_changes_.front().second
                                            : 0;
}

void FleetFeed::UpdateMembership() {
  caller_ranks_.clear();
  for (const auto& [host, seen_at] : caller_seen_at_)
    caller_ranks_.emplace(host, caller_ranks_.size());
  spares_.clear();
  for (const auto& [host, follower] : followers_) {
    if (!follower.poll.serves_callers())
      spares_.push_back(host);
  }
}

void FleetFeed::Send(const HostId& to, Follower& follower, bool is_answer) {
  const TimePoint now = hooks_.now();
  wire::Envelope envelope;
  wire::FleetUpdate& update = *envelope.mutable_fleet_news();
  AddAnnouncements(follower, update);
  // Control hosts apply decisions from their own log.
  if (follower.poll.serves_callers() &&
      decisions_.index > follower.sent_decisions) {
    *update.mutable_decisions() = ToWire(decisions_, false);
    if (SendsDocument(follower, now))
      transfers_.AddDocument(to, *update.mutable_decisions(), now);
    follower.sent_decisions = decisions_.index;
  }
  if (update.has_decisions() ||
      (is_answer && weights_ages_.HasYoungerThan(kAgesRepeatTime, now))) {
    weights_ages_.AppendTo(update, now);
  }
  AddControlHosts(follower, update);
  update.set_leader_host(hooks_.leader_host().str());
  update.set_caller_hosts(static_cast<std::uint32_t>(CallerHosts()));
  const auto rank = caller_ranks_.find(to);
  update.set_caller_rank(rank == caller_ranks_.end() ? 0 : rank->second);
  for (const UpstreamId& upstream : hooks_.quiesced())
    update.add_resting_upstreams(upstream.str());
  const auto ruling = part_judge_.CurrentRuling();
  if (follower.poll.serves_callers() && ruling != quarantine::Ruling())
    *update.mutable_quarantine() = ToWire(ruling, now);
  // One control host's answers suffice; changes are pushed by all.
  if (follower.poll.serves_callers() &&
      (!is_answer || follower.poll.wants_loads())) {
    AddLimits(follower, update);
  }
  if (is_answer)
    update.set_answered_poll(follower.poll.number());
  if (is_answer && follower.poll.serves_callers()) {
    if (hooks_.true_unix_ms)
      update.set_true_unix_ms(hooks_.true_unix_ms());
    *update.mutable_relays() = ToWire(relay_table_.RelaysFor(to, now), now);
    if (follower.poll.wants_loads()) {
      *update.mutable_fleet_loads() = Loads(to, follower);
      update.set_poll_interval_ms(
          static_cast<std::uint32_t>(PollInterval().count()));
      const auto& failures = failure_judge_.CurrentRuling(now);
      if (failures != quarantine::FailureRuling())
        *update.mutable_failures() = ToWire(failures, now);
    }
    auto cache = hooks_.cache_update(
        {follower.poll.cache_term(), follower.poll.cache_cursor(),
         follower.poll.cache_floor(), follower.poll.cache_stores_version()});
    if (cache)
      *update.mutable_cache() = std::move(*cache);
  }
  CountParts(update);
  hooks_.send(to, std::move(envelope));
}

void FleetFeed::CountParts(const wire::FleetUpdate& update) {
  const auto count = [this](std::string_view part, std::size_t bytes) {
    sent_bytes_[part] += bytes;
  };
  const auto count_list = [&count](std::string_view part, const auto& list) {
    std::size_t bytes = 0;
    for (const auto& record : list)
      bytes += record.ByteSizeLong();
    count(part, bytes);
  };
  count_list("announcements", update.announcements());
  count("heard", update.heard().ByteSizeLong());
  count("decisions", update.decisions().ByteSizeLong());
  count("loads", update.fleet_loads().ByteSizeLong());
  count("cache", update.cache().ByteSizeLong());
  count_list("limits", update.limits());
  count("quarantine", update.quarantine().ByteSizeLong());
  count("failures", update.failures().ByteSizeLong());
  count_list("relays", update.relays());
}

bool FleetFeed::SendsDocument(const Follower& follower, TimePoint now) const {
  return follower.poll.wants_loads() ||
         (follower.outdated_since &&
          now - *follower.outdated_since >= kSecondaryDocumentDelay);
}

wire::FleetLoads FleetFeed::Loads(const HostId& to, const Follower& follower) {
  const wire::FleetPoll& poll = follower.poll;
  const KnownNames known{poll.names_epoch(), poll.names()};
  return poll.reads_differences()
             ? loads_.EncodeChanges(known, poll.loads_version(), *roster_,
                                    hooks_.now())
             : loads_.Encode(to, known, *roster_, hooks_.now());
}

// Followers that serve callers get changes only: that unchanged upstreams are
// alive is part of the loads. Other control hosts get each refresh, so that all
// of them know when an upstream was last heard.
void FleetFeed::AddAnnouncements(Follower& follower,
                                 wire::FleetUpdate& update) {
  const std::uint64_t newest = roster_->newest_change();
  update.set_feed_incarnation(incarnation_);
  update.set_feed_base(follower.sent_cursor);
  update.set_feed_cursor(newest);
  if (follower.sent_cursor == newest)
    return;
  const bool serves_callers = follower.poll.serves_callers();
  const bool gets_added = !serves_callers || follower.poll.wants_loads() ||
                          !follower.poll.reads_differences() ||
                          roster_->all().size() <= kMaxListedByAll;
  auto changed = gets_added ? roster_->ChangedSince(follower.sent_cursor,
                                                    kMaxAnnouncements)
                            : roster_->ChangedAgainSince(follower.sent_cursor);
  if (gets_added && changed.size() == kMaxAnnouncements)
    update.set_feed_cursor(changed.back()->change);
  std::vector<const upstreams::AnnouncedUpstream*> heard;
  if (!serves_callers)
    heard = roster_->RefreshedSince(follower.sent_cursor);
  if (!follower.poll.reads_differences()) {
    changed.insert(changed.end(), heard.begin(), heard.end());
  } else if (!heard.empty()) {
    *update.mutable_heard() =
        EncodeHeard(heard, follower.sent_names, loads_.names(), hooks_.now());
    follower.sent_names = {loads_.names().epoch(), loads_.names().size()};
  }
  for (const auto* upstream : changed) {
    *update.add_announcements() = upstreams::ToRecord(
        upstream->last, std::chrono::duration_cast<Millis>(
                            hooks_.now() - upstream->received_at));
  }
  follower.sent_cursor = update.feed_cursor();
}

void FleetFeed::AddLimits(Follower& follower, wire::FleetUpdate& update) const {
  const TimePoint now = hooks_.now();
  if (follower.sent_limits == limits_version_ &&
      now - follower.limits_sent_at < kLimitsRepeat) {
    return;
  }
  *update.mutable_limits() = ToWire(limits_.All(), now);
  follower.sent_limits = limits_version_;
  follower.limits_sent_at = now;
}

void FleetFeed::AddControlHosts(Follower& follower,
                                wire::FleetUpdate& update) const {
  const TimePoint now = hooks_.now();
  auto hosts = ControlHosts();
  if (hosts == follower.sent_control_hosts &&
      now - follower.control_hosts_sent_at < kControlHostsRepeat) {
    return;
  }
  for (const HostId& host : hosts)
    update.add_control_hosts(host.str());
  follower.sent_control_hosts = std::move(hosts);
  follower.control_hosts_sent_at = now;
}

std::vector<HostId> FleetFeed::ControlHosts() const {
  std::vector<HostId> hosts = hooks_.voter_hosts();
  for (const HostId& spare : spares_) {
    if (std::find(hosts.begin(), hosts.end(), spare) == hosts.end())
      hosts.push_back(spare);
  }
  return hosts;
}

int FleetFeed::CallerHosts() const {
  if (hooks_.now() - started_at_ < kCallerDiscoveryTime)
    return 0;
  return static_cast<int>(caller_seen_at_.size());
}

Millis FleetFeed::PollInterval() const {
  const auto hosts = static_cast<Millis::rep>(caller_seen_at_.size());
  return std::clamp(kMinPollInterval * hosts / kFullRateHosts, kMinPollInterval,
                    kMaxPollInterval);
}

}  // namespace endivecart::fleet
