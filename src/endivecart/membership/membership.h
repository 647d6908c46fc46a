#ifndef ENDIVECART_MEMBERSHIP_MEMBERSHIP_H_
#define ENDIVECART_MEMBERSHIP_MEMBERSHIP_H_

// Public header of the membership library: the known upstreams, their
// concurrency limits, and the leases by which hosts share their slots.

#include "endivecart/membership/freshness_lease.h"  // IWYU pragma: export
#include "endivecart/membership/home.h"             // IWYU pragma: export
#include "endivecart/membership/slot_borrower.h"    // IWYU pragma: export
#include "endivecart/membership/slot_exchange.h"    // IWYU pragma: export
#include "endivecart/membership/slot_lender.h"      // IWYU pragma: export
#include "endivecart/membership/slow_start.h"       // IWYU pragma: export
#include "endivecart/membership/upstream.h"         // IWYU pragma: export
#include "endivecart/membership/upstream_roster.h"  // IWYU pragma: export

#endif  // ENDIVECART_MEMBERSHIP_MEMBERSHIP_H_
