#include "endivecart/scheduling/return_times.h"

#include <algorithm>

namespace endivecart::scheduling {

namespace {

// Shorter ones return before other hosts know of the load.
constexpr Millis kMinRetryAfter{250};
// The part of a `Retry-After` that is drawn at random.
constexpr double kJitter = 0.25;
constexpr int kHonouredDivisor = 3;

}  // namespace

Millis ReturnTimes::Next(Millis backlog,
                         Millis own,
                         Millis time_left,
                         TimePoint now) {
  const Millis honoured =
      std::max(time_left / kHonouredDivisor, kMinRetryAfter);
  const TimePoint room_at = std::max(now + backlog, next_free_);
  const TimePoint at = std::min(room_at, now + honoured);
  if (room_at == at) {
    next_free_ = at + own;
    expected_.push_back({at, own});
  }
  const double draw =
      std::uniform_real_distribution<double>(0, kJitter)(random_);
  const auto scaled = [](Millis time, double factor) {
    return Millis(
        static_cast<Millis::rep>(static_cast<double>(time.count()) * factor));
  };
  const Millis wait = scaled(
      std::max(std::chrono::duration_cast<Millis>(at - now), kMinRetryAfter),
      1 + draw);
  // At the limit the draw goes the other way, or all would return together.
  return wait <= honoured ? wait : scaled(honoured, 1 - draw);
}

Millis ReturnTimes::Expected(TimePoint now) {
  std::erase_if(expected_, [now](const Return& r) { return r.at <= now; });
  Millis sum{0};
  for (const Return& expected : expected_)
    sum += expected.own;
  return sum;
}

}  // namespace endivecart::scheduling
