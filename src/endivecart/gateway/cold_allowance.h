#ifndef ENDIVECART_GATEWAY_COLD_ALLOWANCE_H_
#define ENDIVECART_GATEWAY_COLD_ALLOWANCE_H_

#include <map>

#include "endivecart/base/base.h"

namespace endivecart::gateway {

// Rations requests to upstreams that started a moment ago and fall over under
// full load. Each host has an equal share of what such an upstream bears; a
// host that doesn't know how many others there are has none.
class ColdAllowance {
 public:
  // `requests_per_s`: that the upstream bears from all `hosts` together.
  // Takes one request to it; false if this host's share is used up.
  bool Take(const UpstreamId& upstream,
            double requests_per_s,
            int hosts,
            TimePoint now);
  void Forget(const UpstreamId& upstream) { next_.erase(upstream); }

 private:
  std::map<UpstreamId, TimePoint> next_;  // not before then
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_COLD_ALLOWANCE_H_
