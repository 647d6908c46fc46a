#include "endivecart/limits/share_limiter.h"

#include <algorithm>

namespace endivecart::limits {

namespace {

int HostsWithShare(const SharedRate& rate, const HostRank& rank) {
  return std::max(1, std::min(rank.hosts, rate.max_hosts));
}

std::chrono::microseconds Interval(const SharedRate& rate,
                                   const HostRank& rank) {
  return std::chrono::microseconds(static_cast<std::int64_t>(
      HostsWithShare(rate, rank) / rate.requests_per_s * 1e6));
}

bool HasShare(const std::string& upstream,
              const SharedRate& rate,
              const HostRank& rank) {
  if (rank.hosts <= 0 || rate.requests_per_s <= 0)
    return false;
  const auto first = static_cast<int>(StableHash(upstream) %
                                      static_cast<std::uint64_t>(rank.hosts));
  const int turn = (rank.rank - first + rank.hosts) % rank.hosts;
  return turn < HostsWithShare(rate, rank);
}

}  // namespace

bool ShareLimiter::TryAcquire(const std::string& upstream,
                              const SharedRate& rate,
                              const HostRank& rank,
                              TimePoint now) {
  if (!HasShare(upstream, rate, rank))
    return false;
  if (const auto it = next_.find(upstream);
      it != next_.end() && now < it->second) {
    return false;
  }
  next_[upstream] = now + Interval(rate, rank);
  if (next_.size() > kMaxUpstreams)
    std::erase_if(next_, [now](const auto& e) { return e.second <= now; });
  return true;
}

Millis ShareLimiter::TimeToNext(const std::string& upstream,
                                const SharedRate& rate,
                                const HostRank& rank,
                                TimePoint now) const {
  const auto it = next_.find(upstream);
  const auto wait = it != next_.end() && HasShare(upstream, rate, rank)
                        ? it->second - now
                        : Interval(rate, rank);
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(wait));
}

}  // namespace endivecart::limits
