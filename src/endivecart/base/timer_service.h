#ifndef ENDIVECART_BASE_TIMER_SERVICE_H_
#define ENDIVECART_BASE_TIMER_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace endivecart {

using Millis = std::chrono::milliseconds;

// A point on this process's monotonic clock. Never compared across hosts.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::microseconds>;

// Milliseconds between two points, with fractions.
double MillisBetween(TimePoint from, TimePoint to);

// Cancels its callback when destroyed. A callback that is running while its
// subscription is destroyed by another thread finishes first.
class TimerSubscription {
 public:
  virtual ~TimerSubscription() = default;
};

// The clock, and callbacks from it. Parts subscribe to this service
// rather than keep threads or read clocks of their own.
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

  // Calls `callback` once after `delay` (0 ms: as soon as possible), unless the
  // returned subscription is destroyed before.
  [[nodiscard]] virtual std::unique_ptr<TimerSubscription> After(
      Millis delay,
      Callback callback) = 0;
};

}  // namespace endivecart

#endif  // ENDIVECART_BASE_TIMER_SERVICE_H_
