#include "endivecart/fleet/weights_coordinator.h"

#include <algorithm>

namespace endivecart::fleet {

using upstreams::AnnouncedUpstream;
using upstreams::UpstreamState;

namespace {

// Work on an upstream that hasn't succeeded after this long is restarted.
constexpr Millis kWorkTimeout{8000};
// The delay between an order and the first check, and between checks.
constexpr Millis kFirstCheck{700};
constexpr Millis kCheckInterval{200};
// Reports lag behind. Only after this long does a report without the order show
// that the upstream isn't executing it.
constexpr Millis kReportLag{1200};
constexpr Millis kBusyRetryDelay{250};
constexpr Millis kRefusedRetryDelay{1000};
// Added to the lease for clock drift and orders in transit.
constexpr Millis kLeaseMargin{300};
// An upstream whose last announcement is older than this gets no orders.
constexpr Millis kAnnouncementTimeout{4000};
// Many upstreams are looked through this often only: each 50 ms, 3,000 took a
// twentieth of the leader's processor time.
constexpr std::size_t kManyUpstreams = 256;
constexpr Millis kScanInterval{250};

}  // namespace

std::string_view WeightsOrderResultName(WeightsOrderResult result) {
  switch (result) {
    case WeightsOrderResult::kAccepted:
      return "accepted";
    case WeightsOrderResult::kAlreadyLoaded:
      return "holds";
    case WeightsOrderResult::kBusy:
      return "busy";
    case WeightsOrderResult::kRefused:
      return "refused";
    case WeightsOrderResult::kUnknown:
      return "unknown";
  }
  return "";
}

WeightsCoordinator::WeightsCoordinator(Options options) : options_(options) {}

std::uint64_t WeightsCoordinator::VersionAt(const AnnouncedUpstream& upstream,
                                            const ModelId& model) const {
  const std::uint64_t announced = upstream.last.VersionOf(model);
  const auto it = work_.find(upstream.last.id);
  if (it == work_.end() || it->second.model != model ||
      it->second.start_time_ms != upstream.last.start_time_ms) {
    return announced;
  }
  return std::max(announced, it->second.known_version);
}

int WeightsCoordinator::CountInProgress(
    const upstreams::UpstreamRegistry& roster,
    TimePoint now) {
  int in_progress = 0;
  for (auto& [id, work] : work_) {
    const AnnouncedUpstream* upstream = roster.Find(id);
    const bool is_done = upstream == nullptr ||
                         upstream->last.start_time_ms != work.start_time_ms ||
                         upstream->last.state == UpstreamState::kGone ||
                         VersionAt(*upstream, work.model) >= work.version ||
                         now - work.started_at > kWorkTimeout;
    if (is_done)
      work.step = Step::kDone;
    in_progress += work.step == Step::kDone ? 0 : 1;
  }
  return in_progress;
}

void WeightsCoordinator::StartWork(const Decisions& decisions,
                                   const upstreams::UpstreamRegistry& roster,
                                   TimePoint now) {
  int in_progress = CountInProgress(roster, now);
  if (roster.all().size() > kManyUpstreams && now - scanned_at_ < kScanInterval)
    return;
  scanned_at_ = now;
  const auto with_models = static_cast<double>(std::count_if(
      roster.all().begin(), roster.all().end(), [](const auto& e) {
        return e.second.last.state == UpstreamState::kReady &&
               !e.second.last.models.empty();
      }));
  const int parallel =
      std::max(options_.min_parallel,
               static_cast<int>(with_models * options_.parallel_share));
  for (const auto& [id, upstream] : roster.all()) {
    if (in_progress >= parallel)
      return;
    if (upstream.last.state != UpstreamState::kReady ||
        now - upstream.received_at > kAnnouncementTimeout) {
      continue;
    }
    for (const upstreams::LoadedModel& loaded : upstream.last.models) {
      const auto named = decisions.weights.find(loaded.model);
      const std::uint64_t known = VersionAt(upstream, loaded.model);
      if (named == decisions.weights.end() || known >= named->second)
        continue;
      Work& work = work_[id];
      if (work.step != Step::kDone || now < work.not_before)
        break;
      work = Work();
      work.model = loaded.model;
      work.version = named->second;
      work.start_time_ms = upstream.last.start_time_ms;
      work.step = Step::kChecking;
      work.started_at = now;
      work.next_check = now;
      work.known_version = known;
      ++in_progress;
      break;
    }
  }
}

std::vector<WeightsOrder> WeightsCoordinator::NextOrders(
    const Decisions& decisions,
    const upstreams::UpstreamRegistry& roster,
    bool is_confirmed_leader,
    std::uint64_t term,
    TimePoint now) {
  // If confirmation is lost and regained within one term, no other process was
  // leader in between.
  if (is_confirmed_leader && leader_term_ != term) {
    leader_since_ = now;
    leader_term_ = term;
    work_.clear();
  }
  is_confirmed_leader_ = is_confirmed_leader;
  std::vector<WeightsOrder> orders;
  if (!is_confirmed_leader ||
      now < leader_since_ + options_.lease + kLeaseMargin)
    return orders;
  StartWork(decisions, roster, now);
  for (auto& [id, work] : work_) {
    const AnnouncedUpstream* upstream = roster.Find(id);
    if (work.step != Step::kOrdering || work.order_sent || upstream == nullptr)
      continue;
    // Uses a newer version if one was decided since the work started.
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

std::vector<WeightsCheck> WeightsCoordinator::NextChecks(
    const upstreams::UpstreamRegistry& roster,
    TimePoint now) {
  std::vector<WeightsCheck> checks;
  if (!is_confirmed_leader_)
    return checks;
  for (auto& [id, work] : work_) {
    const AnnouncedUpstream* upstream = roster.Find(id);
    const bool needs_check =
        work.step == Step::kChecking || work.step == Step::kLoading;
    if (!needs_check || now < work.next_check || upstream == nullptr)
      continue;
    work.next_check = now + kCheckInterval;
    checks.push_back({id, upstream->last.address, work.model});
  }
  return checks;
}

void WeightsCoordinator::OnOrderResult(const UpstreamId& upstream,
                                       WeightsOrderResult result,
                                       TimePoint now) {
  const auto it = work_.find(upstream);
  if (it == work_.end() || it->second.step != Step::kOrdering)
    return;
  Work& work = it->second;
  switch (result) {
    case WeightsOrderResult::kAccepted:
    case WeightsOrderResult::kUnknown:
      work.step = Step::kLoading;
      break;
    case WeightsOrderResult::kAlreadyLoaded:
      work.known_version = std::max(work.known_version, work.version);
      work.step = Step::kDone;
      break;
    case WeightsOrderResult::kBusy:
      work.step = Step::kChecking;
      work.next_check = now + kBusyRetryDelay;
      break;
    case WeightsOrderResult::kRefused:
      work.step = Step::kDone;
      work.not_before = now + kRefusedRetryDelay;
      break;
  }
}

void WeightsCoordinator::OnReport(const UpstreamId& upstream,
                                  const ModelId& model,
                                  const WeightsReport& report,
                                  TimePoint now) {
  const auto it = work_.find(upstream);
  if (it == work_.end() || it->second.model != model ||
      it->second.step == Step::kDone) {
    return;
  }
  Work& work = it->second;
  work.known_version = std::max(work.known_version, report.version);
  if (report.version >= work.version) {
    work.step = Step::kDone;
    LogLine("fleet.weights_loaded")
        .Add("upstream", upstream.str())
        .Add("model", model.str())
        .Add("version", report.version)
        .Add("ms", MillisBetween(work.started_at, now))
        .Info();
    return;
  }
  const bool may_order =
      !report.is_busy &&
      (work.step == Step::kChecking || now - work.ordered_at > kReportLag);
  if (may_order) {
    work.step = Step::kOrdering;
    work.order_sent = false;
    work.orders_before = report.orders;
  }
}

std::vector<UpstreamId> WeightsCoordinator::QuiescedUpstreams() const {
  std::vector<UpstreamId> quiesced;
  for (const auto& [id, work] : work_) {
    if (is_confirmed_leader_ && work.step != Step::kDone)
      quiesced.push_back(id);
  }
  return quiesced;
}

}  // namespace endivecart::fleet
