#ifndef ENDIVECART_MEMBERSHIP_MEMBERSHIP_H_
#define ENDIVECART_MEMBERSHIP_MEMBERSHIP_H_

// Public header of the membership library: which upstreams there are, what
// each bears, and how its slots are shared among hosts by lease.

#include "endivecart/membership/freshness_lease.h"  // IWYU pragma: export
#include "endivecart/membership/home.h"             // IWYU pragma: export
#include "endivecart/membership/share_book.h"       // IWYU pragma: export
#include "endivecart/membership/share_exchange.h"   // IWYU pragma: export
#include "endivecart/membership/share_holder.h"     // IWYU pragma: export
#include "endivecart/membership/slow_start.h"       // IWYU pragma: export
#include "endivecart/membership/upstream.h"         // IWYU pragma: export
#include "endivecart/membership/upstream_roster.h"  // IWYU pragma: export

#endif  // ENDIVECART_MEMBERSHIP_MEMBERSHIP_H_
