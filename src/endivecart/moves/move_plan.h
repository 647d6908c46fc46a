#ifndef ENDIVECART_MOVES_MOVE_PLAN_H_
#define ENDIVECART_MOVES_MOVE_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/moves/version_gate.h"

namespace endivecart::moves {

// One upstream, as input to a plan.
struct MoveUpstream {
  UpstreamId id;
  DomainId domain;
  bool has_new = false;  // the new version is loaded
  bool loading = false;
  bool usable = true;  // neither disabled nor leaving

  bool operator==(const MoveUpstream&) const = default;
};

enum class MoveStepKind {
  kWait,
  kRaiseShare,
  kFinish,  // promotes the version
  kRollBack,
};

// The next step of a move.
struct MoveStep {
  MoveStepKind kind = MoveStepKind::kWait;
  int share_permille = 0;        // for kRaiseShare
  std::string reason;            // shown to the operator
  std::vector<UpstreamId> load;  // upstreams to load the version

  bool operator==(const MoveStep&) const = default;
};

// State of a move, as input to a plan.
struct MoveView {
  configuration::Rollout rollout;
  std::vector<MoveUpstream> upstreams;  // of the model
  std::uint64_t requests = 0;           // sent to the new version by all hosts
  std::string verdict;      // of any host, or of all hosts' pooled outcomes
  std::int64_t now_ms = 0;  // Unix time
  std::int64_t share_since_ms = 0;  // when the current share took effect
};

// Returns the next step of a move. The share rises in steps spread over the
// time until the deadline, with longer steps at small shares. A share is served
// by few upstreams, so that each gets full load, but by some in every domain.
// At most two upstreams load at a time. A pure function.
MoveStep PlanStep(const MoveView& view);

}  // namespace endivecart::moves

#endif  // ENDIVECART_MOVES_MOVE_PLAN_H_
