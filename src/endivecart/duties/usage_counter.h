#ifndef ENDIVECART_DUTIES_USAGE_COUNTER_H_
#define ENDIVECART_DUTIES_USAGE_COUNTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "endivecart/duties/usage_table.h"

namespace endivecart::duties {

// What a host has counted, for one control host.
struct UsageReport {
  std::vector<UsageEntry> entries;  // sums
  // In true time: all up to then is counted. 0 if the time isn't known.
  std::uint64_t complete_until_ms = 0;
  std::uint64_t change = 0;  // number of the newest change that is included

  bool operator==(const UsageReport&) const = default;
};

// Counts the requests that upstreams began to run for this host, by customer
// and window. Counts nothing once the leader says that nobody wants to know.
class UsageCounter {
 public:
  // An answer that took longer doesn't tell the time precisely.
  static constexpr Millis kMaxRoundTrip{500};

  explicit UsageCounter(Millis window) : window_(window) {}

  // Records what the leader's answer to a poll says of the time. nullopt:
  // nothing is to be counted; 0: the time is not known yet.
  void OnTime(std::optional<std::uint64_t> true_unix_ms,
              TimePoint asked_at,
              TimePoint now);
  // Counts a request that began at this time.
  void Count(const CustomerId& customer, TimePoint began_at);
  // Returns the sums that changed after change number `since`, or nullopt if
  // nothing is counted. Requests that began at or after `counted_until` may
  // still be counted later.
  std::optional<UsageReport> ReportSince(std::uint64_t since,
                                         TimePoint counted_until,
                                         TimePoint now);

 private:
  enum class State {
    kUnknown,  // the leader hasn't told yet
    kOff,
    kOn,
  };
  struct Sum {
    std::uint64_t count = 0;
    std::uint64_t change = 0;
  };

  std::uint64_t UnixMsAt(TimePoint time) const;
  void Add(const CustomerId& customer, TimePoint at, std::uint64_t count);
  void AddEarly();
  void ForgetOld(std::uint64_t unix_ms);

  const Millis window_;
  State state_ = State::kUnknown;
  // Of true time to this process's clock.
  std::optional<std::int64_t> offset_ms_;
  // The latest `complete_until_ms` told.
  std::uint64_t complete_until_ms_ = 0;
  std::uint64_t change_ = 0;
  std::map<std::pair<std::uint64_t, CustomerId>, Sum> sums_;
  // Counted before the time was known.
  std::map<std::pair<TimePoint, CustomerId>, std::uint64_t> early_;
};

}  // namespace endivecart::duties

#endif  // ENDIVECART_DUTIES_USAGE_COUNTER_H_
