#ifndef ENDIVECART_SCHEDULING_WAIT_QUEUE_H_
#define ENDIVECART_SCHEDULING_WAIT_QUEUE_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/scheduling/backlog.h"
#include "endivecart/scheduling/return_times.h"
#include "endivecart/scheduling/waiting_request.h"

namespace endivecart::scheduling {

// Requests for which no upstream has capacity. In a burst they are queued here
// instead of at the upstreams, so that capacity goes to those that gain most by
// it. Order: by rank, then those that can still be on time, then customers
// within their share, then the earliest latest start (late ones: the earliest
// arrival). Besides, a tenth of the capacity goes to those that have waited
// longest.
class WaitQueue {
 public:
  using Ticket = std::uint64_t;

  struct Refusal {
    Ticket ticket = 0;
    Millis retry_after{0};
    Millis expected_wait{0};

    bool operator==(const Refusal&) const = default;
  };

  // Figures of the requests of one group and rank.
  struct ClassFigures {
    std::string group;
    int rank = 0;
    // At this time:
    int waiting = 0;
    int late = 0;
    std::int64_t work_tokens = 0;
    double oldest_ms = 0;
    // Since the last call of TakeFigures():
    int admitted = 0;
    int refused = 0;
    double longest_wait_ms = 0;  // of those admitted or refused
    double tokens_per_ms = 0;    // rate at which the group's capacity frees

    bool operator==(const ClassFigures&) const = default;
  };

  // `seed`: of the random part of the times at which refused callers return.
  explicit WaitQueue(std::uint64_t seed) : seed_(seed) {}

  Ticket Add(const WaitingRequest& request, TimePoint now);
  // The request has left without having been admitted.
  void Remove(Ticket ticket, TimePoint now);
  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }
  bool HasBacklog(const std::string& group) const;

  // Calls `try_place` for the requests in order. It returns whether the request
  // was sent to an upstream, and may then Remove() it. Each group's round ends
  // after a few that found no room: each try counts as demand, and lowers the
  // chance of all. Much smaller ones may still fit.
  template <class TryPlace>
  void Admit(TryPlace try_place, TimePoint now) {
    std::map<std::string, Misses> misses;
    for (const Ticket ticket : TicketsInOrder(now)) {
      const auto it = waiting_.find(ticket);
      if (it == waiting_.end() || IsHeldBack(it->second))
        continue;
      const Entry entry = it->second;
      Misses& missed = misses[entry.request.group];
      if (!missed.MayTry(entry.request))
        continue;
      const bool uses_share = UsesShare(ticket, entry);
      if (try_place(ticket)) {
        Remove(ticket, now);
        OnAdmitted(entry, uses_share, now);
      } else {
        missed.Add(entry.request);
        OnNotPlaced(ticket, entry, now);
      }
    }
  }

  // Returns the requests that can't be answered within their time limit, by
  // what is ahead of them and the rate at which capacity becomes free. The
  // caller removes them.
  std::vector<Refusal> Refusals(TimePoint now);
  // Returns when the caller of a request that is refused for another reason
  // should return.
  Millis RetryAfter(const WaitingRequest& request, TimePoint now);

  // Returns the figures of each class that has had waiting requests.
  std::vector<ClassFigures> TakeFigures(TimePoint now);

 private:
  struct Entry {
    WaitingRequest request;
    TimePoint since;
  };
  // A request that goes first out of order, since the reserved share is due to
  // it or its class is neglected. Capacity is held back until it fits.
  struct Due {
    Ticket ticket = 0;
    TimePoint since;
    bool uses_share = false;
    bool holds_back = false;  // in the current pass
  };
  // What goes before a request.
  struct Ahead {
    double in_order = 0;    // work of those that are tried first
    double returning = 0;   // work of callers that were told to come back
    double by_arrival = 0;  // work of those that have waited longer
  };
  // The requests that found no room in a round.
  struct Misses {
    int count = 0;
    std::int64_t least_tokens = std::numeric_limits<std::int64_t>::max();

    bool MayTry(const WaitingRequest& request) const;
    void Add(const WaitingRequest& request);
  };
  using ClassKey = std::pair<std::string, int>;  // group and rank

  static bool IsLate(const WaitingRequest& request, TimePoint now) {
    return now > request.latest_start;
  }
  // All waiting requests in order, after those that are due.
  std::vector<Ticket> TicketsInOrder(TimePoint now);
  std::vector<Ticket> Sorted(TimePoint now) const;
  // Returns the request of the group that is to go first out of order.
  std::optional<Due> FindDue(const std::string& group,
                             const std::vector<Ticket>& order,
                             TimePoint now) const;
  bool IsHeldBack(const Entry& entry) const;
  bool UsesShare(Ticket ticket, const Entry& entry) const;
  void OnAdmitted(const Entry& entry, bool uses_share, TimePoint now);
  void OnNotPlaced(Ticket ticket, const Entry& entry, TimePoint now);
  // Returns how long the request will wait, at this rate of its group.
  double ExpectedWaitMs(const WaitingRequest& request,
                        const Ahead& ahead,
                        double rate,
                        TimePoint now) const;
  Millis ReturnTime(const WaitingRequest& request,
                    double work_ahead,
                    double rate,
                    TimePoint now);
  ReturnTimes& ReturnTimesOf(const std::string& group);
  ClassFigures& FiguresOf(const WaitingRequest& request);

  Ticket next_ = 1;
  std::map<Ticket, Entry> waiting_;
  std::map<std::string, Backlog> backlogs_;  // by group
  std::map<std::string, Due> due_;           // by group
  // Until then none of the group goes first out of order.
  std::map<std::string, TimePoint> in_order_until_;
  std::map<ClassKey, ClassFigures> figures_;
  const std::uint64_t seed_;
  std::map<std::string, ReturnTimes> return_times_;  // by group
};

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_WAIT_QUEUE_H_
