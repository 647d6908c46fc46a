#ifndef ENDIVECART_CONTROL_CONTROL_TIMING_H_
#define ENDIVECART_CONTROL_CONTROL_TIMING_H_

#include "endivecart/base/base.h"

namespace endivecart::control {

// Internal. How long a host may act on what it knows after contact is lost.
inline constexpr Millis kFreshnessLease{3000};
// Clocks may differ in speed: what others hold is waited out a little longer.
inline constexpr Millis kLeaseMargin{200};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_CONTROL_TIMING_H_
