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
struct QueuedRequest {
  std::uint64_t ticket = 0;
  CustomerId customer;
  int weight = 1;
  int priority = 0;  // 0 is the most urgent
  TimePoint deadline;
  double cost = 1;  // expected work, in the same unit for all requests

  bool operator==(const QueuedRequest&) const = default;
};

// Orders waiting requests: among customers by weighted fair queueing of their
// costs, and within a customer by priority, then by earliest deadline. Does no
// I/O; the caller passes the time.
class FairQueue {
 public:
  void Push(const QueuedRequest& waiting);
  // Removes a request without serving it. Returns false if it is not queued.
  bool Remove(std::uint64_t ticket);

  // Calls `try_serve` for waiting requests in order of service; those for which
  // it returns true are removed and charged to their customers. Ends when the
  // first request of every customer was refused.
  void Serve(const std::function<bool(const QueuedRequest&)>& try_serve);

  int Size() const { return static_cast<int>(tickets_.size()); }
  int SizeOf(const CustomerId& customer) const;
  // Returns the cost of the requests that would be served before a new request
  // of this customer.
  double CostBefore(const CustomerId& customer,
                    int priority,
                    TimePoint deadline) const;
  // Removes and returns all requests whose deadline has passed.
  std::vector<QueuedRequest> TakeExpired(TimePoint now);

 private:
  using Order = std::tuple<int, TimePoint, std::uint64_t>;
  struct CustomerQueue {
    std::map<Order, QueuedRequest> waiting;
    double virtual_time = 0;
  };

  static Order OrderOf(const QueuedRequest& waiting);
  void Charge(CustomerQueue& queue, const QueuedRequest& waiting);

  std::map<CustomerId, CustomerQueue> queues_;
  std::map<std::uint64_t, std::pair<CustomerId, Order>> tickets_;
  double virtual_time_ = 0;  // of the last service
};

}  // namespace endivecart::admission

#endif  // ENDIVECART_ADMISSION_FAIR_QUEUE_H_
