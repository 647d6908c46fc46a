#ifndef ENDIVECART_GATEWAY_CACHE_SAVE_CLAIMS_H_
#define ENDIVECART_GATEWAY_CACHE_SAVE_CLAIMS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/fleet/fleet.h"
#include "endivecart/gateway/cache_view.h"

namespace endivecart::gateway {

// The parts that one request may save.
struct SavePermits {
  std::uint64_t number = 0;  // of the claim
  std::vector<SavePart> parts;

  bool empty() const { return parts.empty(); }
  bool operator==(const SavePermits&) const = default;
};

// Claims for this host's requests the right to save parts; the leader grants
// each part to one request at a time. See fleet::CacheSaveLedger.
class CacheSaveClaims {
 public:
  // Sends a message to the leader. Returns false if it can't be reached.
  using Sender = std::function<bool(wire::Envelope)>;
  // Called once for each claim, later than Claim(). Returns whether the permits
  // were taken; otherwise they are given back.
  using Callback = std::function<bool(const SavePermits&)>;

  // A request waits for at most this long: prefilling takes longer, but no
  // request may be late because the leader is.
  static constexpr Millis kMaxWait = fleet::CacheSaveLedger::kClaimWait;
  // No part is claimed for this long after a claim got no answer.
  static constexpr Millis kSilentPause{1000};
  // A part that was denied is not claimed again for this long: another request
  // is about to save it.
  static constexpr Millis kDeniedPause{1000};
  // Nor is one whose save was sent: a store that is full may drop it at once,
  // and saving it with each prompt would only occupy the links.
  static constexpr Millis kSentPause{10000};

  // `first_number`: the incarnation of this process. `timers` must outlive this
  // object.
  CacheSaveClaims(std::uint64_t first_number, TimerService& timers);

  void SetSender(Sender send) { send_ = std::move(send); }
  // Claims those of the parts that may be had; returns false if there are none
  // or the leader is out of reach. `lifetime`: how long the request may take to
  // begin to run.
  bool Claim(std::uint64_t term,
             const std::vector<SavePart>& parts,
             Millis lifetime,
             Callback done);
  // `term`: of the newest leader that this host has heard of. Grants of other
  // terms are given back.
  void OnGrant(const wire::CacheSaveGrant& grant, std::uint64_t term);
  // Returns what was granted and may still begin.
  std::vector<wire::CacheSaveRecord> Outstanding();
  // `was_sent`: an upstream may have got the saves, and the request is over.
  void Release(const SavePermits& permits, bool was_sent);

 private:
  struct Pending {
    SavePermits claimed;
    TimePoint ends_at;  // of the saves
    Callback done;      // null once the request waits no longer
    std::unique_ptr<TimerSubscription> timer;
  };

  void End(std::uint64_t number, const SavePermits& granted);
  void SendRelease(const SavePermits& permits, bool was_sent);
  // Claims none of the parts for `pause`.
  void Pause(const std::vector<SavePart>& parts, Millis pause);

  TimerService& timers_;
  Sender send_;
  std::uint64_t last_number_;
  std::map<std::uint64_t, Pending> pending_;
  // Granted saves that may still begin.
  struct Granted {
    SavePermits permits;
    TimePoint ends_at;
  };
  std::map<std::uint64_t, Granted> granted_;  // by number of the claim
  // By key of the part.
  std::map<std::uint64_t, TimePoint> paused_parts_;
  TimePoint paused_until_{};
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_CACHE_SAVE_CLAIMS_H_
