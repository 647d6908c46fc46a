#include "endivecart/duties/true_time.h"

#include <algorithm>
#include <vector>

namespace endivecart::duties {

namespace {

std::int64_t ToMillis(TimePoint time) {
  return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

}  // namespace

void TrueTimeEstimator::OnSample(const HostId& host,
                                 std::uint64_t unix_ms,
                                 TimePoint now) {
  const auto [it, is_new] = samples_.try_emplace(host);
  it->second = {static_cast<std::int64_t>(unix_ms) - ToMillis(now), now};
  if (samples_.size() >= 2 && !settles_at_)
    settles_at_ = now + kSettleTime;
  if (is_new || now - median_at_ >= kMedianInterval)
    UpdateMedian(now);
}

void TrueTimeEstimator::UpdateMedian(TimePoint now) {
  std::erase_if(samples_, [now](const auto& entry) {
    return now - entry.second.at > kSampleRetention;
  });
  std::vector<std::int64_t> offsets;
  offsets.reserve(samples_.size());
  for (const auto& [host, sample] : samples_)
    offsets.push_back(sample.offset_ms);
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  median_offset_ms_ = *middle;
  median_at_ = now;
}

std::optional<std::uint64_t> TrueTimeEstimator::UnixMs(TimePoint now) const {
  const std::int64_t unix_ms = ToMillis(now) + median_offset_ms_;
  if (!settles_at_ || now < *settles_at_ || unix_ms <= 0)
    return std::nullopt;
  return static_cast<std::uint64_t>(unix_ms);
}

}  // namespace endivecart::duties
