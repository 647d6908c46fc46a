#ifndef ENDIVECART_MOVES_CUSUM_DETECTOR_H_
#define ENDIVECART_MOVES_CUSUM_DETECTOR_H_

namespace endivecart::moves {

// Sequential change detection (CUSUM, Page 1954) for a rise of the rate of bad
// outcomes. Good outcomes accumulate no credit: a fault that begins late is
// detected as fast as one that is there from the start.
class CusumDetector {
 public:
  // `baseline_rate` and `degraded_rate` are rates of bad outcomes in (0, 1),
  // baseline_rate < degraded_rate. At the baseline rate, the mean number of
  // outcomes before a false alarm is at least exp(`threshold`).
  CusumDetector(double baseline_rate, double degraded_rate, double threshold);

  // Adds one outcome. Has no effect after an alarm.
  void Add(bool bad);
  bool alarm() const { return score_ >= threshold_; }
  double score() const { return score_; }

 private:
  double bad_step_;
  double good_step_;
  double threshold_;
  double score_ = 0;
};

}  // namespace endivecart::moves

#endif  // ENDIVECART_MOVES_CUSUM_DETECTOR_H_
