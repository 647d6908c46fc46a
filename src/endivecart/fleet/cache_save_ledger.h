#ifndef ENDIVECART_FLEET_CACHE_SAVE_LEDGER_H_
#define ENDIVECART_FLEET_CACHE_SAVE_LEDGER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::fleet {

// The leader's record of who may save which part to which store.
//
// A save can't be recalled: a server carries it out whenever it gets to the
// request that carries it, even after the store has restarted. So that it can
// never write a part that others are already fetching, a part has at most one
// save that may still begin, and gets another one only once it is known what
// became of the last: it was seen complete, or a list of the store shows that
// it left nothing there. Once a part is complete, its save has therefore begun.
class CacheSaveLedger {
 public:
  struct Part {
    std::uint64_t key = 0;    // see CacheKey()
    std::uint64_t store = 0;  // see CacheStoreKey()

    auto operator<=>(const Part&) const = default;
  };
  // Identifies a claim among all of all hosts.
  struct Claim {
    HostId host;
    std::uint64_t number = 0;

    bool operator==(const Claim&) const = default;
  };

  // A save whose request is over may still wait for the store's link: a
  // transfer that would wait for more than 2 s is not started.
  static constexpr Millis kTransferWait{2500};
  // Additional time for the claim's answer, and for differences of clocks.
  static constexpr Millis kMargin{1000};
  // A host that serves callers polls every control host more often than this,
  // unless it is cut off from it.
  static constexpr Millis kPollGap{2000};
  // A request waits for a grant for at most this long.
  static constexpr Millis kClaimWait{50};
  // Grants beyond these are denied. They are part of each snapshot of the log,
  // with about 60 bytes each.
  static constexpr std::size_t kMaxGrants = 100000;
  // A process numbers its claims from its incarnation on, so that those of its
  // own run can be told from those of earlier ones on its host.
  static constexpr std::uint64_t kMaxClaims = std::uint64_t{1} << 32;

  // One run of a process that serves callers, with its incarnation.
  using HostRun = std::pair<HostId, std::uint64_t>;
  // A save that an earlier leader granted.
  struct Outstanding {
    Part part;
    Claim claim;
    Millis ends_in{0};

    bool operator==(const Outstanding&) const = default;
  };

  // From now on OnPoll() is called for every poll to this process.
  // `is_first_start`: of the whole fleet, so that nothing was granted before.
  void StartWatching(bool is_first_start, TimePoint now) {
    is_first_start_ = is_first_start;
    watching_since_ = now;
  }
  // Sets the longest time that a request may take under the configuration in
  // force. Longer ones of earlier configurations stay in force.
  void SetRequestLimit(Millis limit) {
    request_limit_ = std::max(request_limit_, limit);
  }
  // The time after which a save that was granted by now has begun or never
  // will.
  Millis Expiry() const { return GrantTime(request_limit_); }
  // Returns for how long the save of a request may begin that runs within
  // `lifetime`.
  static constexpr Millis GrantTime(Millis lifetime) {
    return lifetime + kTransferWait + kMargin;
  }
  // `may_have_predecessor`: another leader may have granted saves. None is
  // granted then until all hosts have reported theirs, or until all have ended.
  // `logged`: all saves of earlier leaders that may still begin, or null if the
  // log doesn't have all of them. There is no such wait if it has.
  void OnLeadershipGained(bool may_have_predecessor,
                          TimePoint now,
                          const std::vector<Outstanding>* logged = nullptr);
  // A host has polled this process, leader or not. `saves`: what it reports to
  // this leader, or null.
  void OnPoll(const HostRun& host,
              const std::vector<Outstanding>* saves,
              TimePoint now);
  enum class Ruling {
    kGranted,
    kDenied,
    kNeedsList,  // earlier saves are over, but their outcome is unknown
  };
  // Returns whether the part may be saved by a request that begins to run
  // within `lifetime`.
  Ruling Grant(const Part& part,
               const Claim& claim,
               Millis lifetime,
               TimePoint now);
  // The part was seen complete, so that its save has begun.
  void OnComplete(const Part& part);
  // `was_sent`: a server may have got the save. Its request is over.
  void Release(const Part& part,
               const Claim& claim,
               bool was_sent,
               TimePoint now);
  // Forgets the saves that have ended before the store's list was asked for,
  // except those of parts that are incomplete there.
  void OnListed(std::uint64_t store,
                TimePoint asked_at,
                const std::function<bool(std::uint64_t key)>& is_incomplete);

  // Takes the grants that have ended and are still in the log, at most `max`.
  std::vector<Outstanding> TakeEnded(std::size_t max, TimePoint now);
  // Gives back what was taken: the log may still have them.
  void ReturnEnded(const std::vector<Outstanding>& ended);
  // Returns whether all saves of earlier leaders that may still begin are
  // known.
  bool KnowsAll(TimePoint now) const { return AllowedAt() <= now; }
  // Returns all saves that may still begin, which are in the log from now on.
  std::vector<Outstanding> LogAll(TimePoint now);

  std::size_t size() const { return grants_.size(); }

 private:
  struct Entry {
    Claim claim;
    TimePoint ends_at;
    bool was_complete = false;
    bool is_logged = true;
    // From the log of earlier leaders.
    bool is_restored = false;
  };
  using Grants = std::map<Part, Entry>;

  void Restore(const std::vector<Outstanding>& logged, TimePoint now);
  // Applies the first report of a host's run to its restored saves.
  void OnReport(const HostRun& host,
                const std::vector<Outstanding>& saves,
                TimePoint now);
  // Removes a grant that ended.
  void Erase(Grants::iterator it);
  // Records that the log may forget the grant.
  void MarkEnded(const Part& part, Entry& entry);

  // Ends the wait once no grant of an earlier leader is unknown.
  void UpdateWait(TimePoint now);
  // Returns the time from which this leader grants saves.
  TimePoint AllowedAt() const;
  // A host that was last heard longer ago has no saves that may still begin.
  Millis HostRetention() const { return Expiry() + kPollGap; }

  bool is_first_start_ = false;
  std::optional<TimePoint> watching_since_;
  // By last poll; only those that may still have saves.
  std::map<HostRun, TimePoint> hosts_;
  // Those that have not reported to this leader yet.
  std::set<HostRun> unreported_;
  bool may_end_wait_early_ = false;
  Grants grants_;
  // The parts of restored saves, by host.
  std::map<HostId, std::vector<Part>> restored_;
  std::set<HostRun> reported_;
  // Grants that the log may forget.
  std::deque<Outstanding> ended_;
  TimePoint next_sweep_{};
  Millis request_limit_{0};
  TimePoint gained_at_{};
  bool may_have_predecessor_ = false;
  // Since when all saves of earlier leaders are known.
  std::optional<TimePoint> known_at_;
  // When the newest list of each store was asked for.
  std::map<std::uint64_t, TimePoint> listed_at_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_CACHE_SAVE_LEDGER_H_
