#include "endivecart/estimates/speed_estimator.h"

#include <algorithm>
#include <cmath>

namespace endivecart::estimates {

namespace {

// Units of the features, so that they are of the order of 1.
constexpr double kTokenUnit = 1000;
constexpr double kStepUnitMs = 50;
constexpr double kTransferUnitMs = 100;
// Initial values: 10 ms of fixed costs, 5 ms to another domain, 20 tokens of
// prefill per ms, one step, and the transfer as planned.
constexpr double kInitialNetworkMs = 10;
constexpr double kInitialFarMs = 5;
constexpr double kInitialMsPerUnit = 50;
constexpr double kInitialGapMs = 20;
constexpr double kInitialGapMsPerRequest = 1;
constexpr double kRequestUnit = 10;
constexpr double kInitialErrorMs = 50;
// Samples that outweigh the initial values, in the weight of a sample of
// kTypicalMs.
constexpr double kPriorSamples = 2;
constexpr double kTypicalMs = 100;
constexpr Millis kServiceLifetime{30000};
// A machine that is shared with other workloads changes its speed for some
// hundred ms.
constexpr Millis kGapLifetime{700};
constexpr Millis kFirstEventLifetime{10000};
constexpr Millis kReportLifetime{500};
constexpr Millis kUpstreamRetention{60000};
// Weight of one sample. Slow responses have many causes, so that a single one
// changes little.
constexpr double kGapWeight = 0.25;
constexpr double kFirstEventWeight = 0.15;
constexpr double kErrorWeight = 0.05;
constexpr double kTrustWeight = 0.02;
// Factors outside of this are no speed but a fault.
constexpr double kMaxLogRatio = 1.4;
// A residual beyond this multiple of the mean error is an outlier.
constexpr double kOutlier = 2;
// Samples until a factor has half of its effect.
constexpr double kShrinkSamples = 2;
constexpr double kMinMs = 1;
// Less than this is noise; also a division by almost 0.
constexpr double kMinVariance = 1e-4;
// Rates are stated in bits; a link that counts bytes is 8 times as fast.
constexpr double kMinTransferScale = 0.1;
constexpr double kMaxTransferScale = 3;

double Clip(double log) {
  return std::clamp(log, -kMaxLogRatio, kMaxLogRatio);
}

double AgeFactor(TimePoint at, TimePoint now, Millis lifetime) {
  return std::exp(-MillisBetween(at, now) /
                  static_cast<double>(lifetime.count()));
}

}  // namespace

SpeedEstimator::ServiceSpeed::ServiceSpeed()
    : first_event({kInitialNetworkMs, kInitialFarMs, kInitialMsPerUnit,
                   kStepUnitMs, kInitialMsPerUnit, kTransferUnitMs},
                  kPriorSamples,
                  kServiceLifetime),
      gap({kInitialGapMs, kInitialGapMsPerRequest * kRequestUnit},
          kPriorSamples,
          kServiceLifetime),
      error_ms(kInitialErrorMs) {}

void SpeedEstimator::Ratio::Add(double sample_log,
                                double weight,
                                Millis lifetime,
                                TimePoint now) {
  const double kept = AgeFactor(at, now, lifetime);
  samples = samples * kept + 1;
  log = log * kept + (Clip(sample_log) - log * kept) * weight;
  at = now;
}

double SpeedEstimator::Ratio::Get(Millis lifetime, TimePoint now) const {
  const double kept = AgeFactor(at, now, lifetime);
  return log * kept * samples / (samples + kShrinkSamples);
}

const SpeedEstimator::ServiceSpeed& SpeedEstimator::SpeedOf(
    const routes::ServiceId& service) const {
  static const ServiceSpeed kInitial;
  const auto it = services_.find(service);
  return it == services_.end() ? kInitial : it->second;
}

void SpeedEstimator::ReportTrust::Add(double reported_log, double gap_log) {
  const double reported = reported_log - reported_mean;
  const double gap = gap_log - gap_mean;
  reported_mean += reported * kTrustWeight;
  gap_mean += gap * kTrustWeight;
  reported_variance += (reported * reported - reported_variance) * kTrustWeight;
  gap_variance += (gap * gap - gap_variance) * kTrustWeight;
  covariance += (reported * gap - covariance) * kTrustWeight;
}

// The slope of gaps over reports, reduced by how little of them it explains.
double SpeedEstimator::ReportTrust::Value() const {
  if (covariance <= 0 || reported_variance <= kMinVariance ||
      gap_variance <= kMinVariance)
    return 0;
  const double explained =
      covariance * covariance / (reported_variance * gap_variance);
  return std::min(1.0, covariance / reported_variance) * explained;
}

double SpeedEstimator::SlownessOf(const UpstreamId& upstream,
                                  TimePoint now) const {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end())
    return 1;
  const UpstreamSpeed& speed = it->second;
  const double gap = speed.gap.Get(kGapLifetime, now);
  const double reported = speed.reported_log - trust_.reported_mean;
  // Recent gaps and a recent report describe the same slowness.
  const double momentary =
      gap + trust_.Value() * (reported - gap) *
                AgeFactor(speed.reported_at, now, kReportLifetime);
  return std::exp(
      Clip(momentary + speed.first_event.Get(kFirstEventLifetime, now)));
}

double SpeedEstimator::TypicalGapMs(const ServiceSpeed& speed,
                                    int requests) const {
  return std::max(kMinMs,
                  speed.gap.Predict({1, std::max(requests, 1) / kRequestUnit}));
}

double SpeedEstimator::ExpectedGapMs(const routes::ServiceId& service,
                                     const UpstreamId& upstream,
                                     int requests,
                                     TimePoint now) const {
  return TypicalGapMs(SpeedOf(service), requests) * SlownessOf(upstream, now);
}

double SpeedEstimator::PrefillMsPerToken(
    const routes::ServiceId& service) const {
  return std::max(SpeedOf(service).first_event.coefficients()[4], kMinMs) /
         kTokenUnit;
}

double SpeedEstimator::TransferScale(const routes::ServiceId& service) const {
  return std::clamp(
      SpeedOf(service).first_event.coefficients()[5] / kTransferUnitMs,
      kMinTransferScale, kMaxTransferScale);
}

// In order: fixed costs, distance, queued tokens, steps, own tokens, transfer.
SpeedEstimator::FirstEventModel::Vector SpeedEstimator::Features(
    const routes::ServiceId& service,
    const UpstreamId& upstream,
    const PromptWork& work,
    TimePoint now) const {
  const double slowness = SlownessOf(upstream, now);
  const double step_ms =
      work.requests > 0 ? TypicalGapMs(SpeedOf(service), work.requests) : 0;
  return {1,
          work.is_near ? 0.0 : 1.0,
          static_cast<double>(work.queued_tokens) / kTokenUnit * slowness,
          step_ms / kStepUnitMs * slowness,
          static_cast<double>(work.prefill_tokens) / kTokenUnit * slowness,
          work.transfer_ms / kTransferUnitMs};
}

FirstEventPrediction SpeedEstimator::Predict(const routes::ServiceId& service,
                                             const UpstreamId& upstream,
                                             const PromptWork& work,
                                             TimePoint now) const {
  const ServiceSpeed& speed = SpeedOf(service);
  const auto features = Features(service, upstream, work, now);
  const auto& cost = speed.first_event.coefficients();
  FirstEventPrediction prediction;
  prediction.network_ms = cost[0] + features[1] * cost[1];
  prediction.queue_ms = features[2] * cost[2];
  prediction.steps_ms = features[3] * cost[3];
  prediction.prefill_ms = features[4] * cost[4];
  prediction.transfer_ms = features[5] * cost[5];
  prediction.error_ms = speed.error_ms;
  return prediction;
}

void SpeedEstimator::AddFirstEvent(const routes::ServiceId& service,
                                   const UpstreamId& upstream,
                                   const PromptWork& work,
                                   double observed_ms,
                                   TimePoint now) {
  const double predicted_ms =
      std::max(Predict(service, upstream, work, now).total_ms(), kMinMs);
  const auto features = Features(service, upstream, work, now);
  ServiceSpeed& speed = services_.try_emplace(service).first->second;
  const double residual = std::abs(observed_ms - predicted_ms);
  const double limit = kOutlier * speed.error_ms;
  const double outlier_weight = residual > limit ? limit / residual : 1;
  // Relative errors count, so that long prompts do not hide short ones.
  const double scale =
      kTypicalMs / (kTypicalMs / 2 + std::min(predicted_ms, observed_ms));
  speed.first_event.Add(features, observed_ms, outlier_weight * scale, now);
  speed.error_ms +=
      (std::min(residual, 2 * limit) - speed.error_ms) * kErrorWeight;
  // With fetches, lateness is attributed to the links.
  if (work.transfer_ms <= 0) {
    upstreams_[upstream].first_event.Add(
        std::log(std::max(observed_ms, kMinMs) / predicted_ms),
        kFirstEventWeight, kFirstEventLifetime, now);
  }
}

void SpeedEstimator::AddGap(const routes::ServiceId& service,
                            const UpstreamId& upstream,
                            int requests,
                            double gap_ms,
                            TimePoint now) {
  ServiceSpeed& speed = services_.try_emplace(service).first->second;
  const double typical_ms = TypicalGapMs(speed, requests);
  const double log = std::log(std::max(gap_ms, kMinMs) / typical_ms);
  UpstreamSpeed& at = upstreams_[upstream];
  if (at.reported_at != TimePoint{} && now - at.reported_at < kReportLifetime) {
    trust_.Add(at.reported_log, Clip(log));
  }
  at.gap.Add(log, kGapWeight, kGapLifetime, now);
  // Events that arrive together or after a pause are no measure of a step.
  speed.gap.Add({1, std::max(requests, 1) / kRequestUnit},
                std::min(gap_ms, typical_ms * std::exp(kMaxLogRatio)),
                std::min(1.0, typical_ms / std::max(gap_ms, kMinMs)), now);
}

void SpeedEstimator::AddReportedSlowness(const UpstreamId& upstream,
                                         double slowness,
                                         TimePoint now) {
  UpstreamSpeed& speed = upstreams_[upstream];
  speed.reported_log = Clip(std::log(std::max(slowness, 0.01)));
  speed.reported_at = now;
}

void SpeedEstimator::Expire(TimePoint now) {
  std::erase_if(upstreams_, [&](const auto& entry) {
    const UpstreamSpeed& speed = entry.second;
    return now - std::max(
                     {speed.gap.at, speed.first_event.at, speed.reported_at}) >
           kUpstreamRetention;
  });
}

}  // namespace endivecart::estimates
