#include "endivecart/gateway/cold_allowance.h"

namespace endivecart::gateway {

bool ColdAllowance::Take(const UpstreamId& upstream,
                         double requests_per_s,
                         int hosts,
                         TimePoint now) {
  if (hosts <= 0 || requests_per_s <= 0)
    return false;
  TimePoint& next = next_[upstream];
  if (now < next)
    return false;
  const double interval_s = static_cast<double>(hosts) / requests_per_s;
  next = now + std::chrono::microseconds(
                   static_cast<std::int64_t>(interval_s * 1e6));
  return true;
}

}  // namespace endivecart::gateway
