#ifndef ENDIVECART_DUTIES_DUTIES_H_
#define ENDIVECART_DUTIES_DUTIES_H_

// Public header of the duties library: what one process at a time does for the
// platform, which takes usage reports and orders for the number of servers.

#include "endivecart/duties/duty_call.h"       // IWYU pragma: export
#include "endivecart/duties/duty_scheduler.h"  // IWYU pragma: export
#include "endivecart/duties/usage_log.h"       // IWYU pragma: export
#include "endivecart/duties/window_closer.h"   // IWYU pragma: export

#endif  // ENDIVECART_DUTIES_DUTIES_H_
