#include "endivecart/gateway/retry_limiter.h"

namespace endivecart::gateway {

namespace {

// The retries in a window may belong to requests of the window before. With
// slightly less than the full ratio the limit holds for every window position.
constexpr double kWindowSafetyFactor = 0.9;

}  // namespace

RetryLimiter::RetryLimiter(double ratio, Millis window)
    : ratio_(ratio * kWindowSafetyFactor), window_(window) {}

void RetryLimiter::Expire(Counts& counts, TimePoint now) const {
  for (auto* times : {&counts.requests, &counts.retries}) {
    while (!times->empty() && times->front() <= now - window_)
      times->pop_front();
  }
}

void RetryLimiter::CountRequest(const routes::ServiceId& service,
                                TimePoint now) {
  Counts& counts = services_[service];
  Expire(counts, now);
  counts.requests.push_back(now);
}

bool RetryLimiter::Allows(const routes::ServiceId& service, TimePoint now) {
  Counts& counts = services_[service];
  Expire(counts, now);
  const double allowed = ratio_ * static_cast<double>(counts.requests.size());
  return static_cast<double>(counts.retries.size() + 1) <= allowed;
}

bool RetryLimiter::TryAcquire(const routes::ServiceId& service, TimePoint now) {
  if (!Allows(service, now))
    return false;
  services_[service].retries.push_back(now);
  return true;
}

}  // namespace endivecart::gateway
