#ifndef ENDIVECART_GATEWAY_REQUEST_QUEUE_H_
#define ENDIVECART_GATEWAY_REQUEST_QUEUE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::gateway {

// Returns the rank of a request: by urgency (the customer's priority, if it has
// one), then by the priority of the route. 0 goes first.
int RankOf(int urgency, int route_priority);

// Requests for which no upstream has capacity. In a burst they are queued here
// instead of at the upstreams: the most urgent one goes first wherever capacity
// becomes free, and queued requests use no upstream memory.
class RequestQueue {
 public:
  // A request that has waited this long is no longer overtaken by later ones of
  // its rank, even if these are smaller.
  static constexpr Millis kMaxOvertakenTime{300};

  using Ticket = std::uint64_t;

  // `rank`: see RankOf(). `group`: of requests for the same upstreams; those of
  // other groups may always overtake.
  Ticket Add(int rank, const std::string& group, TimePoint now);
  void Remove(Ticket ticket);
  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }

  // Calls `try_place` for the requests in order. It returns whether the request
  // was sent to an upstream, and may then Remove() it.
  template <class TryPlace>
  void Admit(TryPlace try_place, TimePoint now) {
    std::set<std::pair<int, std::string>> blocked;  // rank and group
    for (const Ticket ticket : SortedTickets()) {
      const auto it = waiting_.find(ticket);
      if (it == waiting_.end() ||
          blocked.contains({it->second.rank, it->second.group}))
        continue;
      const Entry entry = it->second;
      if (!try_place(ticket) && now - entry.since >= kMaxOvertakenTime)
        blocked.emplace(entry.rank, entry.group);
    }
  }

 private:
  struct Entry {
    int rank = 0;
    std::string group;
    TimePoint since;
  };

  std::vector<Ticket> SortedTickets() const;

  Ticket next_ = 1;
  std::map<Ticket, Entry> waiting_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_REQUEST_QUEUE_H_
