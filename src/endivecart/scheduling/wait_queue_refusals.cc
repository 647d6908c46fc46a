// Which waiting requests are refused, and when their callers should return.

#include <algorithm>

#include "endivecart/scheduling/wait_queue.h"

namespace endivecart::scheduling {

namespace {

// A request is refused only if it would be too late even if capacity became
// free faster than it did, by this factor: a wrong refusal costs a whole
// answer, a request kept in vain only its place in the queue.
constexpr double kForecastMargin = 1.5;
constexpr Millis kUsualRetryAfter{300};
// Callers honour a `Retry-After` of up to this part of their time left, once.
constexpr int kHonouredDivisor = 3;
// A fresh request has used less than this of its time.
constexpr Millis kMaxUsedByFresh{100};
// The forecast visits all waiting requests, and its inputs change slowly.
constexpr Millis kRefusalInterval{100};

Millis ToMillis(double millis) {
  constexpr double kMaxMs = 1e9;  // within the range of Millis
  return Millis(static_cast<Millis::rep>(std::clamp(millis, 0.0, kMaxMs)));
}

}  // namespace

double WaitQueue::ExpectedWaitMs(const Entry& entry,
                                 double work_before,
                                 double work_older,
                                 double rate,
                                 TimePoint now) {
  const WaitingRequest& request = entry.request;
  const Backlog& backlog = entry.group->backlog;
  const double by_share_ms = work_older / (rate * Backlog::kReservedShare);
  const double in_time_ms =
      work_before / backlog.RateLeft(request.rank, rate, now);
  if (in_time_ms <= MillisBetween(now, request.latest_start))
    return std::min(in_time_ms, by_share_ms);
  // Once late, it goes behind those that arrive until then; not behind less
  // urgent ones if its rank would then be served less often.
  const double late_ms =
      work_before / backlog.RateLeft(request.rank + 1, rate, now);
  return std::min(late_ms, by_share_ms);
}

std::vector<WaitQueue::Refusal> WaitQueue::Refusals(TimePoint now) {
  std::vector<Refusal> refusals;
  if (waiting_.empty() ||
      (refusals_at_ && now - *refusals_at_ < kRefusalInterval)) {
    return refusals;
  }
  refusals_at_ = now;
  std::map<Group*, std::optional<double>> rates;
  for (auto& [name, group] : groups_) {
    group.backlog.Advance(group.is_scarce, now);
    if (group.is_scarce)
      rates[&group] = group.backlog.Rate(now);
  }
  // Without scarcity there is nothing to forecast.
  if (std::none_of(rates.begin(), rates.end(),
                   [](const auto& r) { return r.second.has_value(); })) {
    return refusals;
  }
  std::vector<std::pair<TimePoint, Ticket>> by_arrival;
  by_arrival.reserve(waiting_.size());
  for (const auto& [ticket, entry] : waiting_)
    by_arrival.emplace_back(entry.request.arrived_at, ticket);
  std::sort(by_arrival.begin(), by_arrival.end());
  std::map<Ticket, double> work_older;
  std::map<Group*, double> sums;
  for (const auto& [arrived, ticket] : by_arrival) {
    const Entry& entry = waiting_.at(ticket);
    double& sum = sums[entry.group];
    work_older[ticket] = sum;
    sum += static_cast<double>(entry.request.work_tokens);
  }
  sums.clear();
  for (const Ticket ticket : Sorted(now)) {
    Entry& entry = waiting_.at(ticket);
    const WaitingRequest& request = entry.request;
    const auto it = rates.find(entry.group);
    if (it == rates.end() || !it->second)
      continue;
    const double rate = *it->second;
    double& sum = sums[entry.group];
    const double wait_ms =
        ExpectedWaitMs(entry, sum, work_older.at(ticket), rate, now);
    if (entry.saw_spare ||
        wait_ms / kForecastMargin <= MillisBetween(now, request.give_up_at)) {
      sum += static_cast<double>(request.work_tokens);
      continue;
    }
    ClassFigures& figures = FiguresOf(request);
    ++figures.refused;
    figures.longest_wait_ms =
        std::max(figures.longest_wait_ms, MillisBetween(entry.since, now));
    const auto own = static_cast<double>(request.work_tokens);
    const Millis retry_after = entry.group->return_times.Next(
        ToMillis(sum / rate), ToMillis(own / rate), now);
    entry.comes_back =
        entry.since - request.arrived_at <= kMaxUsedByFresh &&
        retry_after <= (request.deadline - now) / kHonouredDivisor;
    refusals.push_back({ticket, retry_after, ToMillis(wait_ms)});
  }
  return refusals;
}

Millis WaitQueue::RetryAfter(const WaitingRequest& request, TimePoint now) {
  Group& group = GroupOf(request.group);
  const auto rate = group.backlog.Rate(now);
  if (!rate || !group.is_scarce)
    return group.return_times.Spread(kUsualRetryAfter);
  double ahead = 0;
  for (const auto& [ticket, entry] : waiting_) {
    if (entry.group == &group && entry.request.rank <= request.rank)
      ahead += static_cast<double>(entry.request.work_tokens);
  }
  return group.return_times.Next(
      ToMillis(ahead / *rate),
      ToMillis(static_cast<double>(request.work_tokens) / *rate), now);
}

}  // namespace endivecart::scheduling
