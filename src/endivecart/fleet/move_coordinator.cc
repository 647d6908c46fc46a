#include "endivecart/fleet/move_coordinator.h"

#include <utility>

namespace endivecart::fleet {

namespace {

struct Stage {
  double end_fraction;  // of the duration of the move
  double share;         // of the requests
};

// The stage with 40% detects faults that appear only under load before all
// requests are exposed to them. The first stage, with 4%, limits the exposure
// to faults that appear at once.
constexpr Stage kStages[] = {{0.4, 0.04}, {0.6, 0.08}, {0.76, 0.4}};
// The rest of the duration is for replicating and distributing the decision.
constexpr double kCompletionFraction = 0.88;

double ElapsedFraction(Millis elapsed, Millis duration) {
  if (duration <= Millis(0))
    return 1;
  return static_cast<double>(elapsed.count()) /
         static_cast<double>(duration.count());
}

}  // namespace

double NewVersionShare(Millis elapsed, Millis duration) {
  const double fraction = ElapsedFraction(elapsed, duration);
  for (const Stage& stage : kStages) {
    if (fraction < stage.end_fraction)
      return stage.share;
  }
  return 1;
}

Millis CompletionTime(Millis duration) {
  return Millis(static_cast<Millis::rep>(static_cast<double>(duration.count()) *
                                         kCompletionFraction));
}

moves::CountsBySegment CountsFromWire(const wire::ServiceMoveReport& report) {
  moves::CountsBySegment counts;
  for (const wire::RouteCounts& part : report.counts()) {
    counts[part.route()] = {part.requests(), part.failed(),
                            part.slow_first_tokens(), part.slow_gaps()};
  }
  return counts;
}

wire::ServiceMoveReport CountsToWire(const routes::ServiceId& service,
                                     std::uint64_t move_index,
                                     const moves::CountsBySegment& counts) {
  wire::ServiceMoveReport report;
  report.set_service(service.str());
  report.set_move_index(move_index);
  for (const auto& [name, outcome] : counts) {
    wire::RouteCounts& part = *report.add_counts();
    part.set_route(name);
    part.set_requests(outcome.requests);
    part.set_failed(outcome.failed);
    part.set_slow_first_tokens(outcome.slow_first_tokens);
    part.set_slow_gaps(outcome.slow_gaps);
  }
  return report;
}

void MoveCoordinator::OnReport(const HostId& host,
                               const wire::ServiceMoveReport& report) {
  const auto it = running_.find(routes::ServiceId(report.service()));
  if (it != running_.end() && it->second.index == report.move_index())
    it->second.judge.OnCounts(host, CountsFromWire(report));
}

std::vector<MoveEnd> MoveCoordinator::NextEnds(const Decisions& decisions,
                                               TimePoint now) {
  std::vector<MoveEnd> ends;
  for (const auto& [service, move] : decisions.moves) {
    if (move.state != MoveState::kRunning) {
      running_.erase(service);
      continue;
    }
    Running& running = running_[service];
    if (running.index != move.index) {
      running = Running();
      running.index = move.index;
      running.first_seen_at = now;
    }
    if (!running.judge.verdict().empty()) {
      ends.push_back({service, move.target, false, running.judge.verdict()});
    } else if (now - running.first_seen_at >= CompletionTime(move.duration)) {
      ends.push_back({service, move.target, true, "no regression detected"});
    }
  }
  return ends;
}

}  // namespace endivecart::fleet
