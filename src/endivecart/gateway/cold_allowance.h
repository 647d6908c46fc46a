#ifndef ENDIVECART_GATEWAY_COLD_ALLOWANCE_H_
#define ENDIVECART_GATEWAY_COLD_ALLOWANCE_H_

#include <map>

#include "endivecart/base/base.h"
#include "endivecart/fleet/fleet.h"

namespace endivecart::gateway {

// Rations requests to upstreams that started a moment ago and fall over under
// full load. Load: a whole domain's upstreams come back at once, and all hosts
// have requests waiting. What an upstream bears is divided among hosts without
// a message: where there are more hosts than requests a second, some hosts,
// others for each upstream, send one each, and the rest nothing. A host that
// doesn't know how many others there are sends nothing.
class ColdAllowance {
 public:
  // `requests_per_s`: that the upstream bears from all hosts together. Takes
  // one request to it; false if this host has no share, or has used it.
  bool Take(const UpstreamId& upstream,
            double requests_per_s,
            const fleet::FleetFollower::CallerPlace& place,
            TimePoint now);
  void Forget(const UpstreamId& upstream) { next_.erase(upstream); }

 private:
  std::map<UpstreamId, TimePoint> next_;  // not before then
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_COLD_ALLOWANCE_H_
