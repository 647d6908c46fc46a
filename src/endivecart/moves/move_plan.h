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

// One upstream as a plan sees it.
struct MoveUpstream {
  UpstreamId id;
  DomainId domain;
  bool has_new = false;  // the new version is loaded
  bool loading = false;
  bool usable = true;  // neither out nor leaving

  bool operator==(const MoveUpstream&) const = default;
};

enum class MoveStepKind {
  kWait,
  kRaiseShare,
  kFinish,  // promote
  kTakeBack,
};

// What to do next in a move.
struct MoveStep {
  MoveStepKind kind = MoveStepKind::kWait;
  int share_permille = 0;        // for kRaiseShare
  std::string reason;            // for the operator
  std::vector<UpstreamId> load;  // upstreams that are to load the version

  bool operator==(const MoveStep&) const = default;
};

struct MoveView {
  configuration::Rollout rollout;
  std::vector<MoveUpstream> upstreams;  // of the model
  std::uint64_t requests = 0;  // given to the new version, all hosts together
  std::string verdict;         // of any host
  std::int64_t now_ms = 0;     // Unix time
  std::int64_t share_since_ms = 0;  // when the present share came into force
};

// Plans a move: the share rises by steps that are spread up to the deadline,
// small shares for longer; few upstreams carry them, so that each sees full
// load, but some in every domain; at most two load at a time. Pure.
MoveStep PlanStep(const MoveView& view);

}  // namespace endivecart::moves

#endif  // ENDIVECART_MOVES_MOVE_PLAN_H_
