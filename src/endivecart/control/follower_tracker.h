#ifndef ENDIVECART_CONTROL_FOLLOWER_TRACKER_H_
#define ENDIVECART_CONTROL_FOLLOWER_TRACKER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/transport/transport.h"

namespace endivecart::control {

// Tracks which hosts may hold a freshness lease and which revision they have in
// force. A voter tracks the hosts that poll it; the leader also uses the
// reports of the voters. Does no I/O and reads no clock. Not thread-safe.
class FollowerTracker {
 public:
  // A host that was not heard from for `window` no longer holds a lease.
  explicit FollowerTracker(Millis window) : lease_window_(window) {}

  // State of one host.
  struct Follower {
    Revision revision = 0;
    TimePoint last_heard{};          // last poll, or last report on the host
    std::uint64_t poll_sent_at = 0;  // sender's time of the last direct poll
    std::uint64_t down_epoch = 0;
    bool direct = false;  // the host polls this one

    bool operator==(const Follower&) const = default;
  };

  void OnPoll(const HostId& host, const wire::FollowPoll& poll, TimePoint now);
  void Clear();

  // Returns whether `host` may hold a freshness lease.
  bool MayHoldLease(const HostId& host, TimePoint now) const;
  // Returns nullptr if the host is unknown.
  const Follower* Find(const HostId& host) const;
  // Returns all hosts that may hold a lease, for the report to the leader.
  // Includes hosts known from others' reports: after a change of leader, a
  // voter may still report to the previous one.
  std::vector<wire::FollowerState> ReportFollowers(TimePoint now) const;
  // Returns the hosts that poll this one, to which updates are pushed.
  std::vector<HostId> DirectFollowers(TimePoint now) const;

 private:
  void Update(const HostId& host, Revision revision, TimePoint now);

  Millis lease_window_;
  std::map<HostId, Follower> hosts_;
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_FOLLOWER_TRACKER_H_
