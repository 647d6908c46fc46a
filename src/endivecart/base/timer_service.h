#ifndef ENDIVECART_BASE_TIMER_SERVICE_H_
#define ENDIVECART_BASE_TIMER_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace endivecart {

using Millis = std::chrono::milliseconds;

// A time on this process's monotonic clock; not comparable across hosts.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::microseconds>;

// Returns the milliseconds from `from` to `to`, with fractions.
double MillisBetween(TimePoint from, TimePoint to);

// Cancels its callback when destroyed. If the callback is running in another
// thread, destruction waits until it returns.
class TimerSubscription {
 public:
  virtual ~TimerSubscription() = default;
};

// Clock and timers. Components use this service instead of reading clocks or
// running timer threads themselves, so that tests can control time.
class TimerService {
 public:
  using Callback = std::function<void(TimePoint now)>;

  virtual ~TimerService() = default;
  virtual TimePoint Now() const = 0;

  // Calls `callback` every `interval` (at least 1 ms) until the returned
  // subscription is destroyed.
  [[nodiscard]] virtual std::unique_ptr<TimerSubscription> Every(
      Millis interval,
      Callback callback) = 0;

  // Calls `callback` once after `delay` (as soon as possible if 0 ms), unless
  // the returned subscription is destroyed before.
  [[nodiscard]] virtual std::unique_ptr<TimerSubscription> After(
      Millis delay,
      Callback callback) = 0;
};

}  // namespace endivecart

#endif  // ENDIVECART_BASE_TIMER_SERVICE_H_
