#include "endivecart/membership/slow_start.h"

#include <algorithm>

namespace endivecart::membership {

namespace {

constexpr int kFirstSlots = 1;
constexpr int kBadBeforeStepBack = 2;

}  // namespace

SlowStart::SlowStart(int capacity)
    : capacity_(std::max(capacity, 1)), bears_(kFirstSlots) {}

void SlowStart::Reset(int capacity) {
  *this = SlowStart(capacity);
}

void SlowStart::OnFinished(bool good) {
  if (complete())
    return;
  if (good) {
    // As many good ones as there are slots: each slot was tried once.
    if (++good_ < bears_)
      return;
    bears_ = std::min(capacity_, bears_ * 2);
  } else if (++bad_ >= kBadBeforeStepBack) {
    bears_ = std::max(kFirstSlots, bears_ / 2);
  } else {
    return;
  }
  good_ = 0;
  bad_ = 0;
}

}  // namespace endivecart::membership
