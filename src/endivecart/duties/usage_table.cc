#include "endivecart/duties/usage_table.h"

#include <algorithm>

namespace endivecart::duties {

void UsageTable::OnPoll(const HostId& host,
                        std::uint64_t incarnation,
                        const std::vector<UsageEntry>& entries,
                        std::uint64_t reported_until_unix_ms,
                        TimePoint now) {
  if (entries.size() > kMaxEntriesPerPoll) {
    ++dropped_polls_;
    return;
  }
  const auto [it, is_new_run] = runs_.try_emplace({host, incarnation});
  Run& run = it->second;
  if (is_new_run) {
    run.number = next_run_++;
    hosts_[host].incarnation = incarnation;
  }
  Host& known = hosts_[host];
  // A late poll of a process that has ended tells its counts only.
  if (known.incarnation == incarnation)
    known.polled_at = now;
  if (reported_until_unix_ms != 0 && run.known_until_ms == 0) {
    const auto retention = static_cast<std::uint64_t>(kUsageRetention.count());
    run.known_from_ms =
        reported_until_unix_ms - std::min(reported_until_unix_ms, retention);
  }
  run.known_until_ms = std::max(run.known_until_ms, reported_until_unix_ms);
  for (const UsageEntry& entry : entries)
    Add(run, entry);
}

void UsageTable::Add(Run& run, const UsageEntry& entry) {
  // A window that hasn't begun for its host is not plausible.
  if (entry.window < forgotten_before_ ||
      StartOf(entry.window) > run.known_until_ms) {
    return;
  }
  run.newest_window = std::max(run.newest_window, entry.window);
  const auto number =
      customer_numbers_
          .emplace(entry.customer,
                   static_cast<std::uint32_t>(customer_numbers_.size()))
          .first->second;
  Window& window = windows_[entry.window];
  std::uint64_t& count =
      window.counts[std::uint64_t{run.number} << 32 | number];
  if (entry.count > count) {
    window.sums[entry.customer] += entry.count - count;
    count = entry.count;
  }
  if (windows_.size() > kMaxWindows)
    Forget(std::next(windows_.begin())->first);
}

bool UsageTable::IsComplete(std::uint64_t window, TimePoint now) const {
  bool has_host = false;
  for (const auto& [id, host] : hosts_) {
    if (now - host.polled_at > kVanishedAfter)
      continue;
    has_host = true;
    if (runs_.at({id, host.incarnation}).known_until_ms < StartOf(window + 1))
      return false;
  }
  return has_host;
}

std::optional<std::map<CustomerId, std::uint64_t>> UsageTable::CountsOf(
    std::uint64_t window) const {
  const auto it = windows_.find(window);
  if (it != windows_.end())
    return it->second.sums;
  const bool is_known =
      window >= forgotten_before_ &&
      std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
        return entry.second.known_until_ms >= StartOf(window + 1) &&
               entry.second.known_from_ms <= StartOf(window);
      });
  if (!is_known)
    return std::nullopt;
  return std::map<CustomerId, std::uint64_t>();
}

void UsageTable::Forget(std::uint64_t before_window) {
  forgotten_before_ = std::max(forgotten_before_, before_window);
  windows_.erase(windows_.begin(), windows_.lower_bound(forgotten_before_));
  std::erase_if(runs_, [&](const auto& entry) {
    const auto& [host, incarnation] = entry.first;
    return entry.second.newest_window < forgotten_before_ &&
           entry.second.known_until_ms < StartOf(forgotten_before_) &&
           hosts_.at(host).incarnation != incarnation;
  });
}

}  // namespace endivecart::duties
