#include "endivecart/moves/drift_test.h"

#include <algorithm>
#include <cmath>

namespace endivecart::moves {

DriftTest::DriftTest(double usual, double raised, double threshold)
    : bad_step_(std::log(raised / usual)),
      good_step_(std::log((1 - raised) / (1 - usual))),
      threshold_(threshold) {}

void DriftTest::Add(bool bad) {
  if (alarm())
    return;
  score_ = std::max(0.0, score_ + (bad ? bad_step_ : good_step_));
}

}  // namespace endivecart::moves
