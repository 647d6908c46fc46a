#include "endivecart/gateway/cold_start_limiter.h"

#include <algorithm>

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
  if (place.hosts <= 0 || requests_per_s <= 0)
    return false;
  const int most =
      std::max(1, static_cast<int>(requests_per_s * kHostsPerRequest));
  const int sharing = std::min(place.hosts, most);
  const auto first = static_cast<int>(StableHash(upstream.str()) %
                                      static_cast<std::uint64_t>(place.hosts));
  const int turn = (place.rank - first + place.hosts) % place.hosts;
  if (turn >= sharing)
    return false;
  TimePoint& next = next_[upstream];
  if (now < next)
    return false;
  const double interval_s = sharing / requests_per_s;
  next = now +
         std::chrono::microseconds(static_cast<std::int64_t>(interval_s * 1e6));
  return true;
}

}  // namespace endivecart::gateway
