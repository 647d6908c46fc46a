#ifndef ENDIVECART_FLEET_VOTER_KEEPER_H_
#define ENDIVECART_FLEET_VOTER_KEEPER_H_

#include <functional>
#include <map>
#include <optional>

#include "endivecart/control/control.h"

namespace endivecart::fleet {

enum class VoterChangeKind { kAddLearner, kPromote, kRemove };

std::string_view VoterChangeName(VoterChangeKind kind);

struct VoterChange {
  VoterChangeKind kind;
  control::MemberId member;

  bool operator==(const VoterChange&) const = default;
};

// Decides, at the leader, who votes: an odd number of the members that are
// alive. A member that lost its disk, or went for good, yields its place once
// another has caught up; one change at a time.
class VoterKeeper {
 public:
  // More voters than this make each decision slower and survive little more.
  static constexpr int kMaxVoters = 7;
  // A learner that is silent for longer is forgotten.
  static constexpr Millis kForgetLearner{30000};

  VoterKeeper(control::MemberId self, Millis replace_after);

  void Heard(const control::MemberId& member, TimePoint now);
  // This process has begun to lead: nobody is silent yet.
  void StartOffice(TimePoint now);
  // The next change; nothing if all is well. `caught_up` tells whether a
  // learner holds all that is committed.
  std::optional<VoterChange> Next(
      const wire::VoterSet& voters,
      const std::function<bool(const control::MemberId&)>& caught_up,
      TimePoint now) const;

 private:
  bool IsSilent(const control::MemberId& member,
                Millis limit,
                TimePoint now) const;
  bool IsAlive(const control::MemberId& member, TimePoint now) const;
  bool HasSuccessor(const control::MemberId& member) const;

  const control::MemberId self_;
  const Millis replace_after_;
  TimePoint office_since_{};
  std::map<control::MemberId, TimePoint> heard_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_VOTER_KEEPER_H_
