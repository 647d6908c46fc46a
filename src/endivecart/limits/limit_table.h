#ifndef ENDIVECART_LIMITS_LIMIT_TABLE_H_
#define ENDIVECART_LIMITS_LIMIT_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::limits {

// What an upstream says of itself with an answer.
struct UpstreamLimits {
  // Requests per second that it takes from all hosts together; nullopt: any
  // number.
  std::optional<double> requests_per_s;
  // Requests that it can refuse in a second, for want of room, before it fails;
  // nullopt if it isn't brittle.
  std::optional<double> refusals_per_s;

  bool operator==(const UpstreamLimits&) const = default;
};

// What is known of the limits of one upstream's incarnation.
struct NamedLimit {
  std::string upstream_run;
  UpstreamLimits limits;
  // When the answer that says so arrived. If it names no limit, when its
  // request was sent: the answer may have been delayed.
  TimePoint at{};
  // When it last refused a request for want of room, while it was brittle.
  TimePoint refused_at{};

  bool operator==(const NamedLimit&) const = default;
};

// The limits that upstreams have named lately. The newest answer that any host
// got counts. Tables of several processes can be merged in any order, any
// number of times.
class LimitTable {
 public:
  // An unconfirmed limit is kept for this long, or for kIntervals of the pause
  // between two requests if that is longer.
  static constexpr Millis kMemory{10000};
  static constexpr int kIntervals = 3;
  // An upstream that takes fewer gets this many, to find out when it recovers.
  static constexpr double kMinRequestsPerS = 1.0 / 60;
  static constexpr std::size_t kMaxLimits = 2048;
  // Refusals that follow each other sooner are no news.
  static constexpr Millis kRefusalInterval{1000};

  // Adds what an answer says or another process knows. Returns whether a limit
  // changed, or there was a refusal after a time without.
  bool Merge(const NamedLimit& limit);
  // Removes what is too old. Returns whether any limit was removed.
  bool Expire(TimePoint now);
  // Returns the limit in force, at least kMinRequestsPerS; nullopt if there is
  // none.
  std::optional<double> Find(const std::string& upstream_run) const;
  // Returns the refusals per second that the upstream can bear; nullopt if it
  // isn't brittle.
  std::optional<double> FindRefusalLimit(const std::string& upstream_run) const;
  // Returns when it was last refused there; TimePoint{} if never.
  TimePoint RefusedAt(const std::string& upstream_run) const;
  // Returns whether there is, or recently was, a limit.
  bool Knows(const std::string& upstream_run) const {
    return limits_.contains(upstream_run);
  }
  // Returns all limits, and the ends of limits.
  std::vector<NamedLimit> All() const;

 private:
  std::map<std::string, NamedLimit> limits_;
};

}  // namespace endivecart::limits

#endif  // ENDIVECART_LIMITS_LIMIT_TABLE_H_
