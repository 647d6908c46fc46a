#include "endivecart/control/follower_tracker.h"

#include <algorithm>

namespace endivecart::control {

void FollowerTracker::Note(const HostId& host,
                           Revision revision,
                           TimePoint now) {
  Known& known = hosts_[host];
  known.revision = std::max(known.revision, revision);
  known.heard = now;
}

void FollowerTracker::OnPoll(const HostId& host,
                             const wire::FollowPoll& poll,
                             TimePoint now) {
  Known& known = hosts_[host];
  known.heard = now;
  known.direct = true;
  // Polls may come late or doubled. A restarted host may have less in force
  // than before: its newest word counts, not its highest.
  if (poll.asked_at() >= known.asked_at) {
    known.asked_at = poll.asked_at();
    known.revision = poll.revision();
    known.down_epoch = poll.down_epoch();
  }
  for (const wire::FollowerState& follower : poll.followers())
    Note(HostId(follower.host()), follower.revision(), now);
}

void FollowerTracker::Forget() {
  hosts_.clear();
}

bool FollowerTracker::MayBeFresh(const HostId& host, TimePoint now) const {
  const auto it = hosts_.find(host);
  return it != hosts_.end() && now < it->second.heard + window_;
}

const FollowerTracker::Known* FollowerTracker::Find(const HostId& host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? nullptr : &it->second;
}

std::vector<wire::FollowerState> FollowerTracker::Report(TimePoint now) const {
  std::vector<wire::FollowerState> report;
  for (const auto& [host, known] : hosts_) {
    if (!MayBeFresh(host, now))
      continue;
    wire::FollowerState& state = report.emplace_back();
    state.set_host(host.str());
    state.set_revision(known.revision);
  }
  return report;
}

std::vector<HostId> FollowerTracker::Direct(TimePoint now) const {
  std::vector<HostId> direct;
  for (const auto& [host, known] : hosts_) {
    if (known.direct && MayBeFresh(host, now))
      direct.push_back(host);
  }
  return direct;
}

}  // namespace endivecart::control
