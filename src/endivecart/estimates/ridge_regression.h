#ifndef ENDIVECART_ESTIMATES_RIDGE_REGRESSION_H_
#define ENDIVECART_ESTIMATES_RIDGE_REGRESSION_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

#include "endivecart/base/base.h"

namespace endivecart::estimates {

// Linear regression with N coefficients over recent samples. The weight of a
// sample decays with its age; without samples the coefficients are the initial
// ones. Features should be of the order of 1.
template <std::size_t N>
class RidgeRegression {
 public:
  using Vector = std::array<double, N>;

  // `prior_samples`: how many samples outweigh the initial coefficients.
  RidgeRegression(const Vector& initial, double prior_samples, Millis lifetime)
      : initial_(initial),
        coefficients_(initial),
        prior_samples_(prior_samples),
        lifetime_ms_(static_cast<double>(lifetime.count())) {}

  void Add(const Vector& features, double value, double weight, TimePoint now) {
    Decay(now);
    // Residuals to the initial coefficients, to which the ridge then pulls.
    const double rest = value - Dot(initial_, features);
    for (std::size_t i = 0; i < N; ++i) {
      for (std::size_t j = 0; j < N; ++j)
        products_[i][j] += weight * features[i] * features[j];
      targets_[i] += weight * features[i] * rest;
    }
    Solve();
  }

  double Predict(const Vector& features) const {
    return Dot(coefficients_, features);
  }
  const Vector& coefficients() const { return coefficients_; }

 private:
  static double Dot(const Vector& a, const Vector& b) {
    double sum = 0;
    for (std::size_t i = 0; i < N; ++i)
      sum += a[i] * b[i];
    return sum;
  }

  void Decay(TimePoint now) {
    const double factor = std::exp(-MillisBetween(at_, now) / lifetime_ms_);
    at_ = now;
    for (std::size_t i = 0; i < N; ++i) {
      targets_[i] *= factor;
      for (double& product : products_[i])
        product *= factor;
    }
  }

  // Gauss-Seidel iterations on the normal equations, restricted to coefficients
  // that are not negative: no component of a time is. The ridge makes the
  // matrix positive definite, for which the iteration converges.
  void Solve() {
    constexpr int kRounds = 12;
    for (int round = 0; round < kRounds; ++round) {
      for (std::size_t i = 0; i < N; ++i) {
        double rest = targets_[i];
        for (std::size_t j = 0; j < N; ++j) {
          if (j != i)
            rest -= products_[i][j] * (coefficients_[j] - initial_[j]);
        }
        coefficients_[i] = std::max(
            0.0, initial_[i] + rest / (products_[i][i] + prior_samples_));
      }
    }
  }

  const Vector initial_;
  Vector coefficients_;
  const double prior_samples_;
  const double lifetime_ms_;
  std::array<Vector, N> products_{};
  Vector targets_{};
  TimePoint at_{};
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_RIDGE_REGRESSION_H_
