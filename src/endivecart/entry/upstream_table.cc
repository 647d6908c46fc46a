#include "endivecart/entry/upstream_table.h"

#include <algorithm>

namespace endivecart::entry {

namespace {

constexpr double kCorrectionLearningRate = 0.2;
constexpr double kMaxCorrectionMillis = 5000;
// Smaller delays are noise, whatever their ratio to the prediction.
constexpr double kMinLatenessMillis = 100;

double PredictedWithActualCache(const Placement& placement,
                                const AttemptReport& report,
                                double tokens_per_ms) {
  const int missed =
      std::max(0, placement.cached_tokens - report.cached_tokens);
  return std::max(placement.predicted_ms + missed / tokens_per_ms, 1.0);
}

}  // namespace

routing::UpstreamView UpstreamTable::BaseView(const Row& row) const {
  routing::UpstreamView view;
  view.id = row.upstream.id;
  view.domain = row.upstream.domain;
  view.model = row.upstream.model;
  view.versions = row.upstream.versions;
  view.cache_generation = StableHash(std::to_string(row.upstream.cache_epoch),
                                     row.upstream.incarnation);
  view.prefill_tokens_per_ms =
      std::max(row.upstream.prefill_tokens_per_s, 1) / 1000.0;
  view.correction_ms = row.correction_ms;
  view.leaving =
      row.upstream.leaving || set_.UpstreamIsLeaving(row.upstream.id);
  view.domain_out = set_.DomainIsOut(row.upstream.domain);
  return view;
}

std::optional<std::size_t> UpstreamTable::Find(const UpstreamId& id) const {
  const auto it = std::find_if(rows_.begin(), rows_.end(), [&](const Row& row) {
    return row.upstream.id == id;
  });
  if (it == rows_.end())
    return std::nullopt;
  return it - rows_.begin();
}

void UpstreamTable::Update(const HostId& home,
                           const std::vector<membership::Upstream>& upstreams,
                           membership::SlotBorrower& slots) {
  for (std::size_t i = rows_.size(); i-- > 0;) {
    const UpstreamId& id = rows_[i].upstream.id;
    const bool listed =
        std::any_of(upstreams.begin(), upstreams.end(),
                    [&](const membership::Upstream& u) { return u.id == id; });
    if (rows_[i].home == home && !listed) {
      slots.Remove(membership::UpstreamResource(id));
      rows_.erase(rows_.begin() + static_cast<std::ptrdiff_t>(i));
      views_.erase(views_.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  for (const membership::Upstream& upstream : upstreams) {
    const auto found = Find(upstream.id);
    const std::size_t index = found.value_or(rows_.size());
    if (!found) {
      rows_.emplace_back();
      views_.emplace_back();
    }
    Row& row = rows_[index];
    if (row.upstream.incarnation != upstream.incarnation) {
      row.breaker = routing::Breaker();
      row.correction_ms = 0;
      row.local_queued_tokens = 0;
    }
    row.upstream = upstream;
    row.home = home;
    const int free_slots = views_[index].free_slots;
    views_[index] = BaseView(row);
    views_[index].free_slots = free_slots;
    RefreshQueue(index);
  }
}

void UpstreamTable::SetConfiguration(
    const configuration::ConfigurationSet& set) {
  set_ = set;
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    const int free_slots = views_[i].free_slots;
    views_[i] = BaseView(rows_[i]);
    views_[i].free_slots = free_slots;
    RefreshQueue(i);
  }
}

void UpstreamTable::RefreshQueue(std::size_t index) {
  const Row& row = rows_[index];
  // The upstream's report is delayed and includes this host's own requests, so
  // the larger of the two counts.
  const int tokens =
      std::max(row.local_queued_tokens, row.upstream.queued_tokens);
  views_[index].queue_ms = tokens / views_[index].prefill_tokens_per_ms;
}

void UpstreamTable::RefreshOne(std::size_t index,
                               const membership::SlotBorrower& slots,
                               TimePoint now) {
  views_[index].free_slots =
      slots.Free(membership::UpstreamResource(views_[index].id), now);
  views_[index].breaker_open = rows_[index].breaker.IsOpen(now);
}

void UpstreamTable::Refresh(const membership::SlotBorrower& slots,
                            TimePoint now) {
  for (std::size_t i = 0; i < rows_.size(); ++i)
    RefreshOne(i, slots, now);
}

std::vector<membership::ResourceDemand> UpstreamTable::Demands(
    membership::SlotBorrower& slots,
    TimePoint now,
    bool include_idle) const {
  std::vector<membership::ResourceDemand> demands;
  demands.reserve(rows_.size());
  for (const Row& row : rows_) {
    const std::string resource = membership::UpstreamResource(row.upstream.id);
    const membership::SlotDemand demand = slots.Demand(resource, now);
    if (include_idle || demand != membership::SlotDemand{})
      demands.push_back({resource, row.upstream.domain, demand});
  }
  return demands;
}

std::vector<membership::UpstreamEvidence> UpstreamTable::TakeEvidence(
    const HostId& home) {
  std::vector<membership::UpstreamEvidence> taken;
  for (Row& row : rows_) {
    const membership::UpstreamEvidence none;
    if (row.home != home || row.evidence == none)
      continue;
    taken.push_back(row.evidence);
    row.evidence = none;
  }
  return taken;
}

void UpstreamTable::OnPlaced(std::size_t index, int tokens, TimePoint now) {
  rows_[index].local_queued_tokens += tokens;
  rows_[index].breaker.OnStart(now);
  RefreshQueue(index);
}

void UpstreamTable::OnPrefillEnded(const UpstreamId& id, int tokens) {
  const auto index = Find(id);
  if (!index)
    return;
  int& queued = rows_[*index].local_queued_tokens;
  queued = std::max(0, queued - tokens);
  RefreshQueue(*index);
}

void UpstreamTable::OnFirstToken(const Placement& placement,
                                 double first_token_ms) {
  const auto index = Find(placement.upstream);
  if (!index || rows_[*index].upstream.incarnation != placement.incarnation)
    return;
  double& correction = rows_[*index].correction_ms;
  correction +=
      kCorrectionLearningRate * (first_token_ms - placement.predicted_ms);
  correction = std::clamp(correction, 0.0, kMaxCorrectionMillis);
  views_[*index].correction_ms = correction;
}

void UpstreamTable::OnFinished(const Placement& placement,
                               const AttemptReport& report,
                               TimePoint now) {
  const auto index = Find(placement.upstream);
  if (!index || rows_[*index].upstream.incarnation != placement.incarnation)
    return;
  Row& row = rows_[*index];
  if (report.failed) {
    row.breaker.OnFailure(now);
  } else if (report.ok) {
    row.breaker.OnSuccess();
  }
  views_[*index].breaker_open = row.breaker.IsOpen(now);
  membership::UpstreamEvidence& evidence = row.evidence;
  evidence.upstream = placement.upstream;
  evidence.incarnation = placement.incarnation;
  if (report.failed) {
    ++evidence.failed;
    return;
  }
  if (!report.ok)
    return;
  const double expected = PredictedWithActualCache(
      placement, report, views_[*index].prefill_tokens_per_ms);
  const double late = report.first_token_ms - expected;
  const double ratio = report.first_token_ms / expected;
  if (late > kMinLatenessMillis && ratio > membership::kColdFirstTokenRatio) {
    ++evidence.cold;
  } else if (late > kMinLatenessMillis &&
             ratio > membership::kSlowFirstTokenRatio) {
    ++evidence.slow;
  } else {
    ++evidence.good;
  }
}

}  // namespace endivecart::entry
