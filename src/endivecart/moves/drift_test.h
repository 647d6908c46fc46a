#ifndef ENDIVECART_MOVES_DRIFT_TEST_H_
#define ENDIVECART_MOVES_DRIFT_TEST_H_

namespace endivecart::moves {

// Sequential test (CUSUM, Page 1954) for a rise of the part of bad outcomes
// from `usual` to `raised`. Forgets good times, so that a fault that comes
// late is found as fast as one that comes at once.
class DriftTest {
 public:
  // `usual` and `raised` are parts in (0, 1), usual < raised. With outcomes
  // at the usual part, an alarm comes on average after no fewer than
  // exp(`threshold`) outcomes.
  DriftTest(double usual, double raised, double threshold);

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

#endif  // ENDIVECART_MOVES_DRIFT_TEST_H_
