// Which waiting requests are refused, and when their callers should return.

#include <algorithm>
#include <limits>

#include "endivecart/scheduling/wait_queue.h"

namespace endivecart::scheduling {

namespace {

// A request is refused only if it would be too late even if capacity became
// free faster than it did, by this factor: a wrong refusal costs a whole
// answer, a request kept in vain only its place in the queue.
constexpr double kForecastMargin = 1.5;
constexpr Millis kUsualRetryAfter{300};

// A fresh request has used less than this of its time.
constexpr Millis kMaxUsedByFresh{100};

bool IsReturn(const WaitingRequest& request, TimePoint queued_at) {
  return queued_at - request.arrived_at > kMaxUsedByFresh;
}

Millis ToMillis(double millis) {
  constexpr double kMaxMs = 1e9;  // within the range of Millis
  return Millis(static_cast<Millis::rep>(std::clamp(millis, 0.0, kMaxMs)));
}

}  // namespace

double WaitQueue::ExpectedWaitMs(const WaitingRequest& request,
                                 const Ahead& ahead,
                                 double rate,
                                 TimePoint now) const {
  const Backlog& backlog = backlogs_.at(request.group);
  const double by_share_ms =
      ahead.by_arrival / (rate * Backlog::kReservedShare);
  const double in_time_ms =
      ahead.in_order / backlog.RateLeftFor(request.rank, rate, now);
  const double until_late_ms = MillisBetween(now, request.latest_start);
  if (in_time_ms <= until_late_ms)
    return std::min(in_time_ms, by_share_ms);
  // Once late, it goes behind those of its rank that arrive until then.
  const double late_ms = (ahead.in_order + ahead.returning) /
                         backlog.RateLeftFor(request.rank + 1, rate, now);
  return std::min(late_ms, by_share_ms);
}

std::vector<WaitQueue::Refusal> WaitQueue::Refusals(TimePoint now) {
  std::vector<Refusal> refusals;
  for (auto& [group, backlog] : backlogs_)
    backlog.Advance(HasBacklog(group), now);
  std::vector<Ticket> by_arrival;
  by_arrival.reserve(waiting_.size());
  for (const auto& [ticket, entry] : waiting_)
    by_arrival.push_back(ticket);
  std::stable_sort(by_arrival.begin(), by_arrival.end(),
                   [this](Ticket a, Ticket b) {
                     return waiting_.at(a).request.arrived_at <
                            waiting_.at(b).request.arrived_at;
                   });
  std::map<Ticket, double> earlier;
  std::map<std::string, double> sums;
  for (const Ticket ticket : by_arrival) {
    const WaitingRequest& request = waiting_.at(ticket).request;
    double& sum = sums[request.group];
    earlier[ticket] = sum;
    sum += static_cast<double>(request.work_tokens);
  }
  sums.clear();
  for (const Ticket ticket : Sorted(now)) {
    const WaitingRequest& request = waiting_.at(ticket).request;
    const auto rate = backlogs_.at(request.group).Rate(now);
    double& sum = sums[request.group];
    if (!rate)
      continue;
    // Callers come back once: being refused again is worse for them than being
    // refused once. Their forecast counts on half of the arrivals, and they
    // have precedence over fresh requests that would be late.
    const bool is_return = IsReturn(request, waiting_.at(ticket).since);
    const Millis returning =
        is_return ? Millis(0) : ReturnTimesOf(request.group).Expected(now);
    double wait_ms =
        ExpectedWaitMs(request,
                       {sum, static_cast<double>(returning.count()) * *rate,
                        earlier.at(ticket)},
                       *rate, now);
    if (is_return) {
      const double left = backlogs_.at(request.group)
                              .RateLeftFor(request.rank + 1, 2 * *rate, now) /
                          2;
      wait_ms = std::min(wait_ms, sum / left);
    }
    if (wait_ms / kForecastMargin <= MillisBetween(now, request.give_up_at)) {
      sum += static_cast<double>(request.work_tokens);
      continue;
    }
    ++FiguresOf(request).refused;
    refusals.push_back(
        {ticket, ReturnTime(request, sum, *rate, now), ToMillis(wait_ms)});
  }
  return refusals;
}

Millis WaitQueue::RetryAfter(const WaitingRequest& request, TimePoint now) {
  const auto backlog = backlogs_.find(request.group);
  const auto rate =
      backlog == backlogs_.end() ? std::nullopt : backlog->second.Rate(now);
  if (!rate) {
    return ReturnTimesOf(request.group)
        .Next(kUsualRetryAfter, Millis(0),
              std::chrono::duration_cast<Millis>(request.deadline - now), now);
  }
  double ahead = 0;
  for (const auto& [ticket, entry] : waiting_) {
    if (entry.request.group == request.group &&
        entry.request.rank <= request.rank) {
      ahead += static_cast<double>(entry.request.work_tokens);
    }
  }
  return ReturnTime(request, ahead, *rate, now);
}

ReturnTimes& WaitQueue::ReturnTimesOf(const std::string& group) {
  return return_times_.try_emplace(group, StableHash(group, seed_))
      .first->second;
}

Millis WaitQueue::ReturnTime(const WaitingRequest& request,
                             double work_ahead,
                             double rate,
                             TimePoint now) {
  return ReturnTimesOf(request.group)
      .Next(ToMillis(work_ahead / rate),
            ToMillis(static_cast<double>(request.work_tokens) / rate),
            std::chrono::duration_cast<Millis>(request.deadline - now), now);
}

}  // namespace endivecart::scheduling
