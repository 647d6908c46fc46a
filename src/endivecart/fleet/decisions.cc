#include "endivecart/fleet/decisions.h"

#include <utility>

namespace endivecart::fleet {

std::string_view MoveStateName(MoveState state) {
  switch (state) {
    case MoveState::kRunning:
      return "running";
    case MoveState::kCompleted:
      return "completed";
    case MoveState::kRolledBack:
      return "rolled_back";
  }
  return "";
}

bool Decisions::IsOut(const DomainId& domain) const {
  const auto it = domains.find(domain);
  return it != domains.end() && it->second.out;
}

wire::FleetDecisions ToWire(const Decisions& decisions, bool with_document) {
  wire::FleetDecisions message;
  message.set_index(decisions.index);
  message.set_routing_version(decisions.routing_version);
  message.set_cache_generation(decisions.cache_generation);
  if (with_document) {
    message.set_routing_document(decisions.routing_document);
  } else {
    message.set_routing_omitted(true);
  }
  for (const auto& [domain, decision] : decisions.domains) {
    wire::DomainOut& out = *message.add_domains_out();
    out.set_domain(domain.str());
    out.set_out(decision.out);
    out.set_index(decision.index);
  }
  for (const auto& [service, move] : decisions.moves) {
    wire::FleetMove& out = *message.add_moves();
    out.set_service(service.str());
    out.set_target(move.target.str());
    out.set_duration_ms(static_cast<std::uint64_t>(move.duration.count()));
    out.set_state(static_cast<wire::FleetMove::State>(move.state));
    out.set_index(move.index);
  }
  for (const auto& [model, version] : decisions.weights) {
    wire::NamedWeights& out = *message.add_weights();
    out.set_model(model.str());
    out.set_version(version);
  }
  for (const auto& [model, versions] : decisions.weights_named_ms) {
    for (const auto& [version, named_ms] : versions) {
      wire::NamedWeights& out = *message.add_weights_named();
      out.set_model(model.str());
      out.set_version(version);
      out.set_named_ms(named_ms);
    }
  }
  return message;
}

Decisions FromWire(const wire::FleetDecisions& message,
                   std::string routing_document) {
  Decisions decisions;
  decisions.index = message.index();
  decisions.routing_version = message.routing_version();
  decisions.cache_generation = message.cache_generation();
  decisions.routing_document = std::move(routing_document);
  for (const wire::DomainOut& out : message.domains_out())
    decisions.domains[DomainId(out.domain())] = {out.out(), out.index()};
  for (const wire::FleetMove& move : message.moves()) {
    decisions.moves[routes::ServiceId(move.service())] = {
        VersionId(move.target()),
        Millis(static_cast<Millis::rep>(move.duration_ms())),
        static_cast<MoveState>(move.state()), move.index()};
  }
  for (const wire::NamedWeights& weights : message.weights())
    decisions.weights[ModelId(weights.model())] = weights.version();
  for (const wire::NamedWeights& named : message.weights_named()) {
    decisions.weights_named_ms[ModelId(named.model())][named.version()] =
        named.named_ms();
  }
  return decisions;
}

}  // namespace endivecart::fleet
