#include "endivecart/moves/move_plan.h"

#include <algorithm>
#include <map>
#include <set>

namespace endivecart::moves {

namespace {

constexpr int kFullSharePermille = 1000;
// More loads at a time would slow down the weight store.
constexpr std::size_t kMaxConcurrentLoads = 2;
// The schedule covers this fraction of the time until the deadline; the rest is
// a reserve.
constexpr double kScheduledFraction = 0.8;
constexpr std::int64_t kMinStepMs = 1000;
// From this share on, every domain serves the version, so that a fault in one
// domain only is found while the share is still small.
constexpr int kAllDomainsPermille = 10;

struct ShareStep {
  int permille;
  double fraction;  // of the scheduled time
};

// Small shares get most of the time: faults found there affect few requests.
constexpr ShareStep kSteps[] = {{10, 0.3},
                                {50, 0.25},
                                {150, 0.2},
                                {400, 0.15},
                                {kFullSharePermille, 0.1}};

std::size_t CountUsableDomains(const MoveView& view) {
  std::set<DomainId> domains;
  for (const MoveUpstream& upstream : view.upstreams) {
    if (upstream.usable)
      domains.insert(upstream.domain);
  }
  return domains.size();
}

std::size_t RequiredUpstreams(const MoveView& view, int share_permille) {
  const std::size_t required =
      (view.upstreams.size() * static_cast<std::size_t>(share_permille) +
       kFullSharePermille - 1) /
      kFullSharePermille;
  return std::max(required, share_permille >= kAllDomainsPermille
                                ? CountUsableDomains(view)
                                : 1);
}

int NextShare(int share_permille) {
  for (const ShareStep& step : kSteps) {
    if (step.permille > share_permille)
      return step.permille;
  }
  return kFullSharePermille;
}

// Returns the Unix time at which the current share's step ends. The schedule
// counts from the start of the move, so that later steps make up for a delay.
std::int64_t StepEndMs(const MoveView& view) {
  const configuration::Rollout& rollout = view.rollout;
  const auto scheduled_ms =
      static_cast<double>(rollout.deadline_ms - rollout.started_ms) *
      kScheduledFraction;
  double fraction = 0;
  for (const ShareStep& step : kSteps) {
    fraction += step.fraction;
    if (step.permille >= rollout.share_permille)
      break;
  }
  return std::max(
      view.share_since_ms + kMinStepMs,
      rollout.started_ms + static_cast<std::int64_t>(scheduled_ms * fraction));
}

// Returns the upstreams in loading order, alternating between domains.
std::vector<const MoveUpstream*> LoadOrder(const MoveView& view) {
  std::map<DomainId, int> turn;
  std::vector<std::pair<int, const MoveUpstream*>> order;
  for (const MoveUpstream& upstream : view.upstreams)
    order.emplace_back(turn[upstream.domain]++, &upstream);
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<const MoveUpstream*> upstreams;
  upstreams.reserve(order.size());
  for (const auto& [position, upstream] : order)
    upstreams.push_back(upstream);
  return upstreams;
}

std::vector<UpstreamId> ChooseLoads(const MoveView& view, int share_permille) {
  std::vector<UpstreamId> load;
  std::size_t with_new = 0;
  std::size_t loading = 0;
  for (const MoveUpstream& upstream : view.upstreams) {
    with_new += upstream.has_new && upstream.usable ? 1 : 0;
    loading += upstream.loading ? 1 : 0;
  }
  const std::size_t required = RequiredUpstreams(view, share_permille);
  for (const MoveUpstream* upstream : LoadOrder(view)) {
    if (with_new + loading >= required || loading >= kMaxConcurrentLoads)
      break;
    if (upstream->has_new || upstream->loading || !upstream->usable)
      continue;
    load.push_back(upstream->id);
    ++loading;
  }
  return load;
}

bool EnoughLoaded(const MoveView& view, int share_permille) {
  std::size_t ready = 0;
  std::size_t usable = 0;
  for (const MoveUpstream& upstream : view.upstreams) {
    usable += upstream.usable ? 1 : 0;
    ready += upstream.has_new && upstream.usable ? 1 : 0;
  }
  return ready >= std::min(RequiredUpstreams(view, share_permille),
                           std::max<std::size_t>(usable, 1));
}

}  // namespace

MoveStep PlanStep(const MoveView& view) {
  MoveStep step;
  if (!view.verdict.empty()) {
    step.kind = MoveStepKind::kRollBack;
    step.reason = view.verdict;
    return step;
  }
  const configuration::Rollout& rollout = view.rollout;
  const int share = rollout.share_permille;
  const int next = NextShare(share);
  // The upstreams for the step after the next one load in advance.
  step.load = ChooseLoads(view, share == 0 ? next : NextShare(next));
  const bool step_elapsed = share == 0 || view.now_ms >= StepEndMs(view);
  if (share == kFullSharePermille) {
    if (step_elapsed) {
      step.kind = MoveStepKind::kFinish;
      step.reason = "all traffic was moved with nothing against the version";
    }
    return step;
  }
  if (view.now_ms >= rollout.deadline_ms && !EnoughLoaded(view, next)) {
    step.kind = MoveStepKind::kRollBack;
    step.reason = "the deadline passed before enough upstreams had loaded it";
    step.load.clear();
    return step;
  }
  if (step_elapsed && EnoughLoaded(view, next)) {
    step.kind = MoveStepKind::kRaiseShare;
    step.share_permille = next;
  }
  return step;
}

}  // namespace endivecart::moves
