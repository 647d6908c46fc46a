#ifndef ENDIVECART_FLEET_MESSAGE_TIMES_H_
#define ENDIVECART_FLEET_MESSAGE_TIMES_H_

#include <algorithm>
#include <cstdint>

#include "endivecart/base/base.h"

namespace endivecart::fleet {

// Internal. Returns a time as its age in milliseconds, as messages state it:
// clocks of different hosts aren't synchronised.
inline std::uint32_t AgeMillis(TimePoint at, TimePoint now) {
  const auto age = std::chrono::duration_cast<Millis>(now - at).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age, 0, INT32_MAX));
}

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_MESSAGE_TIMES_H_
