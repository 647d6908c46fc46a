#ifndef ENDIVECART_SCHEDULING_BACKLOG_H_
#define ENDIVECART_SCHEDULING_BACKLOG_H_

#include <array>
#include <map>
#include <optional>
#include <string>

#include "endivecart/base/base.h"
#include "endivecart/scheduling/decaying_sum.h"
#include "endivecart/scheduling/waiting_request.h"

namespace endivecart::scheduling {

// What is known of the demand and the capacity of one group of requests, from
// those that have waited. Work is measured in tokens.
class Backlog {
 public:
  // Share of the capacity that is reserved for requests that others go before.
  static constexpr double kReservedShare = 0.1;

  // Requests of one rank, or of one route, customer or size within it.
  struct Class {
    static constexpr Millis kMemory{15000};

    DecayingSum ended{kMemory};     // those that no longer wait
    DecayingSum admitted{kMemory};  // part of these
    int waiting = 0;
    bool is_neglected = false;  // admitted far less often than its rank

    // Returns the admitted part, or nullopt with too few recent requests.
    std::optional<double> AdmittedPart(TimePoint now) const;
  };
  struct Rank {
    Class all;
    std::map<std::string, Class> classes;
    // Late requests go before those that can be on time of this rank and of
    // less urgent ones; nullopt: after all that can be on time.
    std::optional<int> late_before;
  };
  struct Customer {
    DecayingSum admitted{kTimeConstant};  // work
    DecayingSum arrived{kTimeConstant};
    int waiting = 0;
    bool is_over_share = false;
  };
  // What one request belongs to. Valid until Forget() is called while none of
  // these requests waits.
  struct Membership {
    Rank* rank = nullptr;
    Customer* customer = nullptr;
    std::array<Class*, 4> classes{};  // the rank's `all` first

    bool IsNeglected() const;
  };

  // Counts the time until now as one in which requests waited for capacity, or
  // not.
  void Advance(bool is_scarce, TimePoint now);
  Membership OnArrival(const WaitingRequest& request, TimePoint now);
  // The request no longer waits. `comes_back`: its caller returns with it, so
  // that it counts as not admitted only if it isn't admitted then.
  static void OnEnd(const Membership& of, bool comes_back, TimePoint now);
  // `uses_share`: whether the request went first by the reserved share.
  // `largest_work`: of those that wait.
  void OnAdmitted(const WaitingRequest& request,
                  const Membership& of,
                  bool uses_share,
                  double largest_work,
                  TimePoint now);

  // Rate in tokens per ms at which capacity becomes free, or nullopt if
  // requests have not waited for long enough to tell.
  std::optional<double> Rate(TimePoint now) const;
  // The part of `rate` that is left by arrivals of ranks before `rank` that can
  // be on time; at least the reserved share.
  double RateLeft(int rank, double rate, TimePoint now) const;

  // Updates what is derived from the sums: `is_neglected`, `late_before`,
  // `is_over_share`.
  void Refresh(TimePoint now);
  // Forgets customers and classes without recent requests.
  void Forget(TimePoint now);

  // Reserved share: work that those that have waited longest may still get.
  double credit() const { return credit_; }
  void UseCredit(double work);

 private:
  // Time constant of the rates: a host admits a few prompts a second, so that a
  // shorter one would leave too few samples.
  static constexpr Millis kTimeConstant{4000};
  // The same for arrivals: once a burst is over, what waits must not be refused
  // as if it went on.
  static constexpr Millis kArrivalTimeConstant{600};

  double MeanWork(TimePoint now) const;
  void RefreshRank(int number, Rank& rank, TimePoint now);
  void RefreshCustomers(TimePoint now);

  std::optional<TimePoint> advanced_to_;
  DecayingSum backlogged_ms_{kTimeConstant};
  DecayingSum arrivals_{kTimeConstant};  // number of requests
  DecayingSum arrived_work_{kTimeConstant};
  DecayingSum admitted_work_{kTimeConstant};
  // Work of those that could be on time when they arrived, by rank.
  std::map<int, DecayingSum> arrived_on_time_;
  std::map<int, Rank> ranks_;
  std::map<CustomerId, Customer> customers_;
  double credit_ = 0;
  std::optional<TimePoint> refreshed_at_;
};

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_BACKLOG_H_
