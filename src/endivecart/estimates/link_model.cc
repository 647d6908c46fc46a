#include "endivecart/estimates/link_model.h"

#include <algorithm>
#include <cmath>

namespace endivecart::estimates {

namespace {

// Time over which a link's use is averaged. Bursts last for seconds.
constexpr double kUseMs = 3000;
// Late first events say something about the link for this long.
constexpr double kObservedMs = 1500;
constexpr double kObservedWeight = 0.3;
// One late event is no evidence: a sample counts up to this above the mean.
constexpr double kMaxRiseMs = 200;
// Beyond this use the estimate from a few transfers of one host is too
// uncertain.
constexpr double kMaxUse = 0.8;
constexpr Millis kRetention{60000};

double Kept(TimePoint at, TimePoint now, double lifetime_ms) {
  return std::exp(-MillisBetween(at, now) / lifetime_ms);
}

}  // namespace

double LinkModel::OthersWaitMs(const LinkSharing& sharing,
                               TimePoint now) const {
  if (shared_.sum_ms <= 0)
    return 0;
  const double use =
      std::min(kMaxUse, shared_.sum_ms * Kept(shared_.at, now, kUseMs) *
                            std::max(sharing.hosts - 1, 0) /
                            std::max(sharing.links, 1) / kUseMs);
  // Mean wait in a line with random arrivals (Pollaczek and Khinchine).
  return use * shared_.squares_ms2 / shared_.sum_ms / 2 / (1 - use);
}

double LinkModel::WaitMs(const std::string& link,
                         const LinkSharing& sharing,
                         TimePoint now) const {
  const double others_ms = OthersWaitMs(sharing, now);
  const auto it = links_.find(link);
  if (it == links_.end())
    return others_ms;
  const Link& state = it->second;
  const double own_ms = std::max(0.0, MillisBetween(now, state.busy_until));
  const double observed_ms =
      state.observed_ms * Kept(state.observed_at, now, kObservedMs);
  return std::max(own_ms + others_ms, observed_ms);
}

void LinkModel::AddTransfer(const std::string& link,
                            double transfer_ms,
                            TimePoint now) {
  Link& state = links_[link];
  state.busy_until =
      std::max(state.busy_until, now) +
      std::chrono::duration_cast<TimePoint::duration>(
          std::chrono::duration<double, std::milli>(transfer_ms));
}

void LinkModel::AddSharedUse(double transfer_ms, TimePoint now) {
  const double kept = Kept(shared_.at, now, kUseMs);
  shared_.sum_ms = shared_.sum_ms * kept + transfer_ms;
  shared_.squares_ms2 = shared_.squares_ms2 * kept + transfer_ms * transfer_ms;
  shared_.at = now;
}

void LinkModel::AddObservedWait(const std::string& link,
                                double wait_ms,
                                TimePoint now) {
  Link& state = links_[link];
  const double mean =
      state.observed_ms * Kept(state.observed_at, now, kObservedMs);
  const double sample = std::clamp(wait_ms, 0.0, mean + kMaxRiseMs);
  state.observed_ms = mean + (sample - mean) * kObservedWeight;
  state.observed_at = now;
}

void LinkModel::Expire(TimePoint now) {
  std::erase_if(links_, [&](const auto& entry) {
    return now - std::max(entry.second.busy_until, entry.second.observed_at) >
           kRetention;
  });
}

}  // namespace endivecart::estimates
