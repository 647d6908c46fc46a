#ifndef ENDIVECART_ESTIMATES_ESTIMATES_H_
#define ENDIVECART_ESTIMATES_ESTIMATES_H_

// Public header of the estimates library: what a host learns about upstreams
// from their answers. Does no I/O and reads no clock.

#include "endivecart/estimates/cache_hits.h"          // IWYU pragma: export
#include "endivecart/estimates/concurrency_levels.h"  // IWYU pragma: export
#include "endivecart/estimates/report_trust.h"        // IWYU pragma: export
#include "endivecart/estimates/transfer_lines.h"      // IWYU pragma: export
#include "endivecart/estimates/typical_time.h"        // IWYU pragma: export
#include "endivecart/estimates/upstream_speeds.h"     // IWYU pragma: export

#endif  // ENDIVECART_ESTIMATES_ESTIMATES_H_
