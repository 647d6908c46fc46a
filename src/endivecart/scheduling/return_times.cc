#include "endivecart/scheduling/return_times.h"

#include <algorithm>

namespace endivecart::scheduling {

namespace {

// Shorter ones return before other hosts know of the load.
constexpr Millis kMinRetryAfter{250};
// Callers wait for less than this; keeps sums within the range of Millis.
constexpr Millis kMaxRetryAfter{60000};
// The part of a `Retry-After` that is added at random at most.
constexpr double kJitter = 0.25;

}  // namespace

Millis ReturnTimes::Next(Millis backlog, Millis own, TimePoint now) {
  const TimePoint room_at = std::max(now + backlog, next_free_);
  const Millis wait =
      std::clamp(std::chrono::duration_cast<Millis>(room_at - now),
                 kMinRetryAfter, kMaxRetryAfter);
  next_free_ = std::min(room_at + own, now + kMaxRetryAfter);
  return Spread(wait);
}

Millis ReturnTimes::Spread(Millis wait) {
  const double factor =
      1 + std::uniform_real_distribution<double>(0, kJitter)(random_);
  return Millis(
      static_cast<Millis::rep>(static_cast<double>(wait.count()) * factor));
}

}  // namespace endivecart::scheduling
