#include "endivecart/gateway/duration_estimator.h"

#include <algorithm>

namespace endivecart::gateway {

namespace {

// Each answer reduces a maximum by this part of it.
constexpr double kDecay = 1.0 / 256;
// Requests may take longer than before while another host stops or starts.
constexpr double kReserve = 1.25;
// Longer than any request; keeps what callers allow within the range of Millis.
constexpr double kMaxMs = 1e9;

void Raise(double& maximum, double value) {
  maximum = std::max(value, maximum * (1 - kDecay));
}

double ToMillis(Millis time) {
  return static_cast<double>(time.count());
}

}  // namespace

void DurationEstimator::Add(const std::string& route,
                            const AnswerTiming& timing) {
  Maxima& maxima = maxima_[route];
  Raise(maxima.duration_ms, ToMillis(timing.duration));
  if (timing.events < 2)
    return;
  Raise(maxima.first_event_ms, ToMillis(timing.first_event));
  Raise(maxima.ms_per_event, ToMillis(timing.duration - timing.first_event) /
                                 static_cast<double>(timing.events - 1));
}

std::optional<Millis> DurationEstimator::Longest(
    const std::string& route,
    std::int64_t max_events) const {
  const auto it = maxima_.find(route);
  if (it == maxima_.end())
    return std::nullopt;
  const Maxima& maxima = it->second;
  const double longest_stream_ms =
      maxima.first_event_ms +
      maxima.ms_per_event * static_cast<double>(max_events);
  const double longest_ms = std::max(maxima.duration_ms, longest_stream_ms);
  return Millis(
      static_cast<Millis::rep>(std::min(longest_ms * kReserve, kMaxMs)));
}

void DurationEstimator::KeepOnly(
    const std::function<bool(const std::string&)>& exists) {
  std::erase_if(maxima_,
                [&](const auto& entry) { return !exists(entry.first); });
}

}  // namespace endivecart::gateway
