#include "endivecart/net/rejection_log.h"

#include <utility>

namespace endivecart::net {

std::optional<std::uint64_t> RejectionLog::Count(const std::string& kind,
                                                 TimePoint now) {
  Entry& entry = entries_[kind];
  ++entry.total;
  if (entry.logged_at && now - *entry.logged_at < kInterval)
    return std::nullopt;
  entry.logged_at = now;
  return entry.total - std::exchange(entry.logged, entry.total);
}

std::map<std::string, std::uint64_t> RejectionLog::Totals() const {
  std::map<std::string, std::uint64_t> totals;
  for (const auto& [kind, entry] : entries_)
    totals[kind] = entry.total;
  return totals;
}

}  // namespace endivecart::net
