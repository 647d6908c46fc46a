#include "endivecart/estimates/transfer_lines.h"

#include <algorithm>
#include <cmath>

namespace endivecart::estimates {

namespace {

// Time over which a link's use is averaged. A host plans a few transfers a
// second, so less would tell a busy link from an idle one only by chance.
constexpr double kUseMs = 5000;
// A link counts as used like the mean of its group, with the weight of this
// many transfers, until this host's own ones on it show otherwise.
constexpr double kPriorTransfers = 2;
// An overloaded link's queue has no mean; fetches are given up at their
// deadline, which bounds it.
constexpr double kMaxUse = 0.95;
// Late first events say something about the link for this long.
constexpr double kObservedMs = 1500;
constexpr double kObservedWeight = 0.4;
// One late event is no evidence: a sample counts up to this above the mean.
constexpr double kMaxRiseMs = 200;
constexpr Millis kRetention{30000};

double Kept(TimePoint at, TimePoint now, double lifetime_ms) {
  return std::exp(-std::max(MillisBetween(at, now), 0.0) / lifetime_ms);
}

}  // namespace

TransferLines::Use TransferLines::Use::At(TimePoint now) const {
  const double kept = Kept(at, now, kUseMs);
  return {count * kept, sum_ms * kept, squares_ms2 * kept, now};
}

void TransferLines::Use::Add(double transfer_ms, TimePoint now) {
  *this = At(now);
  count += 1;
  sum_ms += transfer_ms;
  squares_ms2 += transfer_ms * transfer_ms;
}

double TransferLines::OthersWaitMs(const Use& link,
                                   const LinkGroup& group,
                                   TimePoint now) const {
  const auto it = groups_.find(group.name);
  if (it == groups_.end() || group.hosts <= 1)
    return 0;
  const Use all = it->second.At(now);
  if (all.sum_ms <= 0)
    return 0;
  // Mean of a gamma distribution, the group's mean being the prior.
  const double mean = all.count / std::max(group.links, 1);
  const double transfers =
      mean * (kPriorTransfers + link.count) / (kPriorTransfers + mean);
  const double use = std::min(
      kMaxUse, (group.hosts - 1) * transfers * all.sum_ms / all.count / kUseMs);
  // Mean wait in a line with random arrivals (Pollaczek and Khinchine).
  return use / (1 - use) * all.squares_ms2 / all.sum_ms / 2;
}

double TransferLines::WaitMs(const std::string& link,
                             const LinkGroup& group,
                             TimePoint now) const {
  const auto it = links_.find(link);
  if (it == links_.end())
    return OthersWaitMs(Use(), group, now);
  const Link& state = it->second;
  const double own_ms = std::max(0.0, MillisBetween(now, state.busy_until));
  const double weight =
      state.observed_weight * Kept(state.observed_at, now, kObservedMs);
  const double modelled_ms =
      own_ms + OthersWaitMs(state.use.At(now), group, now);
  return std::max(own_ms,
                  (1 - weight) * modelled_ms + weight * state.observed_ms);
}

void TransferLines::Add(const std::string& link,
                        const LinkGroup& group,
                        double transfer_ms,
                        TimePoint now) {
  groups_[group.name].Add(transfer_ms, now);
  Link& state = links_[link];
  state.use.Add(transfer_ms, now);
  state.busy_until =
      std::max(state.busy_until, now) +
      std::chrono::duration_cast<TimePoint::duration>(
          std::chrono::duration<double, std::milli>(transfer_ms));
}

void TransferLines::AddObservedWait(const std::string& link,
                                    double wait_ms,
                                    TimePoint now) {
  Link& state = links_[link];
  const double kept =
      state.observed_weight * Kept(state.observed_at, now, kObservedMs);
  const double weight = kept + (1 - kept) * kObservedWeight;
  const double sample =
      std::clamp(wait_ms, 0.0, kept * state.observed_ms + kMaxRiseMs);
  state.observed_ms += (sample - state.observed_ms) * kObservedWeight / weight;
  state.observed_weight = weight;
  state.observed_at = now;
}

void TransferLines::Expire(TimePoint now) {
  std::erase_if(links_, [&](const auto& entry) {
    return now - std::max({entry.second.busy_until, entry.second.use.at,
                           entry.second.observed_at}) >
           kRetention;
  });
}

}  // namespace endivecart::estimates
