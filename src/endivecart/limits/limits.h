#ifndef ENDIVECART_LIMITS_LIMITS_H_
#define ENDIVECART_LIMITS_LIMITS_H_

// Public header of the limits library: the limits that upstreams name for all
// hosts together, and each host's share. Does no I/O and reads no
// clock.

#include "endivecart/limits/limit_monitor.h"  // IWYU pragma: export
#include "endivecart/limits/limit_table.h"    // IWYU pragma: export
#include "endivecart/limits/named_waits.h"    // IWYU pragma: export
#include "endivecart/limits/room_limiter.h"   // IWYU pragma: export
#include "endivecart/limits/share_limiter.h"  // IWYU pragma: export

#endif  // ENDIVECART_LIMITS_LIMITS_H_
