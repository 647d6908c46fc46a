#include "endivecart/fleet/weights_conductor.h"

#include <algorithm>

namespace endivecart::fleet {

using upstreams::AnnouncedUpstream;
using upstreams::UpstreamState;

namespace {

// Work on one upstream is begun anew after this long without success.
constexpr Millis kWorkTimeout{8000};
// From an order until its state is asked for, and the pause between questions.
constexpr Millis kFirstCheck{700};
constexpr Millis kCheckInterval{200};
// A report lags; only after this long does it show that an order is not being
// carried out.
constexpr Millis kOrderShows{1200};
constexpr Millis kRetryBusy{250};
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
      it->second.born_ms != upstream.last.start_time_ms) {
    return announced;
  }
  return std::max(announced, it->second.known_version);
}

int WeightsConductor::CountUnderWay(const upstreams::UpstreamRegistry& roster,
                                    TimePoint now) {
  int under_way = 0;
  for (auto& [id, work] : work_) {
    const AnnouncedUpstream* upstream = roster.Find(id);
    const bool is_over = upstream == nullptr ||
                         upstream->last.start_time_ms != work.born_ms ||
                         upstream->last.state == UpstreamState::kGone ||
                         VersionAt(*upstream, work.model) >= work.version ||
                         now - work.began_at > kWorkTimeout;
    if (is_over)
      work.step = Step::kOver;
    under_way += work.step == Step::kOver ? 0 : 1;
  }
  return under_way;
}

void WeightsConductor::BeginWork(const Decisions& decisions,
                                 const upstreams::UpstreamRegistry& roster,
                                 TimePoint now) {
  int under_way = CountUnderWay(roster, now);
  const auto with_models = static_cast<double>(std::count_if(
      roster.all().begin(), roster.all().end(), [](const auto& e) {
        return e.second.last.state == UpstreamState::kReady &&
               !e.second.last.models.empty();
      }));
  const int parallel =
      std::max(options_.least_parallel,
               static_cast<int>(with_models * options_.parallel_share));
  for (const auto& [id, upstream] : roster.all()) {
    if (under_way >= parallel)
      return;
    if (upstream.last.state != UpstreamState::kReady ||
        now - upstream.received_at > kSilentAfter) {
      continue;
    }
    for (const upstreams::LoadedModel& loaded : upstream.last.models) {
      const auto named = decisions.weights.find(loaded.model);
      const std::uint64_t known = VersionAt(upstream, loaded.model);
      if (named == decisions.weights.end() || known >= named->second)
        continue;
      Work& work = work_[id];
      if (work.step != Step::kOver || now < work.not_before)
        break;
      work = Work();
      work.model = loaded.model;
      work.version = named->second;
      work.born_ms = upstream.last.start_time_ms;
      work.step = Step::kAsking;
      work.began_at = now;
      work.next_check = now;
      work.known_version = known;
      ++under_way;
      break;
    }
  }
}

std::vector<WeightsOrder> WeightsConductor::NextOrders(
    const Decisions& decisions,
    const upstreams::UpstreamRegistry& roster,
    bool has_office,
    std::uint64_t term,
    TimePoint now) {
  // Office that is lost for a moment and found again in the same term was
  // nobody else's in between.
  if (has_office && office_term_ != term) {
    office_since_ = now;
    office_term_ = term;
    work_.clear();
  }
  had_office_ = has_office;
  std::vector<WeightsOrder> orders;
  if (!has_office || now < office_since_ + options_.lease + kLeaseMargin)
    return orders;
  BeginWork(decisions, roster, now);
  for (auto& [id, work] : work_) {
    const AnnouncedUpstream* upstream = roster.Find(id);
    if (work.step != Step::kOrdering || work.order_sent || upstream == nullptr)
      continue;
    // A version named since the work began goes first.
    const auto named = decisions.weights.find(work.model);
    if (named != decisions.weights.end())
      work.version = std::max(work.version, named->second);
    work.order_sent = true;
    work.ordered_at = now;
    work.next_check = now + kFirstCheck;
    orders.push_back({id, upstream->last.address, work.model, work.version,
                      term, work.orders_before});
  }
  return orders;
}

std::vector<WeightsCheck> WeightsConductor::NextChecks(
    const upstreams::UpstreamRegistry& roster,
    TimePoint now) {
  std::vector<WeightsCheck> checks;
  if (!had_office_)
    return checks;
  for (auto& [id, work] : work_) {
    const AnnouncedUpstream* upstream = roster.Find(id);
    const bool asks = work.step == Step::kAsking || work.step == Step::kLoading;
    if (!asks || now < work.next_check || upstream == nullptr)
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
  if (it == work_.end() || it->second.step != Step::kOrdering)
    return;
  Work& work = it->second;
  switch (end) {
    case WeightsOrderEnd::kAccepted:
    case WeightsOrderEnd::kUnknown:
      work.step = Step::kLoading;
      break;
    case WeightsOrderEnd::kHolds:
      work.known_version = std::max(work.known_version, work.version);
      work.step = Step::kOver;
      break;
    case WeightsOrderEnd::kBusy:
      work.step = Step::kAsking;
      work.next_check = now + kRetryBusy;
      break;
    case WeightsOrderEnd::kRefused:
      work.step = Step::kOver;
      work.not_before = now + kRetryRefused;
      break;
  }
}

void WeightsConductor::OnReport(const UpstreamId& upstream,
                                const ModelId& model,
                                const WeightsReport& report,
                                TimePoint now) {
  const auto it = work_.find(upstream);
  if (it == work_.end() || it->second.model != model ||
      it->second.step == Step::kOver) {
    return;
  }
  Work& work = it->second;
  work.known_version = std::max(work.known_version, report.version);
  if (report.version >= work.version) {
    work.step = Step::kOver;
    LogLine("fleet.weights_loaded")
        .Add("upstream", upstream.str())
        .Add("model", model.str())
        .Add("version", report.version)
        .Add("ms", MillisBetween(work.began_at, now))
        .Info();
    return;
  }
  const bool may_order =
      !report.is_busy &&
      (work.step == Step::kAsking || now - work.ordered_at > kOrderShows);
  if (may_order) {
    work.step = Step::kOrdering;
    work.order_sent = false;
    work.orders_before = report.orders;
  }
}

std::vector<UpstreamId> WeightsConductor::Resting() const {
  std::vector<UpstreamId> resting;
  for (const auto& [id, work] : work_) {
    if (had_office_ && work.step != Step::kOver)
      resting.push_back(id);
  }
  return resting;
}

}  // namespace endivecart::fleet
