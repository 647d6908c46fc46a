#include "endivecart/fleet/decision_log.h"

namespace endivecart::fleet {

bool DecisionLog::ReplaceRouting(const wire::ReplaceRoutingCommand& command) {
  // Operators may act concurrently, so an older version may arrive late.
  if (command.version() <= decisions_.routing_version)
    return false;
  decisions_.routing_version = command.version();
  decisions_.routing_document = command.document();
  return true;
}

bool DecisionLog::SetDomain(const wire::SetDomainCommand& command,
                            std::uint64_t index) {
  DomainDecision& domain = decisions_.domains[DomainId(command.domain())];
  if (domain.out == command.out())
    return false;
  domain = {command.out(), index};
  return true;
}

bool DecisionLog::BeginMove(const wire::BeginMoveCommand& command,
                            std::uint64_t index) {
  Move& move = decisions_.moves[routes::ServiceId(command.service())];
  // A repeated command: the move is running or has already ended.
  if (move.index != 0 && move.target.str() == command.target())
    return false;
  move = {VersionId(command.target()),
          Millis(static_cast<Millis::rep>(command.duration_ms())),
          MoveState::kRunning, index};
  return true;
}

bool DecisionLog::EndMove(const wire::EndMoveCommand& command) {
  const auto it = decisions_.moves.find(routes::ServiceId(command.service()));
  if (it == decisions_.moves.end() ||
      it->second.target.str() != command.target() ||
      it->second.state != MoveState::kRunning) {
    return false;
  }
  it->second.state =
      command.completed() ? MoveState::kCompleted : MoveState::kRolledBack;
  return true;
}

bool DecisionLog::NameWeights(const wire::NameWeightsCommand& command) {
  std::uint64_t& version = decisions_.weights[ModelId(command.model())];
  if (command.version() <= version)
    return false;
  version = command.version();
  auto& named_ms = decisions_.weights_named_ms[ModelId(command.model())];
  named_ms[version] = command.named_ms();
  if (named_ms.size() > Decisions::kNamedVersions)
    named_ms.erase(named_ms.begin());
  return true;
}

bool DecisionLog::Apply(const std::string& command, std::uint64_t index) {
  wire::FleetCommand parsed;
  if (!parsed.ParseFromString(command)) {
    LogLine("fleet.command_unreadable").Add("index", index).Error();
    return false;
  }
  bool changed = false;
  switch (parsed.body_case()) {
    case wire::FleetCommand::kReplaceRouting:
      changed = ReplaceRouting(parsed.replace_routing());
      break;
    case wire::FleetCommand::kSetDomain:
      changed = SetDomain(parsed.set_domain(), index);
      break;
    case wire::FleetCommand::kBeginMove:
      changed = BeginMove(parsed.begin_move(), index);
      break;
    case wire::FleetCommand::kEndMove:
      changed = EndMove(parsed.end_move());
      break;
    case wire::FleetCommand::kNameWeights:
      changed = NameWeights(parsed.name_weights());
      break;
    case wire::FleetCommand::kGrantSaves:
      // No follower needs to know of it.
      save_grants_.Apply(parsed.grant_saves());
      break;
    case wire::FleetCommand::kCloseUsageWindow:
      usage_log_.Apply(parsed.close_usage_window());
      break;
    case wire::FleetCommand::BODY_NOT_SET:
      break;
  }
  if (changed)
    decisions_.index = index;
  return changed;
}

std::string DecisionLog::Snapshot() const {
  wire::FleetDecisions message = ToWire(decisions_, true);
  *message.mutable_save_grants() = save_grants_.ToWire();
  usage_log_.AddTo(message);
  return message.SerializeAsString();
}

bool DecisionLog::Restore(const std::string& state) {
  wire::FleetDecisions message;
  if (!message.ParseFromString(state))
    return false;
  decisions_ = FromWire(message, nullptr);
  save_grants_ = SaveGrantLog::FromWire(message.save_grants());
  usage_log_ = duties::UsageLog::FromSnapshot(message);
  return true;
}

}  // namespace endivecart::fleet
