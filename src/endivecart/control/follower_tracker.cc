#include "endivecart/control/follower_tracker.h"

#include <algorithm>

namespace endivecart::control {

void FollowerTracker::Update(const HostId& host,
                             Revision revision,
                             TimePoint now) {
  Follower& entry = hosts_[host];
  entry.revision = std::max(entry.revision, revision);
  entry.last_heard = now;
}

void FollowerTracker::OnPoll(const HostId& host,
                             const wire::FollowPoll& poll,
                             TimePoint now) {
  Follower& entry = hosts_[host];
  entry.last_heard = now;
  entry.direct = true;
  // Polls may be delayed or duplicated. The newest poll counts, not the highest
  // revision: a restarted host may have an older revision in force than before.
  if (poll.asked_at() >= entry.poll_sent_at) {
    entry.poll_sent_at = poll.asked_at();
    entry.revision = poll.revision();
    entry.down_epoch = poll.down_epoch();
  }
  for (const wire::FollowerState& follower : poll.followers())
    Update(HostId(follower.host()), follower.revision(), now);
}

void FollowerTracker::Clear() {
  hosts_.clear();
}

bool FollowerTracker::MayHoldLease(const HostId& host, TimePoint now) const {
  const auto it = hosts_.find(host);
  return it != hosts_.end() && now < it->second.last_heard + lease_window_;
}

const FollowerTracker::Follower* FollowerTracker::Find(
    const HostId& host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? nullptr : &it->second;
}

std::vector<wire::FollowerState> FollowerTracker::ReportFollowers(
    TimePoint now) const {
  std::vector<wire::FollowerState> report;
  for (const auto& [host, entry] : hosts_) {
    if (!MayHoldLease(host, now))
      continue;
    wire::FollowerState& state = report.emplace_back();
    state.set_host(host.str());
    state.set_revision(entry.revision);
  }
  return report;
}

std::vector<HostId> FollowerTracker::DirectFollowers(TimePoint now) const {
  std::vector<HostId> direct;
  for (const auto& [host, entry] : hosts_) {
    if (entry.direct && MayHoldLease(host, now))
      direct.push_back(host);
  }
  return direct;
}

}  // namespace endivecart::control
