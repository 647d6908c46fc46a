#include "endivecart/limits/named_waits.h"

#include <algorithm>
#include <cmath>

namespace endivecart::limits {

namespace {

// Hosts return within this fraction of the wait after its end.
constexpr int kSpreadDivisor = 4;
constexpr Millis kMaxSpread{2000};

}  // namespace

bool NamedWaits::OnNamed(const std::string& upstream_run,
                         double seconds,
                         TimePoint now) {
  if (!(seconds > 0))  // also if it is not a number
    return false;
  const double named_ms = std::ceil(seconds * 1000);
  const double max_ms = static_cast<double>(kMaxWait.count());
  const Millis wait(static_cast<Millis::rep>(std::min(named_ms, max_ms)));
  const Millis spread = std::min(wait / kSpreadDivisor, kMaxSpread);
  const auto delay = StableHash(upstream_run, seed_) %
                     (static_cast<std::uint64_t>(spread.count()) + 1);
  TimePoint& end = ends_[upstream_run];
  end = std::max(end, now + wait + Millis(static_cast<Millis::rep>(delay)));
  return named_ms <= max_ms;
}

Millis NamedWaits::TimeLeft(const std::string& upstream_run,
                            TimePoint now) const {
  const auto it = ends_.find(upstream_run);
  if (it == ends_.end() || it->second <= now)
    return Millis(0);
  return std::chrono::ceil<Millis>(it->second - now);
}

void NamedWaits::Expire(TimePoint now) {
  std::erase_if(ends_, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace endivecart::limits
