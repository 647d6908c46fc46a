#ifndef ENDIVECART_ESTIMATES_ESTIMATES_H_
#define ENDIVECART_ESTIMATES_ESTIMATES_H_

// Public header of the estimates library: what a host learns from responses
// about the speed of upstreams and of the links to cache stores. No I/O, no
// clock.

#include "endivecart/estimates/cache_hits.h"
#include "endivecart/estimates/concurrency_limits.h"
#include "endivecart/estimates/first_event_prediction.h"
#include "endivecart/estimates/link_model.h"
#include "endivecart/estimates/server_load.h"
#include "endivecart/estimates/speed_estimator.h"

#endif  // ENDIVECART_ESTIMATES_ESTIMATES_H_
