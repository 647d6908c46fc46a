#include "endivecart/fleet/weights_conductor.h"

#include <algorithm>

namespace endivecart::fleet {

using upstreams::AnnouncedUpstream;
using upstreams::UpstreamState;

namespace {

// An order that was accepted is given up for lost after this long.
constexpr Millis kLoadTimeout{6000};
// The first question whether it is done, and the pause between questions.
constexpr Millis kFirstCheck{900};
constexpr Millis kCheckInterval{250};
constexpr Millis kRetryBusy{300};
constexpr Millis kRetryRefused{1000};
// Beyond the lease, for clocks of different speed and orders under way.
constexpr Millis kLeaseMargin{300};
// An upstream that was silent for longer gets no order.
constexpr Millis kSilentAfter{4000};

}  // namespace

std::string_view WeightsOrderEndName(WeightsOrderEnd end) {
  switch (end) {
    case WeightsOrderEnd::kAccepted:
      return "accepted";
    case WeightsOrderEnd::kHolds:
      return "holds";
    case WeightsOrderEnd::kBusy:
      return "busy";
    case WeightsOrderEnd::kRefused:
      return "refused";
    case WeightsOrderEnd::kUnknown:
      return "unknown";
  }
  return "";
}

WeightsConductor::WeightsConductor(Options options) : options_(options) {}

std::uint64_t WeightsConductor::VersionAt(const AnnouncedUpstream& upstream,
                                          const ModelId& model) const {
  const std::uint64_t announced = upstream.last.VersionOf(model);
  const auto it = work_.find(upstream.last.id);
  if (it == work_.end() || it->second.model != model ||
      it->second.born_ms != upstream.last.born_ms) {
    return announced;
  }
  return std::max(announced, it->second.known_version);
}

std::vector<WeightsOrder> WeightsConductor::NextOrders(
    const Decisions& decisions,
    const upstreams::AnnouncedRoster& roster,
    bool has_office,
    std::uint64_t term,
    TimePoint now) {
  if (has_office && (!had_office_ || office_term_ != term)) {
    office_since_ = now;
    office_term_ = term;
    work_.clear();
  }
  had_office_ = has_office;
  if (!has_office || now < office_since_ + options_.lease + kLeaseMargin)
    return {};
  int under_way = 0;
  for (auto& [id, work] : work_) {
    const AnnouncedUpstream* upstream = roster.Find(id);
    const bool is_over =
        upstream == nullptr || upstream->last.born_ms != work.born_ms ||
        VersionAt(*upstream, work.model) >= work.version ||
        now - work.ordered_at > kLoadTimeout;
    if (is_over)
      work.is_under_way = false;
    under_way += work.is_under_way ? 1 : 0;
  }
  std::vector<WeightsOrder> orders;
  for (const auto& [id, upstream] : roster.all()) {
    if (under_way >= options_.max_parallel)
      break;
    if (upstream.last.state != UpstreamState::kReady ||
        now - upstream.heard_at > kSilentAfter) {
      continue;
    }
    for (const upstreams::LoadedModel& loaded : upstream.last.models) {
      const auto named = decisions.weights.find(loaded.model);
      if (named == decisions.weights.end() ||
          VersionAt(upstream, loaded.model) >= named->second) {
        continue;
      }
      Work& work = work_[id];
      if (work.is_under_way || now < work.next_try)
        continue;
      const bool same_incarnation = work.born_ms == upstream.last.born_ms;
      const std::uint64_t known = same_incarnation && work.model == loaded.model
                                      ? work.known_version
                                      : 0;
      work = {loaded.model, named->second, upstream.last.born_ms, now, true,
              TimePoint{},  now + kFirstCheck, known};
      orders.push_back({id, upstream.last.address, loaded.model, named->second,
                        term});
      ++under_way;
      break;
    }
  }
  return orders;
}

std::vector<WeightsCheck> WeightsConductor::NextChecks(
    const upstreams::AnnouncedRoster& roster,
    TimePoint now) {
  std::vector<WeightsCheck> checks;
  if (!had_office_)
    return checks;
  for (auto& [id, work] : work_) {
    const AnnouncedUpstream* upstream = roster.Find(id);
    if (!work.is_under_way || now < work.next_check || upstream == nullptr)
      continue;
    work.next_check = now + kCheckInterval;
    checks.push_back({id, upstream->last.address, work.model});
  }
  return checks;
}

void WeightsConductor::OnOrderEnd(const UpstreamId& upstream,
                                  WeightsOrderEnd end,
                                  TimePoint now) {
  const auto it = work_.find(upstream);
  if (it == work_.end())
    return;
  Work& work = it->second;
  switch (end) {
    case WeightsOrderEnd::kAccepted:
    case WeightsOrderEnd::kUnknown:
      // Checks tell whether it was carried out.
      break;
    case WeightsOrderEnd::kHolds:
      work.known_version = std::max(work.known_version, work.version);
      work.is_under_way = false;
      break;
    case WeightsOrderEnd::kBusy:
      work.is_under_way = false;
      work.next_try = now + kRetryBusy;
      break;
    case WeightsOrderEnd::kRefused:
      work.is_under_way = false;
      work.next_try = now + kRetryRefused;
      break;
  }
}

void WeightsConductor::OnVersion(const UpstreamId& upstream,
                                 const ModelId& model,
                                 std::uint64_t version,
                                 TimePoint now) {
  const auto it = work_.find(upstream);
  if (it == work_.end() || it->second.model != model)
    return;
  it->second.known_version = std::max(it->second.known_version, version);
  if (version >= it->second.version) {
    it->second.is_under_way = false;
    LogLine("fleet.weights_loaded")
        .Add("upstream", upstream.str())
        .Add("model", model.str())
        .Add("version", version)
        .Add("ms", MillisBetween(it->second.ordered_at, now))
        .Info();
  }
}

}  // namespace endivecart::fleet
