#ifndef ENDIVECART_ESTIMATES_CONCURRENCY_LIMITS_H_
#define ENDIVECART_ESTIMATES_CONCURRENCY_LIMITS_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>

#include "endivecart/base/base.h"

namespace endivecart::estimates {

// Learns how many requests in progress each upstream sustains: the number from
// which on more of them take longer in the same proportion, so that no more
// work gets done. Unlike a fixed number of slots, this follows what the machine
// can do at the time.
class ConcurrencyLimits {
 public:
  // Records how long a unit of work took (an answer, or a step of a stream)
  // while `requests` were in progress at the upstream.
  void Add(const UpstreamId& upstream,
           int requests,
           double time_ms,
           TimePoint now);
  // Returns nullopt as long as more requests have always meant more work done.
  std::optional<double> LimitOf(const UpstreamId& upstream,
                                TimePoint now) const;
  void Expire(TimePoint now);

 private:
  // Recent times at about the same number of requests.
  struct Level {
    double samples = 0;
    double requests = 0;  // mean
    double time_ms = 0;   // mean
    TimePoint at{};
  };
  // By the number of requests, two for each doubling.
  static constexpr std::size_t kLevels = 22;
  using Levels = std::array<Level, kLevels>;

  static double SamplesNow(const Level& level, TimePoint now);

  std::map<UpstreamId, Levels> upstreams_;
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_CONCURRENCY_LIMITS_H_
