#include "endivecart/gateway/move_tracker.h"

#include <algorithm>

namespace endivecart::gateway {

using fleet::MoveState;

namespace {

// Weight of the newest latency in the moving average of a route.
constexpr double kBaselineWeight = 0.05;

}  // namespace

void MoveTracker::SetDecisions(const fleet::Decisions& decisions,
                               TimePoint now) {
  for (const auto& [service, move] : decisions.moves) {
    TrackedMove& tracked = tracked_moves_[service];
    if (tracked.move.index != move.index) {
      tracked = TrackedMove();
      tracked.first_seen_at = now;
    }
    tracked.move = move;
  }
}

VersionChoice MoveTracker::Choose(const routes::ServiceId& service,
                                  double draw,
                                  TimePoint now) const {
  VersionChoice choice;
  const auto it = tracked_moves_.find(service);
  if (it == tracked_moves_.end())
    return choice;
  const fleet::Move& move = it->second.move;
  const Millis elapsed =
      std::chrono::duration_cast<Millis>(now - it->second.first_seen_at);
  const bool goes_to_new =
      move.state == MoveState::kCompleted ||
      (move.state == MoveState::kRunning &&
       draw < fleet::NewVersionShare(elapsed, move.duration));
  (goes_to_new ? choice.only : choice.except) = move.target;
  return choice;
}

bool MoveTracker::IsMoving(const routes::ServiceId& service) const {
  const auto it = tracked_moves_.find(service);
  return it != tracked_moves_.end() &&
         it->second.move.state == MoveState::kRunning;
}

bool MoveTracker::IsSlow(const routes::ServiceId& service,
                         const std::string& route,
                         const RunSpeed& speed) const {
  if (!IsMoving(service))
    return false;
  const TrackedMove& tracked = tracked_moves_.at(service);
  const auto baseline = tracked.baseline_ms.find(route);
  if (baseline == tracked.baseline_ms.end())
    return false;
  moves::VersionOutcome outcome;
  outcome.route = route;
  outcome.first_token_ratio =
      speed.first_event_ms / std::max(baseline->second, 1.0);
  outcome.gap_ms = speed.gap_ms;
  return tracked.judge.IsSlow(outcome);
}

void MoveTracker::Add(const routes::ServiceId& service,
                      const VersionId& version,
                      const std::string& route,
                      const DomainId& domain,
                      bool failed,
                      const RunSpeed& speed) {
  if (!IsMoving(service))
    return;
  TrackedMove& tracked = tracked_moves_.at(service);
  const auto [baseline, is_first] =
      tracked.baseline_ms.try_emplace(route, speed.first_event_ms);
  moves::VersionOutcome outcome;
  outcome.route = route;
  outcome.domain = domain;
  outcome.failed = failed;
  outcome.first_token_ratio =
      speed.first_event_ms / std::max(baseline->second, 1.0);
  outcome.gap_ms = speed.gap_ms;
  if (version == tracked.move.target) {
    // Without a baseline the latency cannot be compared.
    if (is_first) {
      tracked.baseline_ms.erase(baseline);
      outcome.first_token_ratio = 1;
    }
    tracked.judge.AddCandidate(outcome);
    return;
  }
  baseline->second +=
      (speed.first_event_ms - baseline->second) * kBaselineWeight;
  tracked.judge.AddBaseline(outcome);
}

std::vector<wire::ServiceMoveReport> MoveTracker::Reports() const {
  std::vector<wire::ServiceMoveReport> reports;
  for (const auto& [service, tracked] : tracked_moves_) {
    if (tracked.move.state == MoveState::kRunning) {
      reports.push_back(fleet::CountsToWire(service, tracked.move.index,
                                            tracked.judge.counts()));
    }
  }
  return reports;
}

}  // namespace endivecart::gateway
