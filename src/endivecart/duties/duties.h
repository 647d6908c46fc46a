#ifndef ENDIVECART_DUTIES_DUTIES_H_
#define ENDIVECART_DUTIES_DUTIES_H_

// Public header of the duties library: what is reported to and requested from
// the platform. Does no I/O and reads no clock.

#include "endivecart/duties/scale_planner.h"   // IWYU pragma: export
#include "endivecart/duties/true_time.h"       // IWYU pragma: export
#include "endivecart/duties/usage_counter.h"   // IWYU pragma: export
#include "endivecart/duties/usage_messages.h"  // IWYU pragma: export
#include "endivecart/duties/usage_table.h"     // IWYU pragma: export

#endif  // ENDIVECART_DUTIES_DUTIES_H_
