#include "endivecart/gateway/cold_start_limiter.h"

namespace endivecart::gateway {

namespace {

// Hosts with a share, as a fraction of the requests per second. Below 1 because
// within any second a host sends its first request and up to one more.
constexpr double kHostsPerRequest = 0.75;

}  // namespace

bool ColdStartLimiter::TryAcquire(
    const UpstreamId& upstream,
    double requests_per_s,
    const fleet::FleetFollower::CallerPlace& place,
    TimePoint now) {
  const limits::SharedRate rate{
      requests_per_s, static_cast<int>(requests_per_s * kHostsPerRequest)};
  return shares_.TryAcquire(upstream.str(), rate, place, now);
}

}  // namespace endivecart::gateway
