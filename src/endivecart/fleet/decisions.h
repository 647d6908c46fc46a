#ifndef ENDIVECART_FLEET_DECISIONS_H_
#define ENDIVECART_FLEET_DECISIONS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "endivecart/base/base.h"
#include "endivecart/routes/routes.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// Whether a failure domain's upstreams get work, and since which log entry.
struct DomainDecision {
  bool out = false;
  std::uint64_t index = 0;

  bool operator==(const DomainDecision&) const = default;
};

enum class MoveState { kRunning, kCompleted, kRolledBack };

std::string_view MoveStateName(MoveState state);

// The move of a service's traffic to another version of its software.
struct Move {
  VersionId target;
  Millis duration{0};
  MoveState state = MoveState::kRunning;
  std::uint64_t index = 0;  // of the log entry that began it

  bool operator==(const Move&) const = default;
};

// All that operators have decided, as of one index of the replicated log.
struct Decisions {
  std::uint64_t index = 0;
  std::uint64_t routing_version = 0;  // 0: nothing yet
  std::string routing_document;       // as it was received
  std::map<DomainId, DomainDecision> domains;
  std::map<routes::ServiceId, Move> moves;   // the newest of each service
  std::map<ModelId, std::uint64_t> weights;  // newest named version

  bool IsOut(const DomainId& domain) const;
  bool operator==(const Decisions&) const = default;
};

using DecisionsPtr = std::shared_ptr<const Decisions>;

// `with_document` false leaves the routing document out, for a receiver that
// holds this version already.
wire::FleetDecisions ToWire(const Decisions& decisions, bool with_document);
// A left-out document is taken from `known`, which may be null.
Decisions FromWire(const wire::FleetDecisions& message, const Decisions* known);

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_DECISIONS_H_
