#include "endivecart/fleet/voter_set_manager.h"

#include <algorithm>
#include <set>

namespace endivecart::fleet {

using control::MemberId;

namespace {

std::set<MemberId> ToMemberSet(
    const google::protobuf::RepeatedPtrField<std::string>& names) {
  std::set<MemberId> members;
  for (const std::string& name : names)
    members.emplace(name);
  return members;
}

// Returns the largest odd number up to `n`. An even number of voters tolerates
// no more failures than one voter fewer.
int LargestOddAtMost(int n) {
  return n % 2 == 0 ? n - 1 : n;
}

}  // namespace

std::string_view VoterChangeName(VoterChangeKind kind) {
  switch (kind) {
    case VoterChangeKind::kAddLearner:
      return "add_learner";
    case VoterChangeKind::kPromote:
      return "promote";
    case VoterChangeKind::kRemove:
      return "remove";
  }
  return "";
}

VoterSetManager::VoterSetManager(MemberId self, Millis replace_after)
    : self_(std::move(self)), replace_after_(replace_after) {}

void VoterSetManager::RecordContact(const MemberId& member, TimePoint now) {
  last_contact_[member] = now;
}

void VoterSetManager::OnLeadershipGained(TimePoint now) {
  leader_since_ = now;
}

bool VoterSetManager::IsSilent(const MemberId& member,
                               Millis limit,
                               TimePoint now) const {
  if (member == self_)
    return false;
  const auto it = last_contact_.find(member);
  const TimePoint last_contact = it == last_contact_.end()
                                     ? leader_since_
                                     : std::max(leader_since_, it->second);
  return now - last_contact > limit;
}

bool VoterSetManager::IsAlive(const MemberId& member, TimePoint now) const {
  if (member == self_)
    return true;
  const auto it = last_contact_.find(member);
  return it != last_contact_.end() && now - it->second <= replace_after_;
}

// Returns whether the host of `member` was heard later under another identity,
// which means that `member` lost its disk.
bool VoterSetManager::HasSuccessor(const MemberId& member) const {
  const auto own = last_contact_.find(member);
  return std::any_of(
      last_contact_.begin(), last_contact_.end(), [&](const auto& entry) {
        return entry.first != member &&
               control::HostOf(entry.first) == control::HostOf(member) &&
               (own == last_contact_.end() || entry.second > own->second);
      });
}

std::optional<VoterChange> VoterSetManager::NextChange(
    const wire::VoterSet& voters,
    const std::function<bool(const MemberId&)>& caught_up,
    TimePoint now) const {
  const std::set<MemberId> voting = ToMemberSet(voters.voters());
  const std::set<MemberId> learning = ToMemberSet(voters.learners());
  const auto replaceable = [&](const MemberId& voter) {
    return voter != self_ &&
           (HasSuccessor(voter) || IsSilent(voter, replace_after_, now));
  };
  int alive = 0;
  for (const auto* group : {&voting, &learning}) {
    alive += static_cast<int>(
        std::count_if(group->begin(), group->end(), [&](const MemberId& m) {
          return IsAlive(m, now) && !HasSuccessor(m);
        }));
  }
  const auto count = static_cast<int>(voting.size());
  // Never shrinks the set: a silent voter may return before another one fails.
  const int odd = std::max(LargestOddAtMost(std::min(alive, kMaxVoters)),
                           LargestOddAtMost(count));
  const auto lost = std::find_if(voting.begin(), voting.end(), replaceable);
  // Removes a lost voter only when its replacement already votes, so that the
  // number of copies never drops.
  if (count > odd && count > 1 && lost != voting.end())
    return VoterChange{VoterChangeKind::kRemove, *lost};
  for (const MemberId& learner : learning) {
    if (HasSuccessor(learner) || IsSilent(learner, kLearnerTimeout, now))
      return VoterChange{VoterChangeKind::kRemove, learner};
  }
  if (count < odd || lost != voting.end()) {
    for (const MemberId& learner : learning) {
      if (IsAlive(learner, now) && caught_up(learner))
        return VoterChange{VoterChangeKind::kPromote, learner};
    }
  }
  for (const auto& [member, last_contact] : last_contact_) {
    if (!voting.contains(member) && !learning.contains(member) &&
        IsAlive(member, now) && !HasSuccessor(member)) {
      return VoterChange{VoterChangeKind::kAddLearner, member};
    }
  }
  return std::nullopt;
}

}  // namespace endivecart::fleet
