#ifndef ENDIVECART_GATEWAY_PREFILL_RATE_ESTIMATOR_H_
#define ENDIVECART_GATEWAY_PREFILL_RATE_ESTIMATOR_H_

#include <cstdint>
#include <map>

#include "endivecart/gateway/placement.h"
#include "endivecart/routes/routes.h"

namespace endivecart::gateway {

// Estimates the prefill rate of a service's engines from prompts that were sent
// to an idle engine. Faster samples get a larger weight: a sample may be too
// low, because evicted shared parts were prefilled again, but never too high.
class PrefillRateEstimator {
 public:
  // Adds a sample: `prefill_tokens` is the expected number of tokens to
  // prefill, `first_event_ms` the time from sending to the first event,
  // `requests_there` the number of requests at the engine when the prompt was
  // sent.
  void Add(const routes::ServiceId& service,
           std::int64_t prefill_tokens,
           double first_event_ms,
           int requests_there);
  SpeedEstimate EstimateFor(const routes::ServiceId& service) const;

 private:
  std::map<routes::ServiceId, SpeedEstimate> estimates_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_PREFILL_RATE_ESTIMATOR_H_
