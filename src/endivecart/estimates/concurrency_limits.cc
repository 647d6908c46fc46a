#include "endivecart/estimates/concurrency_limits.h"

#include <algorithm>
#include <cmath>

namespace endivecart::estimates {

namespace {

// Speeds change within seconds.
constexpr double kLifetimeMs = 5000;
// Fewer recent samples are no evidence.
constexpr double kMinSamples = 8;
// A level that gets less than this more work done is no gain.
constexpr double kMinGain = 1.05;
constexpr double kMinTimeMs = 0.1;

}  // namespace

double ConcurrencyLimits::SamplesNow(const Level& level, TimePoint now) {
  return level.samples * std::exp(-MillisBetween(level.at, now) / kLifetimeMs);
}

void ConcurrencyLimits::Add(const UpstreamId& upstream,
                            int requests,
                            double time_ms,
                            TimePoint now) {
  const double count = std::max(requests, 1);
  const auto index = std::min(
      static_cast<std::size_t>(std::lround(2 * std::log2(count))), kLevels - 1);
  Level& level = upstreams_[upstream][index];
  level.samples = SamplesNow(level, now) + 1;
  level.at = now;
  level.requests += (count - level.requests) / level.samples;
  level.time_ms +=
      (std::max(time_ms, kMinTimeMs) - level.time_ms) / level.samples;
}

std::optional<double> ConcurrencyLimits::LimitOf(const UpstreamId& upstream,
                                                 TimePoint now) const {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end())
    return std::nullopt;
  double best_work = 0;  // done per ms
  double best_requests = 0;
  bool has_higher = false;
  for (const Level& level : it->second) {
    if (level.samples < kMinSamples || SamplesNow(level, now) < kMinSamples)
      continue;
    const double work = level.requests / level.time_ms;
    has_higher = work < best_work * kMinGain;
    if (!has_higher) {
      best_work = work;
      best_requests = level.requests;
    }
  }
  return has_higher ? std::optional(best_requests) : std::nullopt;
}

void ConcurrencyLimits::Expire(TimePoint now) {
  std::erase_if(upstreams_, [&](const auto& entry) {
    return std::all_of(
        entry.second.begin(), entry.second.end(),
        [&](const Level& level) { return SamplesNow(level, now) < 1; });
  });
}

}  // namespace endivecart::estimates
