#include "endivecart/fleet/voter_keeper.h"

#include <algorithm>
#include <set>

namespace endivecart::fleet {

using control::MemberId;

namespace {

std::set<MemberId> AsSet(
    const google::protobuf::RepeatedPtrField<std::string>& names) {
  std::set<MemberId> members;
  for (const std::string& name : names)
    members.emplace(name);
  return members;
}

// The largest odd number up to `n`; an even set survives no more than it.
int OddAtMost(int n) {
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

VoterKeeper::VoterKeeper(MemberId self, Millis replace_after)
    : self_(std::move(self)), replace_after_(replace_after) {}

void VoterKeeper::Heard(const MemberId& member, TimePoint now) {
  heard_[member] = now;
}

void VoterKeeper::StartOffice(TimePoint now) {
  office_since_ = now;
}

bool VoterKeeper::IsSilent(const MemberId& member,
                           Millis limit,
                           TimePoint now) const {
  if (member == self_)
    return false;
  const auto it = heard_.find(member);
  const TimePoint heard =
      it == heard_.end() ? office_since_ : std::max(office_since_, it->second);
  return now - heard > limit;
}

bool VoterKeeper::IsAlive(const MemberId& member, TimePoint now) const {
  if (member == self_)
    return true;
  const auto it = heard_.find(member);
  return it != heard_.end() && now - it->second <= replace_after_;
}

// Whether its host has been heard under a later identity: it lost its disk.
bool VoterKeeper::HasSuccessor(const MemberId& member) const {
  const auto own = heard_.find(member);
  return std::any_of(heard_.begin(), heard_.end(), [&](const auto& entry) {
    return entry.first != member &&
           control::HostOf(entry.first) == control::HostOf(member) &&
           (own == heard_.end() || entry.second > own->second);
  });
}

std::optional<VoterChange> VoterKeeper::Next(
    const wire::VoterSet& voters,
    const std::function<bool(const MemberId&)>& caught_up,
    TimePoint now) const {
  const std::set<MemberId> voting = AsSet(voters.voters());
  const std::set<MemberId> learning = AsSet(voters.learners());
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
  // Never fewer than now: who is away may be back when another goes.
  const int odd =
      std::max(OddAtMost(std::min(alive, kMaxVoters)), OddAtMost(count));
  const auto lost = std::find_if(voting.begin(), voting.end(), replaceable);
  // A newcomer takes part first, so that no moment has fewer copies.
  if (count > odd && count > 1 && lost != voting.end())
    return VoterChange{VoterChangeKind::kRemove, *lost};
  for (const MemberId& learner : learning) {
    if (HasSuccessor(learner) || IsSilent(learner, kForgetLearner, now))
      return VoterChange{VoterChangeKind::kRemove, learner};
  }
  if (count < odd || lost != voting.end()) {
    for (const MemberId& learner : learning) {
      if (IsAlive(learner, now) && caught_up(learner))
        return VoterChange{VoterChangeKind::kPromote, learner};
    }
  }
  for (const auto& [member, heard] : heard_) {
    if (!voting.contains(member) && !learning.contains(member) &&
        IsAlive(member, now) && !HasSuccessor(member)) {
      return VoterChange{VoterChangeKind::kAddLearner, member};
    }
  }
  return std::nullopt;
}

}  // namespace endivecart::fleet
