#include "endivecart/membership/slow_start.h"

#include <algorithm>

namespace endivecart::membership {

namespace {

constexpr int kInitialLimit = 1;
constexpr int kFailuresBeforeStepDown = 2;

}  // namespace

SlowStart::SlowStart(int capacity)
    : capacity_(std::max(capacity, 1)), limit_(kInitialLimit) {}

void SlowStart::Reset(int capacity) {
  *this = SlowStart(capacity);
}

void SlowStart::OnFinished(bool good) {
  if (complete())
    return;
  if (good) {
    // The limit doubles after as many successes as it has slots, so that each
    // slot has been tried.
    if (++good_ < limit_)
      return;
    limit_ = std::min(capacity_, limit_ * 2);
  } else if (++bad_ >= kFailuresBeforeStepDown) {
    limit_ = std::max(kInitialLimit, limit_ / 2);
  } else {
    return;
  }
  good_ = 0;
  bad_ = 0;
}

}  // namespace endivecart::membership
