#ifndef ENDIVECART_FLEET_DECISIONS_H_
#define ENDIVECART_FLEET_DECISIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "endivecart/base/base.h"
#include "endivecart/routes/routes.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// Whether a failure domain is out, so that its upstreams get no work.
struct DomainDecision {
  bool out = false;
  std::uint64_t index = 0;  // of the log entry that decided it

  bool operator==(const DomainDecision&) const = default;
};

enum class MoveState { kRunning, kCompleted, kRolledBack };

std::string_view MoveStateName(MoveState state);

// A move of the traffic of a service to another version of its software.
struct Move {
  VersionId target;
  Millis duration{0};
  MoveState state = MoveState::kRunning;
  std::uint64_t index = 0;  // of the log entry that began it

  bool operator==(const Move&) const = default;
};

// The operators' decisions as of one index of the replicated log.
struct Decisions {
  std::uint64_t index = 0;
  std::uint64_t routing_version = 0;  // 0: none yet
  std::string routing_document;       // as it was received
  // With `routing_version`; see CacheSharing::generation().
  std::uint64_t cache_generation = 0;
  std::map<DomainId, DomainDecision> domains;
  std::map<routes::ServiceId, Move> moves;   // the latest of each service
  std::map<ModelId, std::uint64_t> weights;  // newest version to load
  // The last kNamedVersions versions of each model and when they were named, in
  // Unix time of the proposer; 0 if unknown.
  std::map<ModelId, std::map<std::uint64_t, std::uint64_t>> weights_named_ms;

  static constexpr std::size_t kNamedVersions = 16;

  bool IsOut(const DomainId& domain) const;
  bool operator==(const Decisions&) const = default;
};

using DecisionsPtr = std::shared_ptr<const Decisions>;

// Omits the routing document unless `with_document` is true, for a receiver
// that already has this version.
wire::FleetDecisions ToWire(const Decisions& decisions, bool with_document);
// `routing_document`: that of the message's routing version, which the message
// may omit.
Decisions FromWire(const wire::FleetDecisions& message,
                   std::string routing_document);

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_DECISIONS_H_
