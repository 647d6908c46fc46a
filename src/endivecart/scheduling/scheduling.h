#ifndef ENDIVECART_SCHEDULING_SCHEDULING_H_
#define ENDIVECART_SCHEDULING_SCHEDULING_H_

// Public header of the scheduling library: order, admission and refusal of
// waiting requests. No I/O, no clock.

#include "endivecart/scheduling/service_times.h"    // IWYU pragma: export
#include "endivecart/scheduling/wait_queue.h"       // IWYU pragma: export
#include "endivecart/scheduling/waiting_request.h"  // IWYU pragma: export

#endif  // ENDIVECART_SCHEDULING_SCHEDULING_H_
