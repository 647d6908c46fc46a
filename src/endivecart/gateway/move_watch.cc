#include "endivecart/gateway/move_watch.h"

#include <algorithm>

namespace endivecart::gateway {

using fleet::MoveState;

namespace {

// Weight of the newest latency in the running mean of a route.
constexpr double kUsualWeight = 0.05;

}  // namespace

void MoveWatch::SetDecisions(const fleet::Decisions& decisions, TimePoint now) {
  for (const auto& [service, move] : decisions.moves) {
    Watched& watched = watched_[service];
    if (watched.move.index != move.index) {
      watched = Watched();
      watched.learned_at = now;
    }
    watched.move = move;
  }
}

VersionChoice MoveWatch::Choose(const routes::ServiceId& service,
                                double roll,
                                TimePoint now) const {
  VersionChoice choice;
  const auto it = watched_.find(service);
  if (it == watched_.end())
    return choice;
  const fleet::Move& move = it->second.move;
  const Millis elapsed =
      std::chrono::duration_cast<Millis>(now - it->second.learned_at);
  const bool goes_to_new =
      move.state == MoveState::kCompleted ||
      (move.state == MoveState::kRunning &&
       roll < fleet::NewVersionShare(elapsed, move.duration));
  (goes_to_new ? choice.only : choice.except) = move.target;
  return choice;
}

void MoveWatch::Add(const routes::ServiceId& service,
                    const VersionId& version,
                    const std::string& route,
                    const DomainId& domain,
                    bool failed,
                    double latency_ms) {
  const auto it = watched_.find(service);
  if (it == watched_.end() || it->second.move.state != MoveState::kRunning)
    return;
  Watched& watched = it->second;
  const auto [usual, is_first] =
      watched.usual_ms.try_emplace(route, latency_ms);
  moves::VersionOutcome outcome;
  outcome.route = route;
  outcome.domain = domain;
  outcome.failed = failed;
  outcome.first_token_ratio = latency_ms / std::max(usual->second, 1.0);
  if (version == watched.move.target) {
    // Without anything to compare with, slowness can't be told.
    if (is_first) {
      watched.usual_ms.erase(usual);
      outcome.first_token_ratio = 1;
    }
    watched.judge.AddCandidate(outcome);
    return;
  }
  usual->second += (latency_ms - usual->second) * kUsualWeight;
  watched.judge.AddBaseline(outcome);
}

std::vector<wire::ServiceMoveReport> MoveWatch::Reports() const {
  std::vector<wire::ServiceMoveReport> reports;
  for (const auto& [service, watched] : watched_) {
    if (watched.move.state == MoveState::kRunning) {
      reports.push_back(fleet::CountsToWire(service, watched.move.index,
                                            watched.judge.counts()));
    }
  }
  return reports;
}

}  // namespace endivecart::gateway
