#include "endivecart/moves/version_gate.h"

namespace endivecart::moves {

using configuration::Rollout;
using configuration::RolloutState;

const VersionGate::Watch* VersionGate::Find(
    const configuration::Model& model) const {
  const auto it = watches_.find(model.id);
  const bool same = it != watches_.end() && model.rollout &&
                    it->second.version == model.rollout->version &&
                    it->second.started_ms == model.rollout->started_ms;
  return same ? &it->second : nullptr;
}

VersionId VersionGate::Choose(const configuration::Model& model,
                              const std::string& route,
                              int draw,
                              bool fresh) const {
  if (!model.rollout)
    return model.version;
  const Rollout& rollout = *model.rollout;
  const Watch* watch = Find(model);
  const bool stopped_here = watch != nullptr && !watch->judge.verdict().empty();
  if (rollout.state == RolloutState::kDone) {
    // Judging goes on after promotion.
    return stopped_here ? rollout.previous : model.version;
  }
  const bool on_route = rollout.route.empty() || rollout.route == route;
  const bool taken = rollout.state == RolloutState::kRunning && fresh &&
                     !stopped_here && on_route && draw < rollout.share_permille;
  return taken ? rollout.version : model.version;
}

void VersionGate::OnOutcome(const configuration::Model& model,
                            const VersionId& version,
                            const VersionOutcome& outcome) {
  if (!model.rollout || model.rollout->state == RolloutState::kTakenBack) {
    watches_.erase(model.id);
    return;
  }
  if (Find(model) == nullptr) {
    watches_[model.id] = {
        model.rollout->version, model.rollout->started_ms, {}};
  }
  Watch& watch = watches_[model.id];
  if (version != watch.version) {
    watch.judge.AddBaseline(outcome);
    return;
  }
  const bool was_good = watch.judge.verdict().empty();
  watch.judge.AddCandidate(outcome);
  if (was_good && !watch.judge.verdict().empty()) {
    LogLine("moves.stopped_here")
        .Add("model", model.id.str())
        .Add("version", version.str())
        .Add("reason", watch.judge.verdict())
        .Warn();
  }
}

std::vector<MoveReport> VersionGate::Reports() const {
  std::vector<MoveReport> reports;
  for (const auto& [model, watch] : watches_) {
    reports.push_back({model, watch.version, watch.started_ms,
                       watch.judge.candidates(), watch.judge.faults(),
                       watch.judge.verdict(), watch.judge.counts()});
  }
  return reports;
}

}  // namespace endivecart::moves
