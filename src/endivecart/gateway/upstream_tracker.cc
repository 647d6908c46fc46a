#include "endivecart/gateway/upstream_tracker.h"

#include <algorithm>
#include <utility>

namespace endivecart::gateway {

using upstreams::AnnouncedUpstream;
using upstreams::UpstreamState;

namespace {

// An upstream is not used for a while after this many consecutive failures.
constexpr int kFailuresToDistrust = 3;
constexpr Millis kDistrustAfterFailures{1000};
constexpr Millis kDistrustAfterUnreachable{300};
// A whole domain is suspect for a while after this many of its upstreams could
// not be reached and none of them has sent anything since.
constexpr std::size_t kUnreachableInDomain = 2;
constexpr Millis kDomainSuspectTime{1000};
// How long an upstream is suspect after it refused a request.
constexpr Millis kAvoidAfterRefusal{300};
// Weight of the newest latency in the moving average.
constexpr double kLatencyWeight = 0.1;

}  // namespace

std::string_view SendResultName(SendResult result) {
  switch (result) {
    case SendResult::kAnswered:
      return "answered";
    case SendResult::kFailed:
      return "failed";
    case SendResult::kRefused:
      return "refused";
    case SendResult::kUnreachable:
      return "unreachable";
    case SendResult::kBroken:
      return "broken";
    case SendResult::kSilent:
      return "silent";
    case SendResult::kAbandoned:
      return "abandoned";
  }
  return "";
}

std::string UpstreamCounts::ToString() const {
  return "known:" + std::to_string(known) +
         ",usable:" + std::to_string(usable) +
         ",leaving:" + std::to_string(leaving) +
         ",domain_out:" + std::to_string(domain_out) +
         ",distrusted:" + std::to_string(distrusted) +
         ",old_weights:" + std::to_string(old_weights) +
         ",resting:" + std::to_string(resting) +
         ",region:" + std::to_string(region) +
         ",tried:" + std::to_string(excluded) +
         ",waiting:" + std::to_string(waiting);
}

UpstreamTracker::UpstreamTracker(DomainId own_domain,
                                 std::function<TimePoint()> now)
    : own_domain_(std::move(own_domain)), now_(std::move(now)) {}

upstreams::AnnouncementEffect UpstreamTracker::Apply(
    const upstreams::Announcement& announcement,
    TimePoint received_at) {
  const auto said_at = SaidLeavingAt(announcement.run(), received_at);
  if (!said_at)
    return registry_.Apply(announcement, received_at, now_());
  leaving_.try_emplace(announcement.run(), *said_at);
  upstreams::Announcement leaving = announcement;
  leaving.is_leaving = true;
  return registry_.Apply(leaving, received_at, now_());
}

std::optional<TimePoint> UpstreamTracker::SaidLeavingAt(
    const upstreams::UpstreamRun& run,
    TimePoint announced_at) const {
  std::optional<TimePoint> said_at;
  for (auto it = leaving_.lower_bound({run.id, 0});
       it != leaving_.end() && it->first <= run; ++it) {
    if (it->first == run || it->second >= announced_at)
      said_at = it->second;
  }
  return said_at;
}

void UpstreamTracker::SetDecisions(fleet::DecisionsPtr decisions) {
  decisions_ = std::move(decisions);
}

const UpstreamTracker::Record& UpstreamTracker::RecordOf(
    const UpstreamId& id) const {
  static const Record kNone;
  const auto it = records_.find(id);
  return it == records_.end() ? kNone : it->second;
}

void UpstreamTracker::RecordWeights(const UpstreamId& id,
                                    const ModelId& model,
                                    std::uint64_t version) {
  const AnnouncedUpstream* upstream = registry_.Find(id);
  if (upstream == nullptr)
    return;
  Record& record = records_[id];
  if (record.weights_start_time_ms != upstream->last.start_time_ms) {
    record.weights.clear();
    record.weights_start_time_ms = upstream->last.start_time_ms;
  }
  record.weights[model] = version;
}

std::uint64_t UpstreamTracker::WeightsOf(const AnnouncedUpstream& upstream,
                                         const ModelId& model) const {
  const std::uint64_t announced = upstream.last.VersionOf(model);
  const Record& record = RecordOf(upstream.last.id);
  const auto it = record.weights.find(model);
  // Versions only increase within an incarnation.
  if (it == record.weights.end() ||
      record.weights_start_time_ms != upstream.last.start_time_ms) {
    return announced;
  }
  return std::max(announced, it->second);
}

bool UpstreamTracker::RecordLeaving(const upstreams::UpstreamRun& run,
                                    TimePoint sent_at) {
  const auto [it, is_new] = leaving_.try_emplace(run, sent_at);
  it->second = std::max(it->second, sent_at);
  const AnnouncedUpstream* upstream = registry_.Find(run.id);
  if (upstream == nullptr || upstream->last.run() != run)
    return is_new;
  return registry_.MarkLeaving(run, now_()) ==
         upstreams::AnnouncementEffect::kChanged;
}

std::vector<upstreams::UpstreamRun> UpstreamTracker::LeavingUpstreams() const {
  std::vector<upstreams::UpstreamRun> leaving;
  for (const auto& [run, sent_at] : leaving_) {
    const AnnouncedUpstream* upstream = registry_.Find(run.id);
    if (upstream == nullptr ||
        upstream->last.start_time_ms < run.start_time_ms ||
        (upstream->last.run() == run &&
         upstream->last.state != UpstreamState::kGone)) {
      leaving.push_back(run);
    }
  }
  return leaving;
}

bool UpstreamTracker::IsSilent(const AnnouncedUpstream& upstream,
                               const Record& record) const {
  return now_() - std::max(upstream.received_at, record.active_at) >
         kSilenceTimeout;
}

bool UpstreamTracker::IsSilent(const UpstreamId& id) const {
  const AnnouncedUpstream* upstream = registry_.Find(id);
  return upstream != nullptr && IsSilent(*upstream, RecordOf(id));
}

std::string UpstreamTracker::RunOf(const UpstreamId& id) const {
  const AnnouncedUpstream* upstream = registry_.Find(id);
  return id.str() + "/" +
         std::to_string(upstream ? upstream->last.start_time_ms : 0);
}

void UpstreamTracker::RecordActivity(const UpstreamId& id) {
  records_[id].active_at = now_();
  if (const AnnouncedUpstream* upstream = registry_.Find(id))
    domain_failures_.erase(upstream->last.domain);
}

void UpstreamTracker::RecordUnreachable(const UpstreamId& id) {
  const AnnouncedUpstream* upstream = registry_.Find(id);
  if (upstream == nullptr)
    return;
  DomainFailures& failures = domain_failures_[upstream->last.domain];
  failures.unreachable.insert(id);
  failures.failed_at = now_();
}

// If this host is cut off from a domain, this avoids a failed connection to
// each of its upstreams in turn.
bool UpstreamTracker::IsDomainSuspect(const DomainId& domain) const {
  const auto it = domain_failures_.find(domain);
  return it != domain_failures_.end() &&
         it->second.unreachable.size() >= kUnreachableInDomain &&
         now_() - it->second.failed_at < kDomainSuspectTime;
}

bool UpstreamTracker::IsDistrusted(const AnnouncedUpstream& upstream,
                                   const Record& record) const {
  if (record.distrusted_since == TimePoint{})
    return false;
  return now_() < record.distrusted_until ||
         upstream.received_at <= record.distrusted_since;
}

std::vector<Candidate> UpstreamTracker::Candidates(
    const Query& query,
    const fleet::FleetFollower* others,
    UpstreamCounts* counts) const {
  std::vector<Candidate> candidates;
  UpstreamCounts found;
  const TimePoint now = now_();
  const bool any_waits = query.waits != nullptr && !query.waits->empty();
  const bool any_fails = failures_.KnowsFailing(now);
  const HostRank rank =
      any_fails && others != nullptr ? others->Place() : HostRank();
  for (const auto& [id, upstream] : registry_.all()) {
    const upstreams::Announcement& announcement = upstream.last;
    if (announcement.service != query.service ||
        announcement.state == UpstreamState::kGone)
      continue;
    if ((query.only_version &&
         announcement.software_version != *query.only_version) ||
        (query.except_version &&
         announcement.software_version == *query.except_version)) {
      continue;
    }
    ++found.known;
    const Record& record = RecordOf(id);
    if (query.may_run_in && !query.may_run_in(announcement.domain)) {
      ++found.region;
    } else if (query.excluded.contains(id)) {
      ++found.excluded;
    } else if (announcement.state != UpstreamState::kReady) {
      ++found.leaving;
    } else if (decisions_ && decisions_->IsOut(announcement.domain)) {
      ++found.domain_out;
    } else if (IsDistrusted(upstream, record)) {
      ++found.distrusted;
    } else if (others != nullptr && others->IsQuiesced(id)) {
      ++found.resting;
    } else if (WeightsOf(upstream, query.model) < query.min_weights) {
      ++found.old_weights;
    } else if (const Millis wait = any_waits
                                       ? query.waits->TimeLeft(RunOf(id), now)
                                       : Millis(0);
               wait > Millis(0)) {
      ++found.waiting;
      found.shortest_wait = std::min(found.shortest_wait.value_or(wait), wait);
    } else {
      ++found.usable;
      Candidate candidate;
      candidate.id = id;
      candidate.domain = announcement.domain;
      candidate.is_near = announcement.domain == own_domain_;
      candidate.is_suspect =
          IsSilent(upstream, record) || IsDomainSuspect(announcement.domain) ||
          (record.refused_at != TimePoint{} &&
           now - record.refused_at < kAvoidAfterRefusal) ||
          (any_fails && failures_.IsFailing(RunOf(id), own_domain_, rank, now));
      candidate.slots = announcement.slots;
      candidate.requests = record.requests;
      candidate.own_requests = record.requests;
      candidate.prompt_tokens = record.prompt_tokens;
      candidate.held_tokens = record.held_tokens;
      candidate.latency_ms = record.latency_ms;
      const estimates::Speed speed = speeds_.SpeedOf(id, now);
      candidate.slowness = speed.slowness;
      candidate.sustained_requests = speed.sustained_requests;
      AddLoad(record, others, candidate);
      candidates.push_back(std::move(candidate));
    }
  }
  if (counts != nullptr)
    *counts = found;
  return candidates;
}

void UpstreamTracker::AddLoad(const Record& record,
                              const fleet::FleetFollower* others,
                              Candidate& candidate) const {
  if (const auto* load = others ? others->RemoteLoad(candidate.id) : nullptr) {
    candidate.requests += static_cast<int>(load->requests());
    candidate.prompt_tokens += load->prompt_tokens();
    candidate.held_tokens += load->held_tokens();
  }
  if (record.server_load_at == TimePoint{})
    return;
  candidate.requests = EstimateRequests(
      candidate.requests,
      {record.server_load,
       std::chrono::duration_cast<Millis>(now_() - record.server_load_at),
       record.requests_at_server_load, record.requests});
}

void UpstreamTracker::RecordServerLoad(const UpstreamId& id,
                                       const ServerLoad& load) {
  Record& record = records_[id];
  record.server_load = load;
  record.server_load_at = now_();
  record.requests_at_server_load = record.requests;
  const AnnouncedUpstream* upstream = registry_.Find(id);
  if (load.work_percent && upstream != nullptr) {
    speeds_.AddReported(id, upstream->last.service, *load.work_percent,
                        record.server_load_at);
  }
}

int UpstreamTracker::RequestsAt(const UpstreamId& id,
                                const fleet::FleetFollower* others) const {
  const Record& record = RecordOf(id);
  Candidate candidate;
  candidate.id = id;
  candidate.requests = record.requests;
  AddLoad(record, others, candidate);
  return candidate.requests;
}

const AnnouncedUpstream* UpstreamTracker::Find(const UpstreamId& id) const {
  return registry_.Find(id);
}

bool UpstreamTracker::IsCold(const UpstreamId& id) const {
  const AnnouncedUpstream* upstream = registry_.Find(id);
  return upstream != nullptr && now_() < upstream->cold_until;
}

void UpstreamTracker::StartWork(const UpstreamId& id,
                                std::int64_t prompt_tokens,
                                std::int64_t held_tokens) {
  Record& record = records_[id];
  ++record.requests;
  record.prompt_tokens += prompt_tokens;
  record.held_tokens += held_tokens;
}

void UpstreamTracker::FinishPrefill(const UpstreamId& id,
                                    std::int64_t prompt_tokens) {
  records_[id].prompt_tokens -= prompt_tokens;
}

void UpstreamTracker::EndWork(const UpstreamId& id,
                              const SendEnd& end,
                              std::int64_t held_tokens) {
  Record& record = records_[id];
  --record.requests;
  record.held_tokens -= held_tokens;
  const TimePoint now = now_();
  Millis distrust{0};
  switch (end.result) {
    case SendResult::kAnswered:
      RecordAnswer(id);
      record.failures_in_row = 0;
      record.distrusted_since = TimePoint{};
      record.latency_ms = record.latency_ms == 0
                              ? end.latency_ms
                              : record.latency_ms * (1 - kLatencyWeight) +
                                    end.latency_ms * kLatencyWeight;
      return;
    case SendResult::kRefused:
      record.refused_at = now;
      return;
    case SendResult::kAbandoned:
      return;
    case SendResult::kUnreachable:
      RecordUnreachable(id);
      failures_.OnFailed(RunOf(id), now);
      distrust = kDistrustAfterUnreachable;
      break;
    case SendResult::kFailed:
    case SendResult::kBroken:
    case SendResult::kSilent:
      if (!end.is_stale_connection)
        failures_.OnFailed(RunOf(id), now);
      if (++record.failures_in_row < kFailuresToDistrust)
        return;
      distrust = kDistrustAfterFailures;
      break;
  }
  record.failures_in_row = 0;
  record.distrusted_since = now;
  record.distrusted_until = now + distrust;
  LogLine("gateway.upstream_distrusted")
      .Add("upstream", id.str())
      .Add("after", SendResultName(end.result))
      .Add("at_least_ms", distrust.count())
      .Warn();
}

std::vector<fleet::LocalLoad> UpstreamTracker::LocalLoads() const {
  std::vector<fleet::LocalLoad> loads;
  for (const auto& [id, record] : records_) {
    if (record.requests > 0)
      loads.push_back(
          {id, record.requests, record.prompt_tokens, record.held_tokens});
  }
  return loads;
}

std::vector<settings::Endpoint> UpstreamTracker::ProbeTargets(
    const routes::ServiceId& service,
    std::size_t count,
    std::uint64_t random) const {
  using Target =
      std::pair<std::tuple<bool, bool, std::size_t, bool, std::uint64_t>,
                settings::Endpoint>;
  TimePoint last_active{};
  std::map<DomainId, std::vector<std::pair<std::uint64_t, UpstreamId>>> ready;
  for (const auto& [id, upstream] : registry_.all()) {
    if (upstream.last.service == service &&
        upstream.last.state == UpstreamState::kReady) {
      ready[upstream.last.domain].emplace_back(StableHash(id.str(), random),
                                               id);
      last_active = std::max(last_active, RecordOf(id).active_at);
    }
  }
  // First the one that sent data last, then those that aren't known to be
  // unreachable, then by position within the domain, then the own domain.
  std::vector<Target> targets;
  for (auto& [domain, upstreams] : ready) {
    std::sort(upstreams.begin(), upstreams.end());
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      const auto* upstream = registry_.Find(upstreams[i].second);
      const Record& record = RecordOf(upstreams[i].second);
      targets.push_back(
          {{record.active_at != last_active, IsDistrusted(*upstream, record), i,
            domain != own_domain_, upstreams[i].first},
           upstream->last.address});
    }
  }
  std::sort(targets.begin(), targets.end(),
            [](const Target& a, const Target& b) { return a.first < b.first; });
  std::vector<settings::Endpoint> addresses;
  for (std::size_t i = 0; i < std::min(count, targets.size()); ++i)
    addresses.push_back(targets[i].second);
  return addresses;
}

std::map<UpstreamId, double> UpstreamTracker::PlacesInService(
    const routes::ServiceId& service) const {
  std::vector<std::pair<std::uint64_t, UpstreamId>> order;
  for (const auto& [id, upstream] : registry_.all()) {
    if (upstream.last.service == service &&
        upstream.last.state == UpstreamState::kReady) {
      order.emplace_back(StableHash(id.str()), id);
    }
  }
  std::sort(order.begin(), order.end());
  std::map<UpstreamId, double> places;
  for (std::size_t i = 0; i < order.size(); ++i) {
    places[order[i].second] =
        static_cast<double>(i) / static_cast<double>(order.size());
  }
  return places;
}

void UpstreamTracker::Expire() {
  registry_.Expire(now_());
  speeds_.Tick(now_());
  std::erase_if(leaving_, [&](const auto& entry) {
    const auto& [run, sent_at] = entry;
    const AnnouncedUpstream* upstream = registry_.Find(run.id);
    const bool is_known = upstream != nullptr && upstream->last.run() == run;
    return !is_known &&
           now_() - sent_at > upstreams::UpstreamRegistry::kGoneRetention;
  });
  std::erase_if(records_, [&](const auto& entry) {
    return entry.second.requests == 0 && registry_.Find(entry.first) == nullptr;
  });
}

}  // namespace endivecart::gateway
