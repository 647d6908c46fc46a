#ifndef ENDIVECART_ROUTING_BREAKER_H_
#define ENDIVECART_ROUTING_BREAKER_H_

#include "endivecart/base/base.h"

namespace endivecart::routing {

// Circuit breaker of one upstream: opens after failures in a row, and lets a
// single probe through once its pause is over. A pure core.
class Breaker {
 public:
  bool IsOpen(TimePoint now) const;
  // Marks the start of an attempt; in the half-open state this is the probe.
  void OnStart(TimePoint now);
  void OnSuccess();
  void OnFailure(TimePoint now);

 private:
  int failures_ = 0;  // in a row
  int openings_ = 0;  // in a row
  bool probing_ = false;
  TimePoint closed_from_{};  // open until then
  TimePoint probe_started_{};
};

}  // namespace endivecart::routing

#endif  // ENDIVECART_ROUTING_BREAKER_H_
