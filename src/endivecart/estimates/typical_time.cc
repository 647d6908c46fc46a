#include "endivecart/estimates/typical_time.h"

#include <algorithm>
#include <cmath>

namespace endivecart::estimates {

namespace {

constexpr double kLifetimeMs = 20000;
constexpr double kMinSamples = 16;
// The initial slope weighs as much as so many samples whose loads have the
// typical variance.
constexpr double kPriorSamples = 5;
// A longer time than this multiple of the expected one is a pause, e.g. the
// prefill of other prompts, and counts as one of this length.
constexpr double kMaxRatio = 2;
// Extrapolation to rare loads may not go below this part of the mean.
constexpr double kMinPart = 0.25;

}  // namespace

TypicalTime::TypicalTime(double initial_slope, double typical_load)
    : initial_slope_(initial_slope), typical_load_(typical_load) {}

void TypicalTime::Add(double load, double ms, TimePoint now) {
  if (IsKnown())
    ms = std::min(ms, kMaxRatio * Expected(load));
  const double kept =
      samples_ *
      std::exp(-std::max(MillisBetween(at_, now), 0.0) / kLifetimeMs);
  samples_ = kept + 1;
  at_ = now;
  const double weight = 1 / samples_;
  const double load_change = load - load_mean_;
  load_mean_ += load_change * weight;
  load_variance_ =
      (load_variance_ + weight * load_change * load_change) * (1 - weight);
  covariance_ =
      (covariance_ + weight * load_change * (ms - ms_mean_)) * (1 - weight);
  ms_mean_ += (ms - ms_mean_) * weight;
}

bool TypicalTime::IsKnown() const {
  return samples_ >= kMinSamples;
}

double TypicalTime::Slope() const {
  const double prior = kPriorSamples * typical_load_ * typical_load_;
  return std::max(0.0, (covariance_ * samples_ + initial_slope_ * prior) /
                           (load_variance_ * samples_ + prior));
}

double TypicalTime::Expected(double load) const {
  return std::max(kMinPart * ms_mean_,
                  ms_mean_ + Slope() * (load - load_mean_));
}

}  // namespace endivecart::estimates
