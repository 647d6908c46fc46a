#ifndef ENDIVECART_FLEET_MOVE_CONDUCTOR_H_
#define ENDIVECART_FLEET_MOVE_CONDUCTOR_H_

#include <map>
#include <string>
#include <vector>

#include "endivecart/fleet/decisions.h"
#include "endivecart/moves/moves.h"

namespace endivecart::fleet {

// The share of a service's requests that its new version gets, so long after
// the move began. Nearly all of the time it stays below what a bad version may
// get; then the version takes over, early enough for what runs at the old one
// to end before the move does.
double NewVersionShare(Millis elapsed, Millis duration);

// When the move ends well, if nothing speaks against the version.
Millis CompletionTime(Millis duration);

moves::CountsBySegment CountsFromWire(const wire::ServiceMoveReport& report);
wire::ServiceMoveReport CountsToWire(const routes::ServiceId& service,
                                     std::uint64_t move_index,
                                     const moves::CountsBySegment& counts);

// How a move ends.
struct MoveEnd {
  routes::ServiceId service;
  VersionId target;
  bool completed = false;  // else rolled back
  std::string reason;

  bool operator==(const MoveEnd&) const = default;
};

// Judges running moves at the leader, by what all processes have seen.
class MoveConductor {
 public:
  void OnReport(const HostId& host, const wire::ServiceMoveReport& report);
  // Moves that are to end now. Named again until the decision stands.
  std::vector<MoveEnd> NextEnds(const Decisions& decisions, TimePoint now);

 private:
  struct Running {
    std::uint64_t index = 0;
    TimePoint seen_at;
    moves::PooledJudge judge;
  };

  std::map<routes::ServiceId, Running> running_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_MOVE_CONDUCTOR_H_
