#include "endivecart/fleet/decision_log.h"

#include <optional>
#include <set>

namespace endivecart::fleet {

namespace {

template <class Names>
std::set<CustomerId> ToCustomers(const Names& names) {
  std::set<CustomerId> customers;
  for (const std::string& name : names)
    customers.emplace(name);
  return customers;
}

std::optional<CacheCustomers> CustomersOf(
    const wire::ReplaceRoutingCommand& command) {
  if (!command.has_cache_customers())
    return std::nullopt;
  return CacheCustomers{ToCustomers(command.cache_customers().sharing()),
                        ToCustomers(command.cache_customers().isolated())};
}

CacheSharing SharingOf(const wire::FleetDecisions& snapshot) {
  if (snapshot.has_cache_sharers()) {
    return {snapshot.cache_generation(),
            ToCustomers(snapshot.cache_sharers().customers())};
  }
  // Before the first configuration, nobody has shared anything.
  if (snapshot.routing_version() == 0)
    return {};
  return {snapshot.cache_generation(), std::nullopt};
}

}  // namespace

bool DecisionLog::ReplaceRouting(const wire::ReplaceRoutingCommand& command) {
  // Operators may act concurrently, so an older version may arrive late.
  if (command.version() <= decisions_.routing_version)
    return false;
  decisions_.routing_version = command.version();
  decisions_.routing_document = command.document();
  cache_sharing_.OnConfiguration(command.version(), CustomersOf(command));
  decisions_.cache_generation = cache_sharing_.generation();
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
  if (const auto& sharers = cache_sharing_.sharers()) {
    message.mutable_cache_sharers();
    for (const CustomerId& customer : *sharers)
      message.mutable_cache_sharers()->add_customers(customer.str());
  }
  *message.mutable_save_grants() = save_grants_.ToWire();
  usage_log_.AddTo(message);
  return message.SerializeAsString();
}

bool DecisionLog::Restore(const std::string& state) {
  wire::FleetDecisions message;
  if (!message.ParseFromString(state))
    return false;
  decisions_ = FromWire(message, message.routing_document());
  cache_sharing_ = SharingOf(message);
  save_grants_ = SaveGrantLog::FromWire(message.save_grants());
  usage_log_ = duties::UsageLog::FromSnapshot(message);
  return true;
}

}  // namespace endivecart::fleet
