#include "endivecart/gateway/upstream_book.h"

#include <algorithm>
#include <utility>

namespace endivecart::gateway {

using upstreams::AnnouncedUpstream;
using upstreams::UpstreamState;

namespace {

// After this many failures in a row an upstream is left alone for a while.
constexpr int kFailuresToDistrust = 3;
constexpr Millis kDistrustBroken{1000};
constexpr Millis kDistrustUnreachable{300};
// After this many of its upstreams couldn't be reached, and nothing came from
// any of them, a whole domain is doubtful for a while.
constexpr std::size_t kUnreachableInDomain = 2;
constexpr Millis kDoubtDomain{1000};
// An upstream that had no room is avoided this long.
constexpr Millis kAvoidRefusing{300};
// Weight of the newest latency in the running mean.
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

std::string UpstreamCensus::ToString() const {
  return "known:" + std::to_string(known) +
         ",usable:" + std::to_string(usable) +
         ",leaving:" + std::to_string(leaving) +
         ",domain_out:" + std::to_string(domain_out) +
         ",distrusted:" + std::to_string(distrusted) +
         ",old_weights:" + std::to_string(old_weights) +
         ",resting:" + std::to_string(resting) +
         ",region:" + std::to_string(region) +
         ",tried:" + std::to_string(excluded);
}

UpstreamBook::UpstreamBook(DomainId own_domain, std::function<TimePoint()> now)
    : own_domain_(std::move(own_domain)), now_(std::move(now)) {}

upstreams::AnnouncementEffect UpstreamBook::Apply(
    const upstreams::Announcement& announcement,
    TimePoint received_at) {
  return roster_.Apply(announcement, received_at, now_());
}

void UpstreamBook::SetDecisions(fleet::DecisionsPtr decisions) {
  decisions_ = std::move(decisions);
}

const UpstreamBook::Record& UpstreamBook::RecordOf(const UpstreamId& id) const {
  static const Record kNone;
  const auto it = records_.find(id);
  return it == records_.end() ? kNone : it->second;
}

void UpstreamBook::NoteWeights(const UpstreamId& id,
                               const ModelId& model,
                               std::uint64_t version) {
  const AnnouncedUpstream* upstream = roster_.Find(id);
  if (upstream == nullptr)
    return;
  Record& record = records_[id];
  if (record.weights_born_ms != upstream->last.born_ms) {
    record.weights.clear();
    record.weights_born_ms = upstream->last.born_ms;
  }
  record.weights[model] = version;
}

std::uint64_t UpstreamBook::WeightsOf(const AnnouncedUpstream& upstream,
                                      const ModelId& model) const {
  const std::uint64_t announced = upstream.last.VersionOf(model);
  const Record& record = RecordOf(upstream.last.id);
  const auto it = record.weights.find(model);
  // Versions only grow during an incarnation.
  if (it == record.weights.end() ||
      record.weights_born_ms != upstream.last.born_ms) {
    return announced;
  }
  return std::max(announced, it->second);
}

bool UpstreamBook::IsSilent(const AnnouncedUpstream& upstream,
                            const Record& record) const {
  return now_() - std::max(upstream.heard_at, record.sent_bytes_at) >
         kSilentAfter;
}

bool UpstreamBook::IsSilent(const UpstreamId& id) const {
  const AnnouncedUpstream* upstream = roster_.Find(id);
  return upstream != nullptr && IsSilent(*upstream, RecordOf(id));
}

void UpstreamBook::NoteBytes(const UpstreamId& id) {
  records_[id].sent_bytes_at = now_();
  if (const AnnouncedUpstream* upstream = roster_.Find(id))
    reach_.erase(upstream->last.domain);
}

void UpstreamBook::NoteUnreachable(const UpstreamId& id) {
  const AnnouncedUpstream* upstream = roster_.Find(id);
  if (upstream == nullptr)
    return;
  DomainReach& reach = reach_[upstream->last.domain];
  reach.unreachable.insert(id);
  reach.failed_at = now_();
}

// Load: this host is cut off from a domain, and would find out with each of its
// upstreams in turn.
bool UpstreamBook::IsOutOfReach(const DomainId& domain) const {
  const auto it = reach_.find(domain);
  return it != reach_.end() &&
         it->second.unreachable.size() >= kUnreachableInDomain &&
         now_() - it->second.failed_at < kDoubtDomain;
}

bool UpstreamBook::IsDistrusted(const AnnouncedUpstream& upstream,
                                const Record& record) const {
  if (record.distrusted_since == TimePoint{})
    return false;
  return now_() < record.distrusted_until ||
         upstream.heard_at <= record.distrusted_since;
}

std::vector<Candidate> UpstreamBook::Candidates(
    const Query& query,
    const fleet::FleetFollower* others,
    UpstreamCensus* census) const {
  std::vector<Candidate> candidates;
  UpstreamCensus seen;
  const TimePoint now = now_();
  for (const auto& [id, upstream] : roster_.all()) {
    const upstreams::Announcement& said = upstream.last;
    if (said.service != query.service || said.state == UpstreamState::kGone)
      continue;
    if ((query.only_version && said.software_version != *query.only_version) ||
        (query.except_version &&
         said.software_version == *query.except_version)) {
      continue;
    }
    ++seen.known;
    const Record& record = RecordOf(id);
    if (query.may_run_in && !query.may_run_in(said.domain)) {
      ++seen.region;
    } else if (query.excluded.contains(id)) {
      ++seen.excluded;
    } else if (said.state != UpstreamState::kReady) {
      ++seen.leaving;
    } else if (decisions_ && decisions_->IsOut(said.domain)) {
      ++seen.domain_out;
    } else if (IsDistrusted(upstream, record)) {
      ++seen.distrusted;
    } else if (others != nullptr && others->IsQuiesced(id)) {
      ++seen.resting;
    } else if (WeightsOf(upstream, query.model) < query.least_weights) {
      ++seen.old_weights;
    } else {
      ++seen.usable;
      Candidate candidate;
      candidate.id = id;
      candidate.domain = said.domain;
      candidate.is_near = said.domain == own_domain_;
      candidate.is_doubtful = IsSilent(upstream, record) ||
                              IsOutOfReach(said.domain) ||

                              (record.refused_at != TimePoint{} &&
                               now - record.refused_at < kAvoidRefusing);
      candidate.slots = said.slots;
      candidate.requests = record.requests;
      candidate.prompt_tokens = record.prompt_tokens;
      candidate.held_tokens = record.held_tokens;
      candidate.latency_ms = record.latency_ms;
      if (const auto* load = others ? others->RemoteLoad(id) : nullptr) {
        candidate.requests += static_cast<int>(load->requests());
        candidate.prompt_tokens += load->prompt_tokens();
        candidate.held_tokens += load->held_tokens();
      }
      candidates.push_back(std::move(candidate));
    }
  }
  if (census != nullptr)
    *census = seen;
  return candidates;
}

const AnnouncedUpstream* UpstreamBook::Find(const UpstreamId& id) const {
  return roster_.Find(id);
}

bool UpstreamBook::IsCold(const UpstreamId& id) const {
  const AnnouncedUpstream* upstream = roster_.Find(id);
  return upstream != nullptr && now_() < upstream->cold_until;
}

void UpstreamBook::StartWork(const UpstreamId& id,
                             std::int64_t prompt_tokens,
                             std::int64_t held_tokens) {
  Record& record = records_[id];
  ++record.requests;
  record.prompt_tokens += prompt_tokens;
  record.held_tokens += held_tokens;
}

void UpstreamBook::PromptRead(const UpstreamId& id,
                              std::int64_t prompt_tokens) {
  records_[id].prompt_tokens -= prompt_tokens;
}

void UpstreamBook::EndWork(const UpstreamId& id,
                           SendResult result,
                           double latency_ms,
                           std::int64_t held_tokens) {
  Record& record = records_[id];
  --record.requests;
  record.held_tokens -= held_tokens;
  const TimePoint now = now_();
  Millis distrust{0};
  switch (result) {
    case SendResult::kAnswered:
      record.failures_in_row = 0;
      record.distrusted_since = TimePoint{};
      record.latency_ms = record.latency_ms == 0
                              ? latency_ms
                              : record.latency_ms * (1 - kLatencyWeight) +
                                    latency_ms * kLatencyWeight;
      return;
    case SendResult::kRefused:
      record.refused_at = now;
      return;
    case SendResult::kAbandoned:
      return;
    case SendResult::kUnreachable:
      NoteUnreachable(id);
      distrust = kDistrustUnreachable;
      break;
    case SendResult::kFailed:
    case SendResult::kBroken:
    case SendResult::kSilent:
      if (++record.failures_in_row < kFailuresToDistrust)
        return;
      distrust = kDistrustBroken;
      break;
  }
  record.failures_in_row = 0;
  record.distrusted_since = now;
  record.distrusted_until = now + distrust;
  LogLine("gateway.upstream_distrusted")
      .Add("upstream", id.str())
      .Add("after", SendResultName(result))
      .Add("at_least_ms", distrust.count())
      .Warn();
}

std::vector<fleet::LocalLoad> UpstreamBook::OwnLoads() const {
  std::vector<fleet::LocalLoad> loads;
  for (const auto& [id, record] : records_) {
    if (record.requests > 0)
      loads.push_back(
          {id, record.requests, record.prompt_tokens, record.held_tokens});
  }
  return loads;
}

void UpstreamBook::Expire() {
  roster_.Expire(now_());
  std::erase_if(records_, [&](const auto& entry) {
    return entry.second.requests == 0 && roster_.Find(entry.first) == nullptr;
  });
}

}  // namespace endivecart::gateway
