#include "endivecart/fleet/move_conductor.h"

#include <utility>

namespace endivecart::fleet {

namespace {

struct Stage {
  double until;  // part of the move's duration
  double share;
};

// Faults that show under load only are met by few requests at 40 in 100; those
// that show at once are met at 4 in 100.
constexpr Stage kStages[] = {{0.4, 0.04}, {0.66, 0.08}, {0.76, 0.4}};
// The rest of the time is for the decision and its way.
constexpr double kCompletionPart = 0.88;

double Part(Millis elapsed, Millis duration) {
  if (duration <= Millis(0))
    return 1;
  return static_cast<double>(elapsed.count()) /
         static_cast<double>(duration.count());
}

}  // namespace

double NewVersionShare(Millis elapsed, Millis duration) {
  const double part = Part(elapsed, duration);
  for (const Stage& stage : kStages) {
    if (part < stage.until)
      return stage.share;
  }
  return 1;
}

Millis CompletionTime(Millis duration) {
  return Millis(static_cast<Millis::rep>(static_cast<double>(duration.count()) *
                                         kCompletionPart));
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

void MoveConductor::OnReport(const HostId& host,
                             const wire::ServiceMoveReport& report) {
  const auto it = running_.find(routes::ServiceId(report.service()));
  if (it != running_.end() && it->second.index == report.move_index())
    it->second.judge.OnCounts(host, CountsFromWire(report));
}

std::vector<MoveEnd> MoveConductor::NextEnds(const Decisions& decisions,
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
      running.seen_at = now;
    }
    if (!running.judge.verdict().empty()) {
      ends.push_back({service, move.target, false, running.judge.verdict()});
    } else if (now - running.seen_at >= CompletionTime(move.duration)) {
      ends.push_back({service, move.target, true, "nothing speaks against it"});
    }
  }
  return ends;
}

}  // namespace endivecart::fleet
