#include "endivecart/moves/move_plan.h"

#include <algorithm>

namespace endivecart::moves {

namespace {

constexpr int kAllPermille = 1000;
constexpr std::size_t kMaxLoads = 2;  // more slow down the weight store
constexpr std::uint64_t kRequestsPerStep = 30;
// The plan leaves this part of the time before the deadline unused.
constexpr double kPlannedPart = 0.8;
// With nobody asking, a step ends after this many times its planned length.
constexpr int kIdlePatience = 2;
constexpr std::int64_t kSoonestStepMs = 2000;

std::size_t UpstreamsFor(int share_permille, std::size_t all) {
  const std::size_t wanted =
      (all * static_cast<std::size_t>(share_permille) + kAllPermille - 1) /
      kAllPermille;
  return std::max<std::size_t>(wanted, 1);
}

int NextShare(int share_permille) {
  for (const int step : ShareSteps()) {
    if (step > share_permille)
      return step;
  }
  return kAllPermille;
}

std::int64_t StepMillis(const configuration::Rollout& rollout) {
  const auto planned = static_cast<std::int64_t>(
      static_cast<double>(rollout.deadline_ms - rollout.started_ms) *
      kPlannedPart / static_cast<double>(ShareSteps().size()));
  return std::max(kSoonestStepMs, planned);
}

std::vector<UpstreamId> ChooseLoads(const MoveView& view, int share_permille) {
  std::vector<UpstreamId> load;
  std::size_t with_new = 0;
  std::size_t loading = 0;
  for (const MoveUpstream& upstream : view.upstreams) {
    with_new += upstream.has_new && upstream.usable ? 1 : 0;
    loading += upstream.loading ? 1 : 0;
  }
  const std::size_t wanted =
      UpstreamsFor(share_permille, view.upstreams.size());
  for (const MoveUpstream& upstream : view.upstreams) {
    if (with_new + loading >= wanted || loading >= kMaxLoads)
      break;
    if (upstream.has_new || upstream.loading || !upstream.usable)
      continue;
    load.push_back(upstream.id);
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
  return ready >= std::min(UpstreamsFor(share_permille, view.upstreams.size()),
                           std::max<std::size_t>(usable, 1));
}

}  // namespace

const std::vector<int>& ShareSteps() {
  static const std::vector<int> steps = {10, 50, 150, 400, kAllPermille};
  return steps;
}

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
  step.load = ChooseLoads(view, share == 0 ? next : NextShare(share));
  const std::int64_t elapsed = view.now_ms - view.share_since_ms;
  const bool tried =
      share == 0 ||
      view.requests - view.requests_at_share >= kRequestsPerStep ||
      elapsed >= kIdlePatience * StepMillis(rollout);
  const bool time_has_come = share == 0 || elapsed >= StepMillis(rollout);
  if (share == kAllPermille) {
    if (tried && time_has_come) {
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
  if (tried && time_has_come && EnoughLoaded(view, next)) {
    step.kind = MoveStepKind::kRaiseShare;
    step.share_permille = next;
  }
  return step;
}

}  // namespace endivecart::moves
