#include "endivecart/moves/cusum_detector.h"

#include <algorithm>
#include <cmath>

namespace endivecart::moves {

CusumDetector::CusumDetector(double baseline_rate,
                             double degraded_rate,
                             double threshold)
    : bad_step_(std::log(degraded_rate / baseline_rate)),
      good_step_(std::log((1 - degraded_rate) / (1 - baseline_rate))),
      threshold_(threshold) {}

void CusumDetector::Add(bool bad) {
  if (alarm())
    return;
  score_ = std::max(0.0, score_ + (bad ? bad_step_ : good_step_));
}

}  // namespace endivecart::moves
