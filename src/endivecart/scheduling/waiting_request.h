#ifndef ENDIVECART_SCHEDULING_WAITING_REQUEST_H_
#define ENDIVECART_SCHEDULING_WAITING_REQUEST_H_

#include <cstdint>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::scheduling {

// Returns the rank of a request: by urgency (the customer's priority, if it has
// one), then by the priority of the route. 0 goes first.
int RankOf(int urgency, int route_priority);

// A request for which no upstream has capacity.
struct WaitingRequest {
  int rank = 0;
  CustomerId customer;
  std::string route;
  std::string group;  // of requests for the same upstreams
  std::int64_t work_tokens = 1;
  TimePoint arrived_at;    // the caller's first attempt, as far as known
  TimePoint latest_start;  // sent later, it misses its latency target
  TimePoint give_up_at;    // sent later, it misses its time limit
  TimePoint deadline;      // the caller's

  bool operator==(const WaitingRequest&) const = default;
};

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_WAITING_REQUEST_H_
