#include "endivecart/estimates/cache_hits.h"

#include <cmath>

namespace endivecart::estimates {

namespace {

// Engines evict unused parts after seconds when they are busy.
constexpr Millis kSentLifetime{10000};
constexpr double kWeight = 0.05;
// Times that differ by less do not tell a hit from a miss.
constexpr double kMinDifferenceMs = 15;

}  // namespace

void CacheHits::RecordSent(const std::string& key,
                           const UpstreamId& upstream,
                           TimePoint now) {
  sent_[key][upstream] = now;
}

std::vector<UpstreamId> CacheHits::SentTo(const std::string& key,
                                          TimePoint now) const {
  std::vector<UpstreamId> upstreams;
  const auto it = sent_.find(key);
  if (it == sent_.end())
    return upstreams;
  for (const auto& [upstream, at] : it->second) {
    if (now - at < kSentLifetime)
      upstreams.push_back(upstream);
  }
  return upstreams;
}

double CacheHits::Rate(const routes::ServiceId& service, CacheOdds odds) const {
  const auto it = rates_.find(service);
  const Rates& rates = it == rates_.end() ? kInitialRates : it->second;
  return rates[static_cast<std::size_t>(odds)];
}

bool CacheHits::IsHit(double observed_ms, double hit_ms, double miss_ms) {
  return std::abs(observed_ms - hit_ms) < std::abs(observed_ms - miss_ms);
}

void CacheHits::Add(const routes::ServiceId& service,
                    CacheOdds odds,
                    double observed_ms,
                    double hit_ms,
                    double miss_ms) {
  if (miss_ms - hit_ms < kMinDifferenceMs)
    return;
  double& rate = rates_.try_emplace(service, kInitialRates)
                     .first->second[static_cast<std::size_t>(odds)];
  const double sample = IsHit(observed_ms, hit_ms, miss_ms) ? 1 : 0;
  rate += (sample - rate) * kWeight;
}

void CacheHits::Expire(TimePoint now) {
  for (auto it = sent_.begin(); it != sent_.end();) {
    std::erase_if(it->second, [&](const auto& entry) {
      return now - entry.second >= kSentLifetime;
    });
    it = it->second.empty() ? sent_.erase(it) : std::next(it);
  }
}

}  // namespace endivecart::estimates
