#include "endivecart/gateway/retry_allowance.h"

namespace endivecart::gateway {

namespace {

// A window's requests are counted in part in the window before: a little less
// than the whole ratio holds for every placement of the windows.
constexpr double kSafeShare = 0.9;

}  // namespace

RetryAllowance::RetryAllowance(double ratio, Millis window)
    : ratio_(ratio * kSafeShare), window_(window) {}

void RetryAllowance::Expire(Counts& counts, TimePoint now) const {
  for (auto* times : {&counts.requests, &counts.retries}) {
    while (!times->empty() && times->front() <= now - window_)
      times->pop_front();
  }
}

void RetryAllowance::CountRequest(const routes::ServiceId& service,
                                  TimePoint now) {
  Counts& counts = services_[service];
  Expire(counts, now);
  counts.requests.push_back(now);
}

bool RetryAllowance::Allows(const routes::ServiceId& service, TimePoint now) {
  Counts& counts = services_[service];
  Expire(counts, now);
  const double allowed = ratio_ * static_cast<double>(counts.requests.size());
  return static_cast<double>(counts.retries.size() + 1) <= allowed;
}

bool RetryAllowance::Take(const routes::ServiceId& service, TimePoint now) {
  if (!Allows(service, now))
    return false;
  services_[service].retries.push_back(now);
  return true;
}

}  // namespace endivecart::gateway
