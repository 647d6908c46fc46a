#ifndef ENDIVECART_CONTROL_FOLLOWER_TRACKER_H_
#define ENDIVECART_CONTROL_FOLLOWER_TRACKER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/transport/transport.h"

namespace endivecart::control {

// Which hosts may hold a freshness lease, and what they have in force. A voter
// tracks those that poll it; the leader also takes the voters' reports. A pure
// core.
class FollowerTracker {
 public:
  // A host that was not heard for `window` holds no lease any more.
  explicit FollowerTracker(Millis window) : window_(window) {}

  // What is known of one host.
  struct Known {
    Revision revision = 0;
    TimePoint heard{};           // its newest poll, or report of it
    std::uint64_t asked_at = 0;  // of its newest direct poll
    std::uint64_t down_epoch = 0;
    bool direct = false;  // it polls this host itself

    bool operator==(const Known&) const = default;
  };

  void OnPoll(const HostId& host, const wire::FollowPoll& poll, TimePoint now);
  void Forget();

  bool MayBeFresh(const HostId& host, TimePoint now) const;
  const Known* Find(const HostId& host) const;
  // All hosts that may hold a lease, for the report to the leader. Those that
  // others reported are among them: while a new leader becomes known, a voter
  // may still report to one that is no longer the leader.
  std::vector<wire::FollowerState> Report(TimePoint now) const;
  // Direct followers to push news to.
  std::vector<HostId> Direct(TimePoint now) const;

 private:
  void Note(const HostId& host, Revision revision, TimePoint now);

  Millis window_;
  std::map<HostId, Known> hosts_;
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_FOLLOWER_TRACKER_H_
