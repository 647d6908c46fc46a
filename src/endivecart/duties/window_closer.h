#ifndef ENDIVECART_DUTIES_WINDOW_CLOSER_H_
#define ENDIVECART_DUTIES_WINDOW_CLOSER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "endivecart/duties/usage_log.h"

namespace endivecart::duties {

struct UsageTiming {
  Millis window{5000};
  // From the end of a window to the latest time of its report.
  Millis delay{10000};

  std::uint64_t WindowAt(std::uint64_t unix_ms) const {
    return unix_ms / static_cast<std::uint64_t>(window.count());
  }
  std::uint64_t EndOf(std::uint64_t number) const {
    return (number + 1) * static_cast<std::uint64_t>(window.count());
  }
  bool operator==(const UsageTiming&) const = default;
};

// A report is dropped this long after its window's end.
inline constexpr Millis kMaxReportAge{60000};

// What is known of the windows that are not closed yet.
struct UsageSource {
  // Returns nullopt if nothing is known of the window.
  std::function<std::optional<std::map<CustomerId, std::uint64_t>>(
      std::uint64_t window)>
      counts;
  // Whether all hosts that serve callers have reported beyond its end.
  std::function<bool(std::uint64_t window)> is_complete;
};

struct ClosingDecision {
  UsageWindow window;
  std::string_view reason;

  bool operator==(const ClosingDecision&) const = default;
};

// Returns the oldest window from `first_window` on that should be closed now,
// with a count for each of `customers`, or nullopt if there is none.
std::optional<ClosingDecision> NextWindowToClose(
    const UsageTiming& timing,
    const UsageLog& log,
    const UsageSource& source,
    const std::vector<CustomerId>& customers,
    std::uint64_t first_window,
    std::uint64_t unix_ms);

}  // namespace endivecart::duties

#endif  // ENDIVECART_DUTIES_WINDOW_CLOSER_H_
