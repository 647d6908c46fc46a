#ifndef ENDIVECART_GATEWAY_SPEED_LEARNER_H_
#define ENDIVECART_GATEWAY_SPEED_LEARNER_H_

#include <cstdint>
#include <map>

#include "endivecart/gateway/placement.h"
#include "endivecart/routes/routes.h"

namespace endivecart::gateway {

// Learns how fast a service's engines read prompts, from prompts that found
// their engine idle. Shared parts that had to be read again make a prompt look
// slow, nothing makes it look fast: faster ones count for more.
class SpeedLearner {
 public:
  // `unread_tokens` were expected to be read; the first event came after this
  // long; `requests_there` were at the engine when the prompt was sent.
  void Add(const routes::ServiceId& service,
           std::int64_t unread_tokens,
           double first_event_ms,
           int requests_there);
  SpeedEstimate Of(const routes::ServiceId& service) const;

 private:
  std::map<routes::ServiceId, SpeedEstimate> estimates_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_SPEED_LEARNER_H_
