#include "endivecart/duties/window_closer.h"

#include <algorithm>

namespace endivecart::duties {

namespace {

// A window is closed this long before its report is due, whether or not all
// hosts have reported: enough for a commit, a change of the holder and retries.
constexpr Millis kReportTime{4000};

Millis LatestClosing(const UsageTiming& timing) {
  return std::max(timing.delay - kReportTime, timing.delay / 2);
}

}  // namespace

std::optional<ClosingDecision> NextWindowToClose(
    const UsageTiming& timing,
    const UsageLog& log,
    const UsageSource& source,
    const std::vector<CustomerId>& customers,
    std::uint64_t first_window,
    std::uint64_t unix_ms) {
  const auto max_age = static_cast<std::uint64_t>(kMaxReportAge.count());
  const std::uint64_t oldest =
      unix_ms > max_age ? timing.WindowAt(unix_ms - max_age) : 0;
  const std::uint64_t current = timing.WindowAt(unix_ms);
  for (std::uint64_t number = std::max(first_window, oldest); number < current;
       ++number) {
    if (!log.CanClose(number))
      continue;
    auto counts = source.counts(number);
    if (!counts)
      continue;
    const bool is_complete = source.is_complete(number);
    const std::uint64_t closes_at =
        timing.EndOf(number) +
        static_cast<std::uint64_t>(LatestClosing(timing).count());
    if (!is_complete && unix_ms < closes_at)
      continue;
    ClosingDecision decision;
    decision.window.number = number;
    decision.window.counts = std::move(*counts);
    for (const CustomerId& customer : customers)
      decision.window.counts.try_emplace(customer, 0);
    decision.reason = is_complete ? "complete" : "due";
    return decision;
  }
  return std::nullopt;
}

}  // namespace endivecart::duties
