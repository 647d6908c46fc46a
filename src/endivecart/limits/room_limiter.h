#ifndef ENDIVECART_LIMITS_ROOM_LIMITER_H_
#define ENDIVECART_LIMITS_ROOM_LIMITER_H_

#include <cstddef>
#include <map>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::limits {

// The room of one upstream, as one host knows it.
struct Room {
  int slots = 1;     // requests that run there at the same time
  int requests = 0;  // in progress there, of all hosts; lags by a poll
  int own = 0;       // of these, of this host
  // Where the hosts with a share begin, as a fraction of all hosts. Evenly
  // spaced for the upstreams of a service, so that each host has as many shares
  // as the others.
  double place = 0;

  bool operator==(const Room&) const = default;
};

// Decides whether a host may send one more request to a brittle upstream, which
// fails if it has to refuse too many. The slots are divided among the hosts, so
// that all of them together never exceed these. While most slots are unused, a
// host in turn may exceed its share by one. A refusal shows that the upstream
// has less room than thought: the host that got it pauses, and all of them keep
// to their shares for a while.
class RoomLimiter {
 public:
  // How long it is some hosts' turn to exceed their shares: about as long as
  // hosts take to learn of each other's requests.
  static constexpr Millis kTurn{250};
  // How long all hosts keep to their shares after a refusal.
  static constexpr Millis kStrictTime{3000};
  // How long the host that was refused pauses, if no more hosts than the
  // upstream can bear refusals; else proportionally longer, up to a maximum.
  static constexpr Millis kPause{1000};
  static constexpr Millis kMaxPause{8000};
  static constexpr std::size_t kMaxUpstreams = 4096;

  // Returns whether there is room for one more request. `refused_at` is when
  // any host was last refused there, as far as known.
  bool HasRoom(const std::string& upstream_run,
               const Room& room,
               TimePoint refused_at,
               const HostRank& rank,
               TimePoint now) const;
  // Records a refusal for want of room. `refusals_per_s` is what the upstream
  // can bear from all hosts together.
  void OnRefused(const std::string& upstream_run,
                 double refusals_per_s,
                 const HostRank& rank,
                 TimePoint now);
  void Expire(TimePoint now);

 private:
  std::map<std::string, TimePoint> paused_until_;
};

// Returns this host's share of the slots of an upstream. The shares of all
// hosts add up to the slots.
int ShareOfSlots(const Room& room, const HostRank& rank);

}  // namespace endivecart::limits

#endif  // ENDIVECART_LIMITS_ROOM_LIMITER_H_
