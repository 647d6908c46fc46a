#ifndef ENDIVECART_SCHEDULING_BACKLOG_H_
#define ENDIVECART_SCHEDULING_BACKLOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/scheduling/decaying_sum.h"
#include "endivecart/scheduling/waiting_request.h"

namespace endivecart::scheduling {

// What is known of the capacity and the demand of one group of requests, from
// those that have waited. Work is measured in tokens.
class Backlog {
 public:
  // Share of the capacity that is reserved for requests that others go before.
  static constexpr double kReservedShare = 0.1;
  // Time constant of the rates: a host admits a few prompts a second, so that a
  // shorter one would leave too few samples.
  static constexpr Millis kTimeConstant{4000};
  // The same for arrivals: once a burst is over, what waits must not be refused
  // as if it went on.
  static constexpr Millis kArrivalTimeConstant{600};

  // Counts the time until now as one with or without waiting requests.
  void Advance(bool has_waiting, TimePoint now);
  void OnArrival(const WaitingRequest& request, TimePoint now);
  void OnAdmitted(const WaitingRequest& request, TimePoint now);

  // Rate in tokens per ms at which capacity becomes free, or nullopt if
  // requests have not waited for long enough to tell.
  std::optional<double> Rate(TimePoint now) const;
  // The part of `rate` that arrivals of ranks before `rank` leave, at least the
  // reserved share.
  double RateLeftFor(int rank, double rate, TimePoint now) const;
  // Customers that have got more than their share of the capacity lately.
  std::set<CustomerId> CustomersOverShare(TimePoint now) const;

  // Returns whether the request belongs to a class (route, rank, customer,
  // large prompts) that is admitted far less often than requests are in
  // general.
  bool IsNeglected(const WaitingRequest& request, TimePoint now) const;

  // Reserved share of those that have waited longest: work that they may still
  // get from it.
  double credit() const { return credit_; }
  void AddCredit(double work, double limit);
  void UseCredit(double work);

 private:
  struct Work {
    DecayingSum arrived{kTimeConstant};
    DecayingSum admitted{kTimeConstant};
  };
  // Numbers of requests. Rare classes need a longer time to be judged.
  struct Service {
    static constexpr Millis kMemory{15000};
    DecayingSum arrived{kMemory};
    DecayingSum admitted{kMemory};
  };

  double MeanWork(TimePoint now) const;
  // Returns the classes to which a request belongs.
  std::vector<std::string> ClassesOf(const WaitingRequest& request,
                                     TimePoint now) const;

  std::optional<TimePoint> advanced_to_;
  DecayingSum backlogged_ms_{kTimeConstant};
  DecayingSum arrivals_{kTimeConstant};  // number of requests
  Work all_work_;
  Service all_;
  std::map<int, DecayingSum> arrived_by_rank_;  // those that can be on time
  std::map<CustomerId, Work> by_customer_;
  std::map<std::string, Service> by_class_;
  double credit_ = 0;
};

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_BACKLOG_H_
