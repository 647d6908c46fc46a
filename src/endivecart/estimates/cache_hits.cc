#include "endivecart/estimates/cache_hits.h"

#include <algorithm>
#include <cmath>

namespace endivecart::estimates {

namespace {

constexpr Millis kNow{1000};
constexpr Millis kLately{4000};
constexpr Millis kBefore{16000};
constexpr std::array<double, static_cast<std::size_t>(CacheEvidence::kCount)>
    kInitialRates{0.95, 0.9, 0.75, 0.5, 0.02};
constexpr double kWeight = 0.05;
// A rate that is not observed returns to its initial value: otherwise a few
// misses would end the use of this evidence, and so all observations, for good.
constexpr double kRateLifetimeMs = 30000;
// Times that differ by less do not tell a hit from a miss.
constexpr double kMinDifferenceMs = 15;

double RateAt(double rate, TimePoint at, double initial, TimePoint now) {
  const double kept = std::exp(-MillisBetween(at, now) / kRateLifetimeMs);
  return initial + (rate - initial) * kept;
}

}  // namespace

void CacheHits::RecordUse(std::uint64_t part,
                          const EngineRun& run,
                          TimePoint now) {
  used_[part][run] = now;
}

std::vector<EngineRun> CacheHits::UsersOf(std::uint64_t part,
                                          TimePoint now) const {
  std::vector<EngineRun> runs;
  const auto it = used_.find(part);
  if (it == used_.end())
    return runs;
  for (const auto& [run, at] : it->second) {
    if (now - at < kLately)
      runs.push_back(run);
  }
  return runs;
}

CacheEvidence CacheHits::EvidenceFor(std::uint64_t part,
                                     const EngineRun& run,
                                     bool is_home,
                                     TimePoint now) const {
  if (const auto it = used_.find(part); it != used_.end()) {
    if (const auto at = it->second.find(run); at != it->second.end()) {
      const auto age = now - at->second;
      if (age < kNow)
        return CacheEvidence::kUsedNow;
      if (age < kLately)
        return CacheEvidence::kUsedLately;
      if (age < kBefore)
        return CacheEvidence::kUsedBefore;
    }
  }
  return is_home ? CacheEvidence::kHome : CacheEvidence::kNone;
}

double CacheHits::Rate(const routes::ServiceId& service,
                       CacheEvidence evidence,
                       TimePoint now) const {
  const auto at = static_cast<std::size_t>(evidence);
  const auto it = rates_.find(service);
  if (it == rates_.end())
    return kInitialRates[at];
  const Rated& rated = it->second[at];
  if (rated.at == TimePoint{})
    return kInitialRates[at];
  return RateAt(rated.rate, rated.at, kInitialRates[at], now);
}

void CacheHits::Add(const routes::ServiceId& service,
                    CacheEvidence evidence,
                    double observed_ms,
                    double hit_ms,
                    double miss_ms,
                    TimePoint now) {
  if (miss_ms - hit_ms < kMinDifferenceMs)
    return;
  const double rate = Rate(service, evidence, now);
  const bool is_hit =
      std::abs(observed_ms - hit_ms) < std::abs(observed_ms - miss_ms);
  Rated& rated = rates_[service][static_cast<std::size_t>(evidence)];
  rated.rate = rate + ((is_hit ? 1 : 0) - rate) * kWeight;
  rated.at = now;
}

void CacheHits::Expire(TimePoint now) {
  for (auto it = used_.begin(); it != used_.end();) {
    std::erase_if(it->second, [&](const auto& entry) {
      return now - entry.second >= kBefore;
    });
    it = it->second.empty() ? used_.erase(it) : std::next(it);
  }
}

}  // namespace endivecart::estimates
