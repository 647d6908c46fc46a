#ifndef ENDIVECART_MEMBERSHIP_UPSTREAM_ROSTER_H_
#define ENDIVECART_MEMBERSHIP_UPSTREAM_ROSTER_H_

#include <map>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/membership/slow_start.h"
#include "endivecart/membership/upstream.h"

namespace endivecart::membership {

// What finished requests tell about their upstream.
struct UpstreamEvidence {
  UpstreamId upstream;
  std::uint64_t incarnation = 0;
  int good = 0;
  int slow = 0;  // first token late, but within the cold limit
  int cold = 0;  // first token very late, or its cache was lost
  int failed = 0;

  bool operator==(const UpstreamEvidence&) const = default;
};

// Limits on observed over predicted time to first token.
inline constexpr double kSlowFirstTokenRatio = 2.0;
inline constexpr double kColdFirstTokenRatio = 4.0;

// The upstreams that announce themselves to this host, with what each bears
// now. A pure core: the caller gives the time.
class UpstreamRoster {
 public:
  explicit UpstreamRoster(Millis announcement_lease);

  // Takes an announcement; `capacity` in it is the upstream's own figure.
  // A new incarnation starts from little again.
  void Announce(const Upstream& announced, TimePoint now);
  void OnEvidence(const UpstreamEvidence& evidence);
  // Drops upstreams whose announcements have stopped; returns their ids.
  std::vector<UpstreamId> Expire(TimePoint now);
  std::vector<Upstream> Current() const;

 private:
  struct Record {
    Upstream upstream;
    SlowStart slow_start;
    TimePoint expires;
    int cold_signs = 0;
  };

  void TurnCold(Record& record, std::string_view reason);

  Millis announcement_lease_;
  std::map<UpstreamId, Record> records_;
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_UPSTREAM_ROSTER_H_
