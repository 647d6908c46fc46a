#ifndef ENDIVECART_MEMBERSHIP_UPSTREAM_ROSTER_H_
#define ENDIVECART_MEMBERSHIP_UPSTREAM_ROSTER_H_

#include <map>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/membership/slow_start.h"
#include "endivecart/membership/upstream.h"

namespace endivecart::membership {

// Counts of finished requests of one upstream, by result.
struct UpstreamEvidence {
  UpstreamId upstream;
  std::uint64_t incarnation = 0;
  int good = 0;
  int slow = 0;  // first token late, but within the cold limit
  int cold = 0;  // first token very late, or its cache was lost
  int failed = 0;

  bool operator==(const UpstreamEvidence&) const = default;
};

// Ratios of observed to predicted time to first token above which a request
// counts as slow or cold.
inline constexpr double kSlowFirstTokenRatio = 2.0;
inline constexpr double kColdFirstTokenRatio = 4.0;

// The upstreams that announce themselves to this host, with their current
// concurrency limits. Does no I/O; the caller passes the time.
class UpstreamRoster {
 public:
  explicit UpstreamRoster(Millis announcement_lease);

  // Applies an announcement. `capacity` is as the upstream announces it; a new
  // incarnation restarts the slow start.
  void Announce(const Upstream& announced, TimePoint now);
  // Adjusts the concurrency limit of the upstream. Evidence about another
  // incarnation is ignored.
  void OnEvidence(const UpstreamEvidence& evidence);
  // Removes upstreams whose announcements have stopped and returns their ids.
  std::vector<UpstreamId> Expire(TimePoint now);
  std::vector<Upstream> Current() const;

 private:
  struct Record {
    Upstream upstream;
    SlowStart slow_start;
    TimePoint expires;
    int cold_signs = 0;
  };

  void ResetToCold(Record& record, std::string_view reason);

  Millis announcement_lease_;
  std::map<UpstreamId, Record> records_;
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_UPSTREAM_ROSTER_H_
