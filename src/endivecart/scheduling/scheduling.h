#ifndef ENDIVECART_SCHEDULING_SCHEDULING_H_
#define ENDIVECART_SCHEDULING_SCHEDULING_H_

// Public header of the scheduling library: the order of waiting requests, their
// admission and their refusal. No I/O and no clock.

#include "endivecart/scheduling/decaying_sum.h"     // IWYU pragma: export
#include "endivecart/scheduling/return_times.h"     // IWYU pragma: export
#include "endivecart/scheduling/service_times.h"    // IWYU pragma: export
#include "endivecart/scheduling/wait_queue.h"       // IWYU pragma: export
#include "endivecart/scheduling/waiting_request.h"  // IWYU pragma: export

#endif  // ENDIVECART_SCHEDULING_SCHEDULING_H_
