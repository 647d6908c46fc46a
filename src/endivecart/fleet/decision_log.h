#ifndef ENDIVECART_FLEET_DECISION_LOG_H_
#define ENDIVECART_FLEET_DECISION_LOG_H_

#include <cstdint>
#include <string>

#include "endivecart/fleet/decisions.h"

namespace endivecart::fleet {

// The state machine of the replicated log. Deterministic. Every command may be
// repeated: a second time it changes nothing.
class DecisionLog {
 public:
  // Carries out one serialized FleetCommand; unreadable ones change nothing.
  // Returns whether anything changed.
  bool Apply(const std::string& command, std::uint64_t index);

  std::string Snapshot() const;
  // Returns false, and changes nothing, if the state can't be read.
  bool Restore(const std::string& state);

  const Decisions& decisions() const { return decisions_; }

 private:
  bool ReplaceRouting(const wire::ReplaceRoutingCommand& command);
  bool SetDomain(const wire::SetDomainCommand& command, std::uint64_t index);
  bool BeginMove(const wire::BeginMoveCommand& command, std::uint64_t index);
  bool EndMove(const wire::EndMoveCommand& command);
  bool NameWeights(const wire::NameWeightsCommand& command);

  Decisions decisions_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_DECISION_LOG_H_
