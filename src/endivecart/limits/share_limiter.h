#ifndef ENDIVECART_LIMITS_SHARE_LIMITER_H_
#define ENDIVECART_LIMITS_SHARE_LIMITER_H_

#include <cstddef>
#include <map>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::limits {

// How hosts divide an upstream's rate. They need no messages: if there are more
// hosts than `max_hosts`, a subset of them, which differs between upstreams,
// has equal shares and the others have none. Since each may send its first
// request at once, `max_hosts` bounds what the upstream gets at the same
// moment.
struct SharedRate {
  double requests_per_s = 0;  // of all hosts together
  int max_hosts = 1;

  bool operator==(const SharedRate&) const = default;
};

// Limits one host to its shares of the rates of upstreams.
class ShareLimiter {
 public:
  static constexpr std::size_t kMaxUpstreams = 4096;

  // Acquires a permit for one request. Returns false if this host has no share,
  // has used it up, or doesn't know its rank.
  bool TryAcquire(const std::string& upstream,
                  const SharedRate& rate,
                  const HostRank& rank,
                  TimePoint now);
  // Returns the time until this host's next permit; the time between two
  // permits if it has no share now.
  Millis TimeToNext(const std::string& upstream,
                    const SharedRate& rate,
                    const HostRank& rank,
                    TimePoint now) const;

 private:
  std::map<std::string, TimePoint> next_;  // time of the next permit
};

}  // namespace endivecart::limits

#endif  // ENDIVECART_LIMITS_SHARE_LIMITER_H_
