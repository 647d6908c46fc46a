#ifndef ENDIVECART_CONTROL_CONTROL_TIMING_H_
#define ENDIVECART_CONTROL_CONTROL_TIMING_H_

#include "endivecart/base/base.h"

namespace endivecart::control {

// Internal. How long a host may act on its configuration without contact.
inline constexpr Millis kFreshnessLease{3000};
// Added when waiting for the expiry of other hosts' leases, as clocks may
// differ in rate.
inline constexpr Millis kLeaseMargin{200};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_CONTROL_TIMING_H_
