#ifndef ENDIVECART_GATEWAY_COLD_START_LIMITER_H_
#define ENDIVECART_GATEWAY_COLD_START_LIMITER_H_

#include "endivecart/base/base.h"
#include "endivecart/fleet/fleet.h"

namespace endivecart::gateway {

// Limits the request rate to upstreams that have just started and fail under
// full load, e.g. when all upstreams of a domain restart at once while every
// host has requests queued. The hosts divide an upstream's rate among
// themselves without messages: if there are more hosts than requests per
// second, a subset of the hosts, which differs between upstreams, sends one
// request each and the others send none. A host that does not know the number
// of hosts sends none.
class ColdStartLimiter {
 public:
  // Acquires a permit for one request to `upstream`. `requests_per_s` is the
  // upstream's rate for all hosts together. Returns false if this host has no
  // share of that rate or has used it up.
  bool TryAcquire(const UpstreamId& upstream,
                  double requests_per_s,
                  const fleet::FleetFollower::CallerPlace& place,
                  TimePoint now);

 private:
  limits::ShareLimiter shares_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_COLD_START_LIMITER_H_
