#include "endivecart/limits/limit_table.h"

#include <algorithm>

namespace endivecart::limits {

namespace {

Millis MemoryOf(const NamedLimit& limit) {
  if (!limit.limits.requests_per_s)
    return LimitTable::kMemory;
  const double rate =
      std::max(*limit.limits.requests_per_s, LimitTable::kMinRequestsPerS);
  return std::max(
      LimitTable::kMemory,
      Millis(static_cast<Millis::rep>(1000 / rate) * LimitTable::kIntervals));
}

}  // namespace

bool LimitTable::Merge(const NamedLimit& limit) {
  const auto it = limits_.find(limit.upstream_run);
  if (it != limits_.end()) {
    NamedLimit& known = it->second;
    bool changed = limit.refused_at - known.refused_at > kRefusalInterval;
    known.refused_at = std::max(known.refused_at, limit.refused_at);
    if (limit.at > known.at) {
      changed |= known.limits != limit.limits;
      known.limits = limit.limits;
      known.at = limit.at;
    }
    return changed;
  }
  if (limits_.size() >= kMaxLimits) {
    limits_.erase(std::min_element(limits_.begin(), limits_.end(),
                                   [](const auto& a, const auto& b) {
                                     return a.second.at < b.second.at;
                                   }));
  }
  limits_.emplace(limit.upstream_run, limit);
  return limit.limits != UpstreamLimits();
}

bool LimitTable::Expire(TimePoint now) {
  return std::erase_if(limits_, [now](const auto& entry) {
           return now - entry.second.at > MemoryOf(entry.second);
         }) > 0;
}

std::optional<double> LimitTable::Find(const std::string& upstream_run) const {
  const auto it = limits_.find(upstream_run);
  if (it == limits_.end() || !it->second.limits.requests_per_s)
    return std::nullopt;
  return std::max(*it->second.limits.requests_per_s, kMinRequestsPerS);
}

std::optional<double> LimitTable::FindRefusalLimit(
    const std::string& upstream_run) const {
  const auto it = limits_.find(upstream_run);
  return it == limits_.end() ? std::nullopt : it->second.limits.refusals_per_s;
}

TimePoint LimitTable::RefusedAt(const std::string& upstream_run) const {
  const auto it = limits_.find(upstream_run);
  return it == limits_.end() ? TimePoint{} : it->second.refused_at;
}

std::vector<NamedLimit> LimitTable::All() const {
  std::vector<NamedLimit> all;
  for (const auto& [run, limit] : limits_)
    all.push_back(limit);
  return all;
}

}  // namespace endivecart::limits
