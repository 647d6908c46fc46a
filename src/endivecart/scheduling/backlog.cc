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
// admitted less often than requests in general by this factor is neglected.
constexpr double kMinRelativeService = 0.65;
// With fewer recent requests, a class is not judged.
constexpr double kMinArrivals = 3;
// Prompts that need more than the mean by this factor are a class of their own.
constexpr double kLargeFactor = 2;
// Customers and classes with less recent work are forgotten.
constexpr double kForgottenWork = 1;
constexpr double kForgottenRequests = 0.01;

}  // namespace

void Backlog::Advance(bool has_waiting, TimePoint now) {
  if (advanced_to_ && has_waiting)
    backlogged_ms_.Add(MillisBetween(*advanced_to_, now), now);
  advanced_to_ = now;
}

void Backlog::OnArrival(const WaitingRequest& request, TimePoint now) {
  const auto tokens = static_cast<double>(request.work_tokens);
  arrivals_.Add(1, now);
  all_work_.arrived.Add(tokens, now);
  // Late ones go before none that is already late.
  if (now <= request.latest_start) {
    arrived_by_rank_.try_emplace(request.rank, kArrivalTimeConstant)
        .first->second.Add(tokens, now);
  }
  std::erase_if(by_customer_, [now](const auto& entry) {
    return entry.second.arrived.At(now) < kForgottenWork;
  });
  std::erase_if(by_class_, [now](const auto& entry) {
    return entry.second.arrived.At(now) < kForgottenRequests;
  });
  by_customer_[request.customer].arrived.Add(tokens, now);
  all_.arrived.Add(1, now);
  for (const std::string& name : ClassesOf(request, now))
    by_class_[name].arrived.Add(1, now);
}

void Backlog::OnAdmitted(const WaitingRequest& request, TimePoint now) {
  const auto tokens = static_cast<double>(request.work_tokens);
  all_work_.admitted.Add(tokens, now);
  by_customer_[request.customer].admitted.Add(tokens, now);
  all_.admitted.Add(1, now);
  for (const std::string& name : ClassesOf(request, now))
    by_class_[name].admitted.Add(1, now);
}

double Backlog::MeanWork(TimePoint now) const {
  constexpr double kLeast = 1e-9;  // avoids a division by zero
  return all_work_.arrived.At(now) / std::max(arrivals_.At(now), kLeast);
}

std::vector<std::string> Backlog::ClassesOf(const WaitingRequest& request,
                                            TimePoint now) const {
  std::vector<std::string> classes{"route " + request.route,
                                   "rank " + std::to_string(request.rank),
                                   "customer " + request.customer.str()};
  if (static_cast<double>(request.work_tokens) > kLargeFactor * MeanWork(now))
    classes.emplace_back("large");
  return classes;
}

bool Backlog::IsNeglected(const WaitingRequest& request, TimePoint now) const {
  const double arrived = all_.arrived.At(now);
  const double admitted = all_.admitted.At(now);
  const auto classes = ClassesOf(request, now);
  return std::any_of(
      classes.begin(), classes.end(), [&](const std::string& name) {
        const auto it = by_class_.find(name);
        if (it == by_class_.end())
          return false;
        const double class_arrived = it->second.arrived.At(now);
        return class_arrived >= kMinArrivals &&
               it->second.admitted.At(now) * arrived <
                   kMinRelativeService * admitted * class_arrived;
      });
}

std::optional<double> Backlog::Rate(TimePoint now) const {
  const double backlogged_ms = backlogged_ms_.At(now);
  if (backlogged_ms < kMinBacklogMs)
    return std::nullopt;
  // One more request of the usual size, as if it were about to be admitted: few
  // samples must not look like a standstill.
  return (all_work_.admitted.At(now) + MeanWork(now)) / backlogged_ms;
}

double Backlog::RateLeftFor(int rank, double rate, TimePoint now) const {
  double arriving = 0;
  for (const auto& [other, arrived] : arrived_by_rank_) {
    if (other < rank)
      arriving +=
          arrived.At(now) / static_cast<double>(kArrivalTimeConstant.count());
  }
  return std::max(rate - arriving, kReservedShare * rate);
}

std::set<CustomerId> Backlog::CustomersOverShare(TimePoint now) const {
  std::set<CustomerId> over;
  const double equal_share =
      all_work_.admitted.At(now) / static_cast<double>(by_customer_.size());
  for (const auto& [customer, work] : by_customer_) {
    if (work.admitted.At(now) > kShareTolerance * equal_share)
      over.insert(customer);
  }
  return over;
}

void Backlog::AddCredit(double work, double limit) {
  credit_ = std::min(credit_ + kReservedShare / (1 - kReservedShare) * work,
                     std::max(limit, credit_));
}

void Backlog::UseCredit(double work) {
  credit_ = std::max(credit_ - work, 0.0);
}

}  // namespace endivecart::scheduling
