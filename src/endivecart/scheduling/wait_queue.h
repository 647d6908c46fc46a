#ifndef ENDIVECART_SCHEDULING_WAIT_QUEUE_H_
#define ENDIVECART_SCHEDULING_WAIT_QUEUE_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/scheduling/backlog.h"
#include "endivecart/scheduling/return_times.h"
#include "endivecart/scheduling/waiting_request.h"

namespace endivecart::scheduling {

// Requests for which no upstream has capacity. In a burst they are queued here
// instead of at the upstreams, so that capacity goes to those that gain most by
// it. Order: those that can still be on time by rank, then the late ones by
// rank; of these, customers within their share, then the earliest latest start
// (late ones: the earliest arrival). Besides, a tenth of the capacity goes to
// those that have waited longest.
class WaitQueue {
 public:
  using Ticket = std::uint64_t;

  enum class TryResult {
    kSent,
    kFull,   // no room at upstreams
    kSpare,  // upstreams have room, which this host may not use right now
  };

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
  // The request no longer waits. To be called before `try_place` returns kSent.
  void Remove(Ticket ticket, TimePoint now);
  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }
  // Returns whether requests of the group wait for capacity that is in use: new
  // ones may then not be sent before they have been compared with these.
  bool IsScarce(const std::string& group) const;

  // Calls `try_place` for the requests in order. It returns whether the request
  // was sent to an upstream. Each group's round ends after a few that were not:
  // each try counts as demand, and lowers the chance of all. Much smaller ones
  // may still fit. Those that were tried in vain less than `min_age` ago are
  // passed over as if they had been tried again.
  template <class TryPlace>
  void Admit(TryPlace try_place, Millis min_age, TimePoint now) {
    for (const Ticket ticket : StartRound(now)) {
      const auto it = waiting_.find(ticket);
      if (it == waiting_.end() || !MayTry(it->second))
        continue;
      if (it->second.tried_at && now - *it->second.tried_at < min_age) {
        it->second.group->misses.Add(it->second.request);
        continue;
      }
      const Entry entry = it->second;  // it is removed once it is sent
      const bool uses_share = UsesShare(ticket, entry);
      const TryResult result = try_place(ticket);
      if (result == TryResult::kSent)
        OnAdmitted(entry, uses_share, now);
      else
        OnNotPlaced(ticket, result, now);
    }
  }

  // Returns the requests that can't be answered within their time limit, by
  // what is ahead of them and the rate at which capacity becomes free; none
  // while upstreams have spare capacity. The caller removes them.
  std::vector<Refusal> Refusals(TimePoint now);
  // Returns when the caller of a request that is refused for another reason
  // should return.
  Millis RetryAfter(const WaitingRequest& request, TimePoint now);

  // Returns the figures of each class that has had waiting requests.
  std::vector<ClassFigures> TakeFigures(TimePoint now);

 private:
  // The requests that found no room in a round.
  struct Misses {
    int count = 0;
    std::int64_t least_tokens = std::numeric_limits<std::int64_t>::max();

    bool MayTry(const WaitingRequest& request) const;
    void Add(const WaitingRequest& request);
  };
  // A request that goes first out of order, since the reserved share is due to
  // it or its class is neglected. Capacity is held back until it fits.
  struct Due {
    Ticket ticket = 0;
    TimePoint since;
    int rank = 0;
    bool uses_share = false;
    bool holds_back = false;  // in the current round
  };
  struct Group {
    explicit Group(std::uint64_t seed) : return_times(seed) {}

    Backlog backlog;
    ReturnTimes return_times;
    int waiting = 0;
    bool is_scarce = false;  // at the last try in vain
    std::optional<Due> due;
    TimePoint in_order_until{};  // until then, no request goes out of order
    Misses misses;               // in the current round
    std::int64_t largest_tokens = 0;  // of those that wait in this round
  };
  struct Entry {
    WaitingRequest request;
    TimePoint since;
    Group* group = nullptr;
    Backlog::Membership membership;
    std::optional<TimePoint> tried_at;
    bool saw_spare = false;   // at the last try
    bool comes_back = false;  // refused; its caller returns
  };
  // Position in the order; see KeyOf().
  using Key = std::tuple<int, int, bool, bool, TimePoint, Ticket>;
  using ClassKey = std::pair<std::string, int>;  // group and rank

  static bool IsLate(const WaitingRequest& request, TimePoint now) {
    return now > request.latest_start;
  }
  static Key KeyOf(Ticket ticket, const Entry& entry, TimePoint now);
  static bool MayTry(const Entry& entry);
  Group& GroupOf(const std::string& name);
  // Returns all waiting requests in order.
  std::vector<Ticket> StartRound(TimePoint now);
  std::vector<Ticket> Sorted(TimePoint now);
  // Determines which requests go first out of order.
  void ChooseDue(TimePoint now);
  static bool UsesShare(Ticket ticket, const Entry& entry);
  void OnAdmitted(const Entry& entry, bool uses_share, TimePoint now);
  void OnNotPlaced(Ticket ticket, TryResult result, TimePoint now);
  // Returns how long the request will wait, by the work that is tried before
  // it, by that which has waited longer, and the rate of its group.
  static double ExpectedWaitMs(const Entry& entry,
                               double work_before,
                               double work_older,
                               double rate,
                               TimePoint now);
  ClassFigures& FiguresOf(const WaitingRequest& request);

  const std::uint64_t seed_;
  Ticket next_ = 1;
  std::map<Ticket, Entry> waiting_;
  std::map<std::string, Group> groups_;
  std::map<ClassKey, ClassFigures> figures_;
  std::optional<TimePoint> refusals_at_;
};

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_WAIT_QUEUE_H_
