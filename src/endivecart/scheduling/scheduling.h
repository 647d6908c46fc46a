#ifndef ENDIVECART_SCHEDULING_SCHEDULING_H_
#define ENDIVECART_SCHEDULING_SCHEDULING_H_

// Public header of the scheduling library: where a request goes, whether the
// shared parts of its prompt are fetched or prefilled, and the order, admission
// and refusal of waiting requests. No I/O, no clock.

#include "endivecart/scheduling/capacity_estimator.h"  // IWYU pragma: export
#include "endivecart/scheduling/decaying_sum.h"        // IWYU pragma: export
#include "endivecart/scheduling/fetch_choice.h"        // IWYU pragma: export
#include "endivecart/scheduling/placement.h"           // IWYU pragma: export
#include "endivecart/scheduling/prompt.h"              // IWYU pragma: export
#include "endivecart/scheduling/return_times.h"        // IWYU pragma: export
#include "endivecart/scheduling/service_times.h"       // IWYU pragma: export
#include "endivecart/scheduling/wait_queue.h"          // IWYU pragma: export
#include "endivecart/scheduling/waiting_request.h"     // IWYU pragma: export

#endif  // ENDIVECART_SCHEDULING_SCHEDULING_H_
