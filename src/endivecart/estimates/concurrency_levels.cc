#include "endivecart/estimates/concurrency_levels.h"

#include <algorithm>
#include <cmath>

namespace endivecart::estimates {

namespace {

// Speeds change within seconds.
constexpr double kLifetimeMs = 5000;
// A level that gets less than this more work done is no gain.
constexpr double kMinGain = 1.1;
// A single long pause must not look like a level that does no work.
constexpr double kMaxRatio = 3;
constexpr double kMinMs = 0.1;

}  // namespace

double ConcurrencyLevels::SamplesNow(const Level& level, TimePoint now) {
  return level.samples == 0
             ? 0
             : level.samples *
                   std::exp(-std::max(MillisBetween(level.at, now), 0.0) /
                            kLifetimeMs);
}

void ConcurrencyLevels::Add(int requests, double ms, TimePoint now) {
  const double count = std::max(requests, 1);
  const auto index = std::min(
      static_cast<std::size_t>(std::lround(2 * std::log2(count))), kLevels - 1);
  Level& level = levels_[index];
  level.samples = SamplesNow(level, now) + 1;
  level.at = now;
  ms = std::max(ms, kMinMs);
  if (level.samples > 2)
    ms = std::min(ms, kMaxRatio * level.ms);
  level.requests += (count - level.requests) / level.samples;
  level.ms += (ms - level.ms) / level.samples;
}

std::optional<double> ConcurrencyLevels::Sustained(TimePoint now) const {
  double best_work = 0;  // done per ms
  double best_requests = 0;
  bool has_higher = false;
  for (const Level& level : levels_) {
    if (level.samples < min_samples_ || SamplesNow(level, now) < min_samples_)
      continue;
    const double work = level.requests / level.ms;
    has_higher = work < best_work * kMinGain;
    if (!has_higher) {
      best_work = work;
      best_requests = level.requests;
    }
  }
  return has_higher ? std::optional(best_requests) : std::nullopt;
}

bool ConcurrencyLevels::IsEmpty(TimePoint now) const {
  return std::all_of(levels_.begin(), levels_.end(), [&](const Level& level) {
    return SamplesNow(level, now) < 1;
  });
}

}  // namespace endivecart::estimates
