#ifndef ENDIVECART_ESTIMATES_TYPICAL_TIME_H_
#define ENDIVECART_ESTIMATES_TYPICAL_TIME_H_

#include "endivecart/base/base.h"

namespace endivecart::estimates {

// The typical time of a unit of work as a linear function of its load, e.g. of
// a batch step by the number of requests. Least squares over recent samples,
// drawn towards an initial slope as long as the samples say little about it.
class TypicalTime {
 public:
  // `typical_load`: the order of magnitude of loads.
  TypicalTime(double initial_slope, double typical_load);

  void Add(double load, double ms, TimePoint now);
  // Returns whether there are enough samples to expect anything.
  bool IsKnown() const;
  double Expected(double load) const;
  // Returns the time that one more unit of load adds, never negative.
  double Slope() const;

 private:
  double initial_slope_;
  double typical_load_;
  double samples_ = 0;  // decayed
  TimePoint at_{};
  // Moments of the recent samples.
  double load_mean_ = 0;
  double ms_mean_ = 0;
  double load_variance_ = 0;
  double covariance_ = 0;
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_TYPICAL_TIME_H_
