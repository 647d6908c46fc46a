#ifndef ENDIVECART_BASE_BASE_H_
#define ENDIVECART_BASE_BASE_H_

// Public header of the base library: ids, results, invariants, timers, logging
// and metrics.

#include "endivecart/base/digest.h"                // IWYU pragma: export
#include "endivecart/base/host_rank.h"             // IWYU pragma: export
#include "endivecart/base/ids.h"                   // IWYU pragma: export
#include "endivecart/base/invariant.h"             // IWYU pragma: export
#include "endivecart/base/log.h"                   // IWYU pragma: export
#include "endivecart/base/log_rate_limiter.h"      // IWYU pragma: export
#include "endivecart/base/manual_timer_service.h"  // IWYU pragma: export
#include "endivecart/base/metrics.h"               // IWYU pragma: export
#include "endivecart/base/real_timer_service.h"    // IWYU pragma: export
#include "endivecart/base/rejected_input.h"        // IWYU pragma: export
#include "endivecart/base/result.h"                // IWYU pragma: export
#include "endivecart/base/text.h"                  // IWYU pragma: export
#include "endivecart/base/timer_service.h"         // IWYU pragma: export

#endif  // ENDIVECART_BASE_BASE_H_
