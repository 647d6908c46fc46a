#ifndef ENDIVECART_GATEWAY_MOVE_WATCH_H_
#define ENDIVECART_GATEWAY_MOVE_WATCH_H_

#include <map>
#include <optional>
#include <vector>

#include "endivecart/fleet/fleet.h"
#include "endivecart/moves/moves.h"

namespace endivecart::gateway {

// Which versions of a service a request may go to.
struct VersionChoice {
  std::optional<VersionId> only;    // this one and no other
  std::optional<VersionId> except;  // any but this one

  bool operator==(const VersionChoice&) const = default;
};

// The moves of services to new versions as one host carries them out: which
// requests go to the new version, and what is seen of it.
class MoveWatch {
 public:
  void SetDecisions(const fleet::Decisions& decisions, TimePoint now);

  // `roll` in [0, 1) is drawn once for each request.
  VersionChoice Choose(const routes::ServiceId& service,
                       double roll,
                       TimePoint now) const;
  // One request of a route has ended at an upstream of this version, after
  // this long to its answer or first event.
  void Add(const routes::ServiceId& service,
           const VersionId& version,
           const std::string& route,
           const DomainId& domain,
           bool failed,
           double latency_ms);
  std::vector<wire::ServiceMoveReport> Reports() const;

 private:
  struct Watched {
    fleet::Move move;
    TimePoint learned_at;
    moves::VersionJudge judge;
    std::map<std::string, double> usual_ms;  // of the old version, by route
  };

  std::map<routes::ServiceId, Watched> watched_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_MOVE_WATCH_H_
