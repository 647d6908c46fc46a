#ifndef ENDIVECART_FLEET_MOVE_COORDINATOR_H_
#define ENDIVECART_FLEET_MOVE_COORDINATOR_H_

#include <map>
#include <string>
#include <vector>

#include "endivecart/fleet/decisions.h"
#include "endivecart/moves/moves.h"

namespace endivecart::fleet {

// Returns the fraction of a service's requests that the new version gets at
// this time after the move started. It stays below the limit for a bad version
// for most of the duration, then rises to 1 early enough that requests running
// at the old version finish before the move ends.
double NewVersionShare(Millis elapsed, Millis duration);

// Returns the time after the start of a move at which it completes, if no
// regression was detected by then.
Millis CompletionTime(Millis duration);

moves::CountsBySegment CountsFromWire(const wire::ServiceMoveReport& report);
wire::ServiceMoveReport CountsToWire(const routes::ServiceId& service,
                                     std::uint64_t move_index,
                                     const moves::CountsBySegment& counts);

// The end of a move.
struct MoveEnd {
  routes::ServiceId service;
  VersionId target;
  bool completed = false;  // false: rolled back
  std::string reason;

  bool operator==(const MoveEnd&) const = default;
};

// Decides at the leader when running moves end, based on the reports of all
// processes.
class MoveCoordinator {
 public:
  void OnReport(const HostId& host, const wire::ServiceMoveReport& report);
  // Returns the moves that must end now. They are returned again with each call
  // until `decisions` shows that they ended.
  std::vector<MoveEnd> NextEnds(const Decisions& decisions, TimePoint now);

 private:
  struct Running {
    std::uint64_t index = 0;
    TimePoint first_seen_at;
    moves::PooledJudge judge;
  };

  std::map<routes::ServiceId, Running> running_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_MOVE_COORDINATOR_H_
