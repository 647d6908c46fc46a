#include "endivecart/admission/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace endivecart::admission {

namespace {

constexpr double kLongestWaitMillis = 3600000;

}  // namespace

double TokenBucket::TokensAt(TimePoint now) const {
  const double gained = MillisBetween(updated_, now) * per_second_ / 1000.0;
  return std::min(burst_, tokens_ + std::max(0.0, gained));
}

void TokenBucket::Configure(double per_second, double burst, TimePoint now) {
  tokens_ = configured_ ? std::min(burst, TokensAt(now)) : burst;
  per_second_ = per_second;
  burst_ = burst;
  updated_ = now;
  configured_ = true;
}

bool TokenBucket::TryTake(TimePoint now) {
  tokens_ = TokensAt(now);
  updated_ = now;
  if (tokens_ < 1.0)
    return false;
  tokens_ -= 1.0;
  return true;
}

Millis TokenBucket::WaitFor(TimePoint now) const {
  const double missing = 1.0 - TokensAt(now);
  if (missing <= 0)
    return Millis(0);
  if (per_second_ <= 0)
    return Millis(static_cast<int>(kLongestWaitMillis));
  return Millis(static_cast<std::int64_t>(
      std::min(kLongestWaitMillis, std::ceil(missing * 1000 / per_second_))));
}

}  // namespace endivecart::admission
