#ifndef ENDIVECART_ROUTING_BREAKER_H_
#define ENDIVECART_ROUTING_BREAKER_H_

#include "endivecart/base/base.h"

namespace endivecart::routing {

// Circuit breaker of one upstream: opens after consecutive failures, and admits
// a single probe once the open time has passed. Does no I/O; the caller passes
// the time.
class Breaker {
 public:
  // Returns whether the upstream must get no attempt now. In the half-open
  // state one probe at a time is admitted.
  bool IsOpen(TimePoint now) const;
  // Records the start of an attempt; in the half-open state it is the probe.
  void OnStart(TimePoint now);
  void OnSuccess();
  void OnFailure(TimePoint now);

 private:
  int failures_ = 0;  // consecutive
  int openings_ = 0;  // consecutive
  bool probing_ = false;
  TimePoint open_until_{};
  TimePoint probe_started_{};
};

}  // namespace endivecart::routing

#endif  // ENDIVECART_ROUTING_BREAKER_H_
