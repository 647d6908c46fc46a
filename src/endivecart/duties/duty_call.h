#ifndef ENDIVECART_DUTIES_DUTY_CALL_H_
#define ENDIVECART_DUTIES_DUTY_CALL_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <variant>

#include "endivecart/base/base.h"
#include "endivecart/duties/scale_planner.h"

namespace endivecart::duties {

// The number of requests of each customer that upstreams began to run in one
// window. Window k begins k window lengths after the start of 1970.
struct UsageWindow {
  std::uint64_t number = 0;
  std::map<CustomerId, std::uint64_t> counts;

  bool operator==(const UsageWindow&) const = default;
};

// A call to the platform.
struct DutyCall {
  std::uint64_t fencing_number = 0;
  std::variant<UsageWindow, ScaleTarget> content;

  bool operator==(const DutyCall&) const = default;
};

enum class DutyOutcome {
  kAccepted,
  kOutdated,  // the platform has seen a higher fencing number
  kBusy,      // too many calls, or a failure of the platform
  kRefused,   // the call itself was rejected
  kNoAnswer,  // it may have been executed, or may be later
  kNotSent,
};

std::string_view DutyOutcomeName(DutyOutcome outcome);

}  // namespace endivecart::duties

#endif  // ENDIVECART_DUTIES_DUTY_CALL_H_
