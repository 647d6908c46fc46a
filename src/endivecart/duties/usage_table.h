#ifndef ENDIVECART_DUTIES_USAGE_TABLE_H_
#define ENDIVECART_DUTIES_USAGE_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::duties {

// Hosts report the windows that end within this time.
inline constexpr Millis kUsageRetention{30000};

// The requests of a customer that upstreams began to run in a window.
struct UsageEntry {
  std::uint64_t window = 0;
  CustomerId customer;
  std::uint64_t count = 0;

  auto operator<=>(const UsageEntry&) const = default;
};

// The usage that hosts which serve callers have reported to this process.
// Reports are sums, so they may be lost, repeated and reordered. What a process
// of a host has reported counts even after that process has ended.
class UsageTable {
 public:
  // A host without a poll for this long is no longer waited for.
  static constexpr Millis kVanishedAfter{5000};
  // A poll with more entries is not from a host that follows the protocol.
  static constexpr std::size_t kMaxEntriesPerPoll = 8192;
  // Windows beyond this number are forgotten, oldest first.
  static constexpr std::size_t kMaxWindows = 24;

  explicit UsageTable(Millis window) : window_(window) {}

  // Records a poll of the process `incarnation` of a host.
  // `reported_until_unix_ms`: the time up to which its reports include all that
  // it counted; 0 if it doesn't know the time.
  void OnPoll(const HostId& host,
              std::uint64_t incarnation,
              const std::vector<UsageEntry>& entries,
              std::uint64_t reported_until_unix_ms,
              TimePoint now);
  // Returns whether all hosts that poll have reported beyond the window's end.
  bool IsComplete(std::uint64_t window, TimePoint now) const;
  // Returns the sums over all hosts, or nullopt if no host has reported on the
  // window.
  std::optional<std::map<CustomerId, std::uint64_t>> CountsOf(
      std::uint64_t window) const;
  // Removes, and ignores from now on, the windows before this one.
  void Forget(std::uint64_t before_window);
  // Returns the number of polls with too many entries.
  std::uint64_t dropped_polls() const { return dropped_polls_; }

 private:
  // One process of a host.
  struct Run {
    std::uint32_t number = 0;
    std::uint64_t newest_window = 0;
    // The time of which its reports tell all.
    std::uint64_t known_from_ms = 0;
    std::uint64_t known_until_ms = 0;
  };
  using RunKey = std::pair<HostId, std::uint64_t>;
  struct Host {
    std::uint64_t incarnation = 0;
    TimePoint polled_at;
  };
  struct Window {
    // By the numbers of the run and the customer.
    std::unordered_map<std::uint64_t, std::uint64_t> counts;
    std::map<CustomerId, std::uint64_t> sums;
  };

  void Add(Run& run, const UsageEntry& entry);
  std::uint64_t StartOf(std::uint64_t window) const {
    return window * static_cast<std::uint64_t>(window_.count());
  }

  const Millis window_;
  std::map<HostId, Host> hosts_;
  std::map<RunKey, Run> runs_;
  std::uint32_t next_run_ = 0;
  std::map<CustomerId, std::uint32_t> customer_numbers_;
  std::map<std::uint64_t, Window> windows_;
  std::uint64_t forgotten_before_ = 0;
  std::uint64_t dropped_polls_ = 0;
};

}  // namespace endivecart::duties

#endif  // ENDIVECART_DUTIES_USAGE_TABLE_H_
