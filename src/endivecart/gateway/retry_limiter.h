#ifndef ENDIVECART_GATEWAY_RETRY_LIMITER_H_
#define ENDIVECART_GATEWAY_RETRY_LIMITER_H_

#include <deque>
#include <map>

#include "endivecart/base/base.h"
#include "endivecart/routes/routes.h"

namespace endivecart::gateway {

// Limits retries to a fraction of the incoming requests of each service.
// Without a limit, when many upstreams fail, the remaining ones would get every
// request twice or more. Each host limits its retries by its own requests, so
// the limit holds for all hosts together without messages.
class RetryLimiter {
 public:
  // `ratio` is the maximum number of retries per request within any `window`.
  RetryLimiter(double ratio, Millis window);

  void CountRequest(const routes::ServiceId& service, TimePoint now);
  // Returns whether one more retry is within the limit.
  bool Allows(const routes::ServiceId& service, TimePoint now);
  // Takes one retry; returns false if it would exceed the limit.
  bool TryAcquire(const routes::ServiceId& service, TimePoint now);

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

#endif  // ENDIVECART_GATEWAY_RETRY_LIMITER_H_
