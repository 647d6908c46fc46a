#ifndef ENDIVECART_GATEWAY_MOVE_TRACKER_H_
#define ENDIVECART_GATEWAY_MOVE_TRACKER_H_

#include <map>
#include <optional>
#include <vector>

#include "endivecart/fleet/fleet.h"
#include "endivecart/moves/moves.h"

namespace endivecart::gateway {

// The versions of a service to which a request may go.
struct VersionChoice {
  std::optional<VersionId> only;    // this one and no other
  std::optional<VersionId> except;  // any but this one

  bool operator==(const VersionChoice&) const = default;
};

// The speed of one run at an upstream. While it runs, these are lower bounds.
struct RunSpeed {
  double first_event_ms = 0;  // from the send to the answer or first event
  double gap_ms = 0;          // mean time between the events since

  bool operator==(const RunSpeed&) const = default;
};

// Tracks the moves of services to new versions on one host: selects the
// requests that go to the new version, and counts their outcomes.
class MoveTracker {
 public:
  void SetDecisions(const fleet::Decisions& decisions, TimePoint now);

  // `draw` is a random number in [0, 1), drawn once for each request.
  VersionChoice Choose(const routes::ServiceId& service,
                       double draw,
                       TimePoint now) const;
  bool IsMoving(const routes::ServiceId& service) const;
  // Records the outcome of one request at an upstream of `version`.
  void Add(const routes::ServiceId& service,
           const VersionId& version,
           const std::string& route,
           const DomainId& domain,
           bool failed,
           const RunSpeed& speed);
  // Returns whether the new version's run would count as slow.
  bool IsSlow(const routes::ServiceId& service,
              const std::string& route,
              const RunSpeed& speed) const;
  std::vector<wire::ServiceMoveReport> Reports() const;

 private:
  struct TrackedMove {
    fleet::Move move;
    TimePoint first_seen_at;
    moves::VersionJudge judge;
    std::map<std::string, double>
        baseline_ms;  // latency of the old version, by route
  };

  std::map<routes::ServiceId, TrackedMove> tracked_moves_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_MOVE_TRACKER_H_
