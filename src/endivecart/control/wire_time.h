#ifndef ENDIVECART_CONTROL_WIRE_TIME_H_
#define ENDIVECART_CONTROL_WIRE_TIME_H_

#include <chrono>
#include <cstdint>

#include "endivecart/base/base.h"

namespace endivecart::control {

// Internal. Time on the sender's clock in microseconds, which receivers only
// echo.
inline std::uint64_t TimeToWire(TimePoint time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

inline TimePoint TimeFromWire(std::uint64_t micros) {
  return TimePoint(
      std::chrono::microseconds(static_cast<std::int64_t>(micros)));
}

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_WIRE_TIME_H_
