#ifndef ENDIVECART_SCHEDULING_DECAYING_SUM_H_
#define ENDIVECART_SCHEDULING_DECAYING_SUM_H_

#include <cmath>

#include "endivecart/base/base.h"

namespace endivecart::scheduling {

// A sum whose terms decay exponentially with their age.
class DecayingSum {
 public:
  explicit DecayingSum(Millis time_constant) : time_constant_(time_constant) {}

  void Add(double value, TimePoint now) {
    sum_ = At(now) + value;
    at_ = now;
  }
  double At(TimePoint now) const {
    return sum_ * std::exp(-MillisBetween(at_, now) /
                           static_cast<double>(time_constant_.count()));
  }

 private:
  Millis time_constant_;
  double sum_ = 0;
  TimePoint at_{};
};

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_DECAYING_SUM_H_
