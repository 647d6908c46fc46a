#include "endivecart/estimates/report_trust.h"

#include <algorithm>

namespace endivecart::estimates {

namespace {

// The memory, in samples, and how many must have been compared.
constexpr double kMemory = 100;
constexpr double kMinSamples = 20;
// Less than this is noise; also a division by almost 0.
constexpr double kMinVariance = 1e-3;

}  // namespace

void ReportTrust::Add(double reported_log, double seen_log) {
  samples_ = std::min(samples_ + 1, kMemory);
  const double weight = 1 / samples_;
  const double reported = reported_log - reported_mean_;
  const double seen = seen_log - seen_mean_;
  reported_mean_ += reported * weight;
  seen_mean_ += seen * weight;
  const auto update = [weight](double& moment, double product) {
    moment = (moment + weight * product) * (1 - weight);
  };
  update(reported_variance_, reported * reported);
  update(seen_variance_, seen * seen);
  update(covariance_, reported * seen);
}

// The slope of times over reports, reduced by how little of them it explains.
double ReportTrust::Value() const {
  if (samples_ < kMinSamples || covariance_ <= 0 ||
      reported_variance_ <= kMinVariance || seen_variance_ <= kMinVariance)
    return 0;
  const double explained =
      covariance_ * covariance_ / (reported_variance_ * seen_variance_);
  return std::min(1.0, covariance_ / reported_variance_) * explained;
}

}  // namespace endivecart::estimates
