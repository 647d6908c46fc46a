#ifndef ENDIVECART_DUTIES_DUTIES_H_
#define ENDIVECART_DUTIES_DUTIES_H_

// Public header of the duties library: what one process at a time reports to
// and requests from the platform. Does no I/O and reads no clock.

#include "endivecart/duties/duty_call.h"       // IWYU pragma: export
#include "endivecart/duties/duty_scheduler.h"  // IWYU pragma: export
#include "endivecart/duties/scale_planner.h"   // IWYU pragma: export
#include "endivecart/duties/true_time.h"       // IWYU pragma: export
#include "endivecart/duties/usage_counter.h"   // IWYU pragma: export
#include "endivecart/duties/usage_log.h"       // IWYU pragma: export
#include "endivecart/duties/usage_messages.h"  // IWYU pragma: export
#include "endivecart/duties/usage_table.h"     // IWYU pragma: export
#include "endivecart/duties/window_closer.h"   // IWYU pragma: export

#endif  // ENDIVECART_DUTIES_DUTIES_H_
