#ifndef ENDIVECART_ROUTING_ROUTING_VALUES_H_
#define ENDIVECART_ROUTING_ROUTING_VALUES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::routing {

// The state of one upstream that a decision uses.
struct UpstreamView {
  UpstreamId id;
  DomainId domain;
  ModelId model;
  std::vector<VersionId> versions;
  // Changes when the upstream restarts or loses its prefix cache.
  std::uint64_t cache_generation = 0;
  int free_slots = 0;  // that this host may use now
  double prefill_tokens_per_ms = 1;
  double queue_ms = 0;       // until the prefill of a new prompt would start
  double correction_ms = 0;  // observed minus predicted, smoothed
  bool leaving = false;
  bool domain_out = false;
  bool breaker_open = false;

  bool operator==(const UpstreamView&) const = default;
};

// A prefix of the prompt in a cache store, from which it can be imported.
struct StoreSource {
  std::string store;
  DomainId domain;
  int tokens = 0;
  double import_ms = 0;

  bool operator==(const StoreSource&) const = default;
};

// Prompt tokens that an upstream's engine probably has in its cache.
struct EngineSource {
  UpstreamId upstream;
  std::uint64_t cache_generation = 0;
  int tokens = 0;

  bool operator==(const EngineSource&) const = default;
};

// The request to be placed.
struct RouteRequest {
  ModelId model;
  VersionId version;
  int prompt_tokens = 0;
  DomainId home_domain;  // of the deciding host
  bool fresh = true;     // the host's configuration is known to be the newest
  std::uint64_t affinity = 0;  // hash of customer and first piece
  std::span<const StoreSource> stores;
  std::span<const EngineSource> engines;
  std::span<const UpstreamId> excluded;  // already tried
};

enum class SourceKind { kRecompute, kEngine, kStore };

std::string_view SourceKindName(SourceKind kind);

// The chosen upstream, and the figures behind the choice.
struct Decision {
  std::size_t upstream = 0;  // index into the views
  SourceKind source = SourceKind::kRecompute;
  // Index into the request's stores: the source for kStore; for kEngine the
  // store from which the upstream can import what it has evicted meanwhile.
  std::optional<std::size_t> store;
  int cached_tokens = 0;  // that need not be recomputed
  double predicted_ms = 0;
  int candidates = 0;
  std::size_t runner_up = 0;  // equals `upstream` if there is no other
  double runner_up_ms = 0;

  bool operator==(const Decision&) const = default;
};

enum class RoutingErrorCode {
  kNoUpstream,   // none serves this model and version
  kUnavailable,  // all that serve it are out, leaving or failing
  kNoFreeSlot,   // some are eligible, but full
  kExhausted,    // all eligible ones were already tried
};

struct RoutingError {
  RoutingErrorCode code;

  bool operator==(const RoutingError&) const = default;
};

std::string_view RoutingErrorName(RoutingErrorCode code);

}  // namespace endivecart::routing

#endif  // ENDIVECART_ROUTING_ROUTING_VALUES_H_
