#ifndef ENDIVECART_GATEWAY_WAITING_ROOM_H_
#define ENDIVECART_GATEWAY_WAITING_ROOM_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::gateway {

// Orders requests by their urgency (the customer's priority, if it has one),
// and among those of one urgency by their route's priority. 0 goes first.
int RankOf(int urgency, int route_priority);

// Requests that found no upstream with room. In a burst they wait here rather
// than at the upstreams, so that the most urgent goes first wherever room
// comes up, and nothing holds memory while it waits.
class WaitingRoom {
 public:
  // A request that has waited this long is not passed by later ones of its
  // rank, however much smaller they are.
  static constexpr Millis kPassingTime{300};

  using Ticket = std::uint64_t;

  // `rank`: see RankOf().
  Ticket Enter(int rank, TimePoint now);
  void Leave(Ticket ticket);
  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }

  // Tries requests in their order: `place` returns whether the request has
  // found an upstream, and may then Leave().
  template <class Place>
  void Admit(Place place, TimePoint now) {
    std::map<int, bool> closed;  // by rank
    for (const Ticket ticket : Order()) {
      const auto it = waiting_.find(ticket);
      if (it == waiting_.end() || closed[it->second.rank])
        continue;
      const Entry entry = it->second;
      if (!place(ticket) && now - entry.since >= kPassingTime)
        closed[entry.rank] = true;
    }
  }

 private:
  struct Entry {
    int rank = 0;
    TimePoint since;
  };

  std::vector<Ticket> Order() const;

  Ticket next_ = 1;
  std::map<Ticket, Entry> waiting_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_WAITING_ROOM_H_
