#ifndef ENDIVECART_DUTIES_TRUE_TIME_H_
#define ENDIVECART_DUTIES_TRUE_TIME_H_

#include <cstdint>
#include <map>
#include <optional>

#include "endivecart/base/base.h"

namespace endivecart::duties {

// Estimates Unix time from the wall clocks of many hosts, any minority of which
// may be wrong: the median of their offsets to this process's own clock.
class TrueTimeEstimator {
 public:
  // There is no estimate until this long after a second host's first sample:
  // the first samples may be those of the hosts with wrong clocks.
  static constexpr Millis kSettleTime{1500};
  // A sample counts for this long after the last poll of its host.
  static constexpr Millis kSampleRetention{60000};
  // How often the median is computed.
  static constexpr Millis kMedianInterval{100};

  // Records the wall-clock time that a host, or this process itself, reports.
  void OnSample(const HostId& host, std::uint64_t unix_ms, TimePoint now);
  // Returns the time in ms since the start of 1970, or nullopt if there are too
  // few samples.
  std::optional<std::uint64_t> UnixMs(TimePoint now) const;

 private:
  struct Sample {
    std::int64_t offset_ms = 0;  // of the wall clock to this process's clock
    TimePoint at;
  };

  void UpdateMedian(TimePoint now);

  std::map<HostId, Sample> samples_;
  std::optional<TimePoint> settles_at_;
  std::int64_t median_offset_ms_ = 0;
  TimePoint median_at_{};
};

}  // namespace endivecart::duties

#endif  // ENDIVECART_DUTIES_TRUE_TIME_H_
