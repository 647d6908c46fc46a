#include "endivecart/moves/version_gate.h"

namespace endivecart::moves {

using configuration::Rollout;
using configuration::RolloutState;

const VersionGate::WatchedMove* VersionGate::Find(
    const configuration::Model& model) const {
  const auto it = moves_.find(model.id);
  const bool same = it != moves_.end() && model.rollout &&
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
  const WatchedMove* move = Find(model);
  const bool stopped_here = move != nullptr && !move->judge.verdict().empty();
  if (rollout.state == RolloutState::kDone) {
    // The version is still judged after promotion.
    return stopped_here ? rollout.previous : model.version;
  }
  const bool on_route = rollout.route.empty() || rollout.route == route;
  const bool use_candidate = rollout.state == RolloutState::kRunning && fresh &&
                             !stopped_here && on_route &&
                             draw < rollout.share_permille;
  return use_candidate ? rollout.version : model.version;
}

void VersionGate::OnOutcome(const configuration::Model& model,
                            const VersionId& version,
                            const VersionOutcome& outcome) {
  if (!model.rollout || model.rollout->state == RolloutState::kTakenBack) {
    moves_.erase(model.id);
    return;
  }
  if (Find(model) == nullptr) {
    moves_[model.id] = {model.rollout->version, model.rollout->started_ms, {}};
  }
  WatchedMove& move = moves_[model.id];
  if (version != move.version) {
    move.judge.AddBaseline(outcome);
    return;
  }
  const bool was_good = move.judge.verdict().empty();
  move.judge.AddCandidate(outcome);
  if (was_good && !move.judge.verdict().empty()) {
    LogLine("moves.stopped_here")
        .Add("model", model.id.str())
        .Add("version", version.str())
        .Add("reason", move.judge.verdict())
        .Warn();
  }
}

std::vector<MoveReport> VersionGate::Reports() const {
  std::vector<MoveReport> reports;
  for (const auto& [model, move] : moves_) {
    reports.push_back({model, move.version, move.started_ms,
                       move.judge.candidates(), move.judge.faults(),
                       move.judge.verdict(), move.judge.counts()});
  }
  return reports;
}

}  // namespace endivecart::moves
