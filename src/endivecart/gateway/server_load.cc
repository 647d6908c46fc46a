#include "endivecart/gateway/server_load.h"

#include <algorithm>
#include <cmath>

namespace endivecart::gateway {

namespace {

// More than any server has; larger numbers are errors.
constexpr int kMaxRequests = 1000000;
// No machine is ten times as fast as usual, or works at all a hundred times
// slower.
constexpr int kMinWorkPercent = 10;
constexpr int kMaxWorkPercent = 10000;

}  // namespace

bool IsPlausible(const ServerLoad& load) {
  return load.slots > 0 && load.slots <= kMaxRequests && load.running >= 0 &&
         load.running <= load.slots && load.waiting >= 0 &&
         load.waiting <= kMaxRequests &&
         (!load.work_percent || (*load.work_percent >= kMinWorkPercent &&
                                 *load.work_percent <= kMaxWorkPercent));
}

int EstimateRequests(int known, const ReportedLoad& report) {
  if (report.age >= kServerLoadLifetime || report.age < Millis(0))
    return known;
  const int sent_since = std::max(0, report.own_now - report.own_at_report);
  const int reported = report.load.running + report.load.waiting + sent_since;
  const double weight =
      1 - static_cast<double>(report.age.count()) /
              static_cast<double>(kServerLoadLifetime.count());
  const double estimate = weight * reported + (1 - weight) * known;
  return std::max(report.own_now, static_cast<int>(std::lround(estimate)));
}

}  // namespace endivecart::gateway
