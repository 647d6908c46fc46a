#ifndef ENDIVECART_ADMISSION_FAIR_QUEUE_H_
#define ENDIVECART_ADMISSION_FAIR_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>

#include "endivecart/base/base.h"

namespace endivecart::admission {

// A waiting request.
struct Waiting {
  std::uint64_t ticket = 0;
  CustomerId customer;
  int weight = 1;
  int priority = 0;  // 0 is the most urgent
  TimePoint deadline;
  double cost = 1;  // expected work, in any one unit

  bool operator==(const Waiting&) const = default;
};

// Orders waiting requests: between customers by weighted fair queueing over
// their costs; within a customer by priority, then earliest deadline first. A
// pure core.
class FairQueue {
 public:
  void Push(const Waiting& waiting);
  // Takes a request out without serving it; false if it is not there.
  bool Remove(std::uint64_t ticket);

  // Calls `try_serve` for waiting requests in order of service; those for
  // which it returns true are taken out and charged. Goes on until every
  // customer's foremost request was refused.
  void Serve(const std::function<bool(const Waiting&)>& try_serve);

  int Size() const { return static_cast<int>(tickets_.size()); }
  int SizeOf(const CustomerId& customer) const;
  // Cost of what waits before a new request of this customer and class.
  double CostBefore(const CustomerId& customer,
                    int priority,
                    TimePoint deadline) const;
  // Takes out all whose deadline has passed and returns them.
  std::vector<Waiting> TakeExpired(TimePoint now);

 private:
  using Order = std::tuple<int, TimePoint, std::uint64_t>;
  struct Lane {
    std::map<Order, Waiting> waiting;
    double virtual_time = 0;
  };

  static Order OrderOf(const Waiting& waiting);
  void Charge(Lane& lane, const Waiting& waiting);

  std::map<CustomerId, Lane> lanes_;
  std::map<std::uint64_t, std::pair<CustomerId, Order>> tickets_;
  double virtual_time_ = 0;  // of the last service
};

}  // namespace endivecart::admission

#endif  // ENDIVECART_ADMISSION_FAIR_QUEUE_H_
