#include "endivecart/gateway/speed_learner.h"

#include <algorithm>

namespace endivecart::gateway {

namespace {

// A shorter prompt's time is mostly not that of reading it.
constexpr std::int64_t kLeastTokens = 1000;
constexpr double kFasterWeight = 0.2;
constexpr double kSlowerWeight = 0.02;
// Outside of these no engine is believed.
constexpr double kLeastTokensPerMs = 0.5;
constexpr double kMostTokensPerMs = 2000;

}  // namespace

void SpeedLearner::Add(const routes::ServiceId& service,
                       std::int64_t unread_tokens,
                       double first_event_ms,
                       int requests_there) {
  if (requests_there > 0 || unread_tokens < kLeastTokens || first_event_ms <= 0)
    return;
  const double sample =
      std::clamp(static_cast<double>(unread_tokens) / first_event_ms,
                 kLeastTokensPerMs, kMostTokensPerMs);
  double& rate = estimates_[service].prompt_tokens_per_ms;
  rate += (sample - rate) * (sample > rate ? kFasterWeight : kSlowerWeight);
}

SpeedEstimate SpeedLearner::Of(const routes::ServiceId& service) const {
  const auto it = estimates_.find(service);
  return it == estimates_.end() ? SpeedEstimate() : it->second;
}

}  // namespace endivecart::gateway
