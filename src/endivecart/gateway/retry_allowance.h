#ifndef ENDIVECART_GATEWAY_RETRY_ALLOWANCE_H_
#define ENDIVECART_GATEWAY_RETRY_ALLOWANCE_H_

#include <deque>
#include <map>

#include "endivecart/base/base.h"
#include "endivecart/routes/routes.h"

namespace endivecart::gateway {

// Keeps requests that are sent once more a small share of those that come, for
// each service: when upstreams fail in numbers, every caller's request would
// otherwise reach the rest twice or more. A host counts only its own requests,
// so that the shares of all hosts add up without messages.
class RetryAllowance {
 public:
  // `ratio`: of sends beyond the first to requests, over any `window`.
  RetryAllowance(double ratio, Millis window);

  void CountRequest(const routes::ServiceId& service, TimePoint now);
  // Whether one more send beyond the first wouldn't be too many.
  bool Allows(const routes::ServiceId& service, TimePoint now);
  // Takes it; false if it isn't allowed.
  bool Take(const routes::ServiceId& service, TimePoint now);

 private:
  struct Counts {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  void Expire(Counts& counts, TimePoint now) const;

  const double ratio_;
  const Millis window_;
  std::map<routes::ServiceId, Counts> services_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_RETRY_ALLOWANCE_H_
