#include "endivecart/gateway/prefill_rate_estimator.h"

#include <algorithm>

namespace endivecart::gateway {

namespace {

// The time of shorter prompts is dominated by other work than prefill.
constexpr std::int64_t kMinTokens = 1000;
constexpr double kFasterWeight = 0.2;
constexpr double kSlowerWeight = 0.02;
// Samples are clamped to the plausible range.
constexpr double kMinTokensPerMs = 0.5;
constexpr double kMaxTokensPerMs = 2000;

}  // namespace

void PrefillRateEstimator::Add(const routes::ServiceId& service,
                               std::int64_t prefill_tokens,
                               double first_event_ms,
                               int requests_there) {
  if (requests_there > 0 || prefill_tokens < kMinTokens || first_event_ms <= 0)
    return;
  const double sample =
      std::clamp(static_cast<double>(prefill_tokens) / first_event_ms,
                 kMinTokensPerMs, kMaxTokensPerMs);
  double& rate = estimates_[service].prompt_tokens_per_ms;
  rate += (sample - rate) * (sample > rate ? kFasterWeight : kSlowerWeight);
}

SpeedEstimate PrefillRateEstimator::EstimateFor(
    const routes::ServiceId& service) const {
  const auto it = estimates_.find(service);
  return it == estimates_.end() ? SpeedEstimate() : it->second;
}

}  // namespace endivecart::gateway
