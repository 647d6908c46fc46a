#ifndef ENDIVECART_FLEET_DECISION_LOG_H_
#define ENDIVECART_FLEET_DECISION_LOG_H_

#include <cstdint>
#include <string>

#include "endivecart/duties/duties.h"
#include "endivecart/fleet/cache_sharing.h"
#include "endivecart/fleet/decisions.h"
#include "endivecart/fleet/save_grant_log.h"

namespace endivecart::fleet {

// The deterministic state machine of the replicated log. All commands are
// idempotent.
class DecisionLog {
 public:
  // To be called for each entry of the log, with a command or without, before
  // it is applied.
  void OnEntry(std::uint64_t term) { save_grants_.OnEntry(term); }
  // Applies one serialized FleetCommand and returns whether it changed the
  // decisions. A command that can't be parsed is logged and ignored.
  bool Apply(const std::string& command, std::uint64_t index);

  // Returns the serialized state.
  std::string Snapshot() const;
  // Returns false and changes nothing if `state` can't be parsed.
  bool Restore(const std::string& state);

  const Decisions& decisions() const { return decisions_; }
  const SaveGrantLog& save_grants() const { return save_grants_; }
  // Kept beside the decisions: only control processes need it, and it changes
  // with every usage window.
  const duties::UsageLog& usage_log() const { return usage_log_; }

 private:
  bool ReplaceRouting(const wire::ReplaceRoutingCommand& command);
  bool SetDomain(const wire::SetDomainCommand& command, std::uint64_t index);
  bool BeginMove(const wire::BeginMoveCommand& command, std::uint64_t index);
  bool EndMove(const wire::EndMoveCommand& command);
  bool NameWeights(const wire::NameWeightsCommand& command);

  Decisions decisions_;
  CacheSharing cache_sharing_;
  SaveGrantLog save_grants_;
  duties::UsageLog usage_log_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_DECISION_LOG_H_
