#ifndef ENDIVECART_FLEET_VOTER_SET_MANAGER_H_
#define ENDIVECART_FLEET_VOTER_SET_MANAGER_H_

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

// Chooses the voters at the leader: an odd number of the members that are
// alive. A member that lost its disk or has left is replaced once another
// member has caught up. Changes are made one at a time.
class VoterSetManager {
 public:
  // More voters would slow down each decision and tolerate few more failures.
  static constexpr int kMaxVoters = 7;
  // A learner that has been silent for longer is removed.
  static constexpr Millis kLearnerTimeout{30000};

  VoterSetManager(control::MemberId self, Millis replace_after);

  // Records that a message from `member` arrived, or that it is known to be
  // alive.
  void RecordContact(const control::MemberId& member, TimePoint now);
  // Counts every member's silence from `now`: earlier messages may have gone to
  // the previous leader only.
  void OnLeadershipGained(TimePoint now);
  // Returns the next change to make, or nullopt if none is needed. `caught_up`
  // returns whether a learner has all committed entries.
  std::optional<VoterChange> NextChange(
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
  TimePoint leader_since_{};
  std::map<control::MemberId, TimePoint> last_contact_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_VOTER_SET_MANAGER_H_
