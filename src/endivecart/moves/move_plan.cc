#include "endivecart/moves/move_plan.h"

#include <algorithm>
#include <map>
#include <set>

namespace endivecart::moves {

namespace {

constexpr int kAllPermille = 1000;
constexpr std::size_t kMaxLoads = 2;  // more slow down the weight store
// The plan leaves this part of the time before the deadline unused.
constexpr double kPlannedPart = 0.8;
constexpr std::int64_t kSoonestStepMs = 1000;
// From this share on every domain takes part, so that a version that is bad in
// one domain only shows while its share is still small.
constexpr int kEveryDomainPermille = 10;

struct ShareStep {
  int permille;
  double part;  // of the planned time
};

// Small shares get most of the time: what is found there costs little.
constexpr ShareStep kSteps[] = {{10, 0.3},
                                {50, 0.25},
                                {150, 0.2},
                                {400, 0.15},
                                {kAllPermille, 0.1}};

std::size_t Domains(const MoveView& view) {
  std::set<DomainId> domains;
  for (const MoveUpstream& upstream : view.upstreams) {
    if (upstream.usable)
      domains.insert(upstream.domain);
  }
  return domains.size();
}

std::size_t UpstreamsFor(const MoveView& view, int share_permille) {
  const std::size_t wanted =
      (view.upstreams.size() * static_cast<std::size_t>(share_permille) +
       kAllPermille - 1) /
      kAllPermille;
  return std::max(wanted,
                  share_permille >= kEveryDomainPermille ? Domains(view) : 1);
}

int NextShare(int share_permille) {
  for (const ShareStep& step : kSteps) {
    if (step.permille > share_permille)
      return step.permille;
  }
  return kAllPermille;
}

// When the present share's time is over. The schedule counts from the move's
// start, so that time lost at one step is made good at the next ones.
std::int64_t StepEndMs(const MoveView& view) {
  const configuration::Rollout& rollout = view.rollout;
  const auto planned =
      static_cast<double>(rollout.deadline_ms - rollout.started_ms) *
      kPlannedPart;
  double part = 0;
  for (const ShareStep& step : kSteps) {
    part += step.part;
    if (step.permille >= rollout.share_permille)
      break;
  }
  return std::max(
      view.share_since_ms + kSoonestStepMs,
      rollout.started_ms + static_cast<std::int64_t>(planned * part));
}

// Upstreams in the order in which they load: the domains take turns.
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
  const std::size_t wanted = UpstreamsFor(view, share_permille);
  for (const MoveUpstream* upstream : LoadOrder(view)) {
    if (with_new + loading >= wanted || loading >= kMaxLoads)
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
  return ready >= std::min(UpstreamsFor(view, share_permille),
                           std::max<std::size_t>(usable, 1));
}

}  // namespace

MoveStep PlanStep(const MoveView& view) {
  MoveStep step;
  if (!view.verdict.empty()) {
    step.kind = MoveStepKind::kTakeBack;
    step.reason = view.verdict;
    return step;
  }
  const configuration::Rollout& rollout = view.rollout;
  const int share = rollout.share_permille;
  const int next = NextShare(share);
  // Loads run ahead of the share that needs them.
  step.load = ChooseLoads(view, share == 0 ? next : NextShare(next));
  const bool time_has_come = share == 0 || view.now_ms >= StepEndMs(view);
  if (share == kAllPermille) {
    if (time_has_come) {
      step.kind = MoveStepKind::kFinish;
      step.reason = "all traffic was moved with nothing against the version";
    }
    return step;
  }
  if (view.now_ms >= rollout.deadline_ms && !EnoughLoaded(view, next)) {
    step.kind = MoveStepKind::kTakeBack;
    step.reason = "the deadline passed before enough upstreams had loaded it";
    step.load.clear();
    return step;
  }
  if (time_has_come && EnoughLoaded(view, next)) {
    step.kind = MoveStepKind::kRaiseShare;
    step.share_permille = next;
  }
  return step;
}

}  // namespace endivecart::moves
