#include "endivecart/scheduling/backlog.h"

#include <algorithm>

namespace endivecart::scheduling {

namespace {

// Requests must have waited for this long, in all, before the rate is known. A
// shorter wait may be a gap between two that end.
constexpr double kMinBacklogMs = 400;
// A customer may exceed the equal share by this factor.
constexpr double kShareTolerance = 1.25;
// None may be served less than half as often as its peers: a class that is
// admitted less often than its rank by this factor is neglected.
constexpr double kMinRelativeService = 0.65;
// With fewer recent requests, a class is not judged.
constexpr double kMinEnded = 3;
// Prompts that need more than the mean by this factor are a class of their own.
constexpr double kLargeFactor = 2;
// Late requests of a rank that is not always admitted go before less urgent
// ones that are admitted at least this often in proportion: the parts lag
// behind.
constexpr double kMinLead = 0.95;
// Credit for the reserved share is kept for so many of the largest requests.
constexpr double kMaxCredit = 2;
// What is derived from the sums follows them with this delay: the sums change
// within seconds, and each update visits all classes.
constexpr Millis kRefreshInterval{50};
// Customers and classes with less recent work or fewer requests are forgotten.
constexpr double kForgottenWork = 1;
constexpr double kForgottenRequests = 0.01;

}  // namespace

std::optional<double> Backlog::Class::AdmittedPart(TimePoint now) const {
  const double number = ended.At(now);
  if (number < kMinEnded)
    return std::nullopt;
  return admitted.At(now) / number;
}

bool Backlog::Membership::IsNeglected() const {
  return std::any_of(classes.begin(), classes.end(),
                     [](const Class* c) { return c->is_neglected; });
}

void Backlog::Advance(bool is_scarce, TimePoint now) {
  if (advanced_to_ && is_scarce)
    backlogged_ms_.Add(MillisBetween(*advanced_to_, now), now);
  advanced_to_ = now;
}

Backlog::Membership Backlog::OnArrival(const WaitingRequest& request,
                                       TimePoint now) {
  const auto work = static_cast<double>(request.work_tokens);
  arrivals_.Add(1, now);
  arrived_work_.Add(work, now);
  if (now <= request.latest_start) {
    arrived_on_time_.try_emplace(request.rank, kArrivalTimeConstant)
        .first->second.Add(work, now);
  }
  Membership out;
  out.rank = &ranks_[request.rank];
  out.customer = &customers_[request.customer];
  out.customer->arrived.Add(work, now);
  ++out.customer->waiting;
  auto& classes = out.rank->classes;
  const bool is_large = work > kLargeFactor * MeanWork(now);
  out.classes = {&out.rank->all, &classes["route " + request.route],
                 &classes["customer " + request.customer.str()],
                 &classes[is_large ? "large" : "usual"]};
  for (Class* each : out.classes)
    ++each->waiting;
  return out;
}

void Backlog::OnEnd(const Membership& of, bool comes_back, TimePoint now) {
  --of.customer->waiting;
  for (Class* each : of.classes) {
    --each->waiting;
    if (!comes_back)
      each->ended.Add(1, now);
  }
}

void Backlog::OnAdmitted(const WaitingRequest& request,
                         const Membership& of,
                         bool uses_share,
                         double largest_work,
                         TimePoint now) {
  const auto work = static_cast<double>(request.work_tokens);
  admitted_work_.Add(work, now);
  of.customer->admitted.Add(work, now);
  for (Class* each : of.classes)
    each->admitted.Add(1, now);
  if (uses_share) {
    UseCredit(work);
    return;
  }
  const double limit = kMaxCredit * std::max(largest_work, work);
  credit_ = std::min(credit_ + kReservedShare / (1 - kReservedShare) * work,
                     std::max(limit, credit_));
}

double Backlog::MeanWork(TimePoint now) const {
  constexpr double kLeast = 1e-9;  // avoids a division by zero
  return arrived_work_.At(now) / std::max(arrivals_.At(now), kLeast);
}

std::optional<double> Backlog::Rate(TimePoint now) const {
  const double backlogged_ms = backlogged_ms_.At(now);
  if (backlogged_ms < kMinBacklogMs)
    return std::nullopt;
  // One more request of the usual size, as if it were about to be admitted: few
  // samples must not look like a standstill.
  return (admitted_work_.At(now) + MeanWork(now)) / backlogged_ms;
}

double Backlog::RateLeft(int rank, double rate, TimePoint now) const {
  double arriving = 0;
  for (const auto& [other, arrived] : arrived_on_time_) {
    if (other < rank) {
      arriving +=
          arrived.At(now) / static_cast<double>(kArrivalTimeConstant.count());
    }
  }
  return std::max(rate - arriving, kReservedShare * rate);
}

void Backlog::Refresh(TimePoint now) {
  if (refreshed_at_ && now - *refreshed_at_ < kRefreshInterval)
    return;
  refreshed_at_ = now;
  for (auto& [number, rank] : ranks_)
    RefreshRank(number, rank, now);
  RefreshCustomers(now);
}

void Backlog::RefreshRank(int number, Rank& rank, TimePoint now) {
  rank.late_before.reset();
  const auto part = rank.all.AdmittedPart(now);
  for (auto& [name, each] : rank.classes) {
    const auto own = each.AdmittedPart(now);
    each.is_neglected = own && part && *own < kMinRelativeService * *part;
  }
  if (!part || *part >= 1)
    return;
  for (auto it = ranks_.upper_bound(number); it != ranks_.end(); ++it) {
    const auto other = it->second.all.AdmittedPart(now);
    if (other && *other > kMinLead * *part) {
      rank.late_before = it->first;
      return;
    }
  }
}

void Backlog::RefreshCustomers(TimePoint now) {
  const double equal_share =
      admitted_work_.At(now) /
      static_cast<double>(std::max<std::size_t>(customers_.size(), 1));
  for (auto& [id, customer] : customers_) {
    customer.is_over_share =
        customer.admitted.At(now) > kShareTolerance * equal_share;
  }
}

void Backlog::Forget(TimePoint now) {
  const auto is_unused = [now](const Class& c) {
    return c.waiting == 0 && c.ended.At(now) < kForgottenRequests;
  };
  std::erase_if(customers_, [now](const auto& entry) {
    return entry.second.waiting == 0 &&
           entry.second.arrived.At(now) < kForgottenWork;
  });
  for (auto& [number, rank] : ranks_) {
    std::erase_if(rank.classes,
                  [&](const auto& entry) { return is_unused(entry.second); });
  }
  std::erase_if(ranks_, [&](const auto& entry) {
    return entry.second.classes.empty() && is_unused(entry.second.all);
  });
}

void Backlog::UseCredit(double work) {
  credit_ = std::max(credit_ - work, 0.0);
}

}  // namespace endivecart::scheduling
