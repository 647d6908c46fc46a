#include "endivecart/scheduling/service_times.h"

#include <algorithm>

namespace endivecart::scheduling {

namespace {

// Each answer moves the minimum towards itself by this part of the distance, so
// that it follows upstreams that become slower within ten answers or so.
constexpr double kRise = 1.0 / 8;
// Weight of a new answer in the mean.
constexpr double kMeanWeight = 1.0 / 8;
// Each request reduces the longest caller's timeout by this part of it.
constexpr double kTimeoutDecay = 1.0 / 1024;
// Callers' timeouts differ by their rounding and by the time on the network.
constexpr Millis kTimeoutTolerance{100};
// Recent callers whose timeouts are compared.
constexpr double kComparedTimeouts = 64;
// With fewer callers, or a smaller part that waits longest, timeouts say
// nothing of earlier attempts.
constexpr double kMinCallers = 8;
constexpr double kMinPartAtLongest = 0.5;
// Longer than any timeout; keeps what callers name within the range of Millis.
constexpr double kMaxTimeoutMs = 1e9;

double ToMillis(Millis time) {
  return static_cast<double>(time.count());
}

Millis FromMillis(double millis) {
  return Millis(static_cast<Millis::rep>(std::max(millis, 0.0)));
}

}  // namespace

void ServiceTimes::Add(const std::string& route,
                       Millis first_event,
                       Millis rest) {
  Times& times = times_[route];
  const double first_ms = ToMillis(first_event);
  const double rest_ms = ToMillis(rest);
  times.shortest_ms =
      times.shortest_ms < 0 || first_ms < times.shortest_ms
          ? first_ms
          : times.shortest_ms + kRise * (first_ms - times.shortest_ms);
  times.rest_ms = times.rest_ms < 0
                      ? rest_ms
                      : times.rest_ms + kMeanWeight * (rest_ms - times.rest_ms);
}

Millis ServiceTimes::ShortestFirstEvent(const std::string& route) const {
  const auto it = times_.find(route);
  return it == times_.end() ? Millis(0) : FromMillis(it->second.shortest_ms);
}

Millis ServiceTimes::MeanRest(const std::string& route) const {
  const auto it = times_.find(route);
  return it == times_.end() ? Millis(0) : FromMillis(it->second.rest_ms);
}

Millis ServiceTimes::TimeUsedBefore(const std::string& route,
                                    const CustomerId& customer,
                                    Millis caller_timeout) {
  Timeouts& timeouts = timeouts_[route][customer];
  const double timeout_ms =
      std::clamp(ToMillis(caller_timeout), 0.0, kMaxTimeoutMs);
  timeouts.longest_ms =
      std::max(timeout_ms, timeouts.longest_ms * (1 - kTimeoutDecay));
  const Millis used = FromMillis(timeouts.longest_ms - timeout_ms);
  const bool is_longest = used <= kTimeoutTolerance;
  timeouts.number = std::min(timeouts.number + 1, kComparedTimeouts);
  timeouts.part_at_longest +=
      ((is_longest ? 1 : 0) - timeouts.part_at_longest) / timeouts.number;
  const bool is_known = timeouts.number >= kMinCallers &&
                        timeouts.part_at_longest >= kMinPartAtLongest;
  return is_known && !is_longest ? used : Millis(0);
}

void ServiceTimes::KeepOnly(
    const std::function<bool(const std::string&)>& exists) {
  std::erase_if(times_, [&](const auto& e) { return !exists(e.first); });
  std::erase_if(timeouts_, [&](const auto& e) { return !exists(e.first); });
}

}  // namespace endivecart::scheduling
