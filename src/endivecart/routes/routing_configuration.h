#ifndef ENDIVECART_ROUTES_ROUTING_CONFIGURATION_H_
#define ENDIVECART_ROUTES_ROUTING_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/settings/settings.h"

namespace endivecart::routes {

using ServiceId = Id<struct ServiceTag>;

enum class RequestKind {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // runs once at most
  kStream,         // a stream of events; runs once, unless it is resumable
};

std::string_view RequestKindName(RequestKind kind);

struct WeightedService {
  ServiceId service;
  int weight = 0;

  bool operator==(const WeightedService&) const = default;
};

struct Route {
  std::string name;
  std::string host;         // compared without case, without a port
  std::string path_prefix;  // begins and ends with a slash
  RequestKind kind = RequestKind::kNonIdempotent;
  Millis time_limit{0};      // longest time a request may stay unanswered
  Millis latency_target{0};  // to the answer, or to a stream's first event
  Millis gap_target{0};      // longest pause between a stream's events
  int priority = 0;          // 0 is the most urgent
  std::vector<WeightedService> services;
  int max_attempts = 1;         // upstreams that one request may be sent to
  bool needs_key = true;        // false: open to anybody
  bool carries_prompt = false;  // names a model and the parts of a prompt
  bool resumable = false;       // a stream may go on at another upstream
  std::vector<std::string> regions;  // where it may run; empty: anywhere

  bool operator==(const Route&) const = default;
};

// The model engines behind a service.
struct EngineLimits {
  int slots = 0;                     // requests of one batch
  std::int64_t cache_tokens = 0;     // memory for running and cached prompts
  std::int64_t bytes_per_token = 0;  // of cache
  double link_mbps = 0;              // for moving cache
  int max_event_readers = 0;         // open reads of cache events, for all
  std::vector<ModelId> models;

  bool operator==(const EngineLimits&) const = default;
};

// A service that keeps prompts' cache and serves no requests.
struct CacheStore {
  settings::Endpoint address;
  DomainId domain;
  std::int64_t cache_tokens = 0;
  double link_mbps = 0;
  int max_event_readers = 0;
  Millis transfer_delay{0};  // before each transfer
  bool evicts_itself = true;

  bool operator==(const CacheStore&) const = default;
};

struct Service {
  ServiceId id;
  std::string health_path;
  int max_connections = 0;  // to one upstream, from all callers together
  Millis cold_time{0};  // an upstream bears little this long after its start
  double cold_requests_per_s = 0;  // that a cold upstream bears
  std::optional<EngineLimits> engine;
  std::optional<CacheStore> store;

  bool operator==(const Service&) const = default;
};

struct Customer {
  CustomerId id;
  std::vector<std::string> keys;
  std::optional<int> priority;  // goes before the route's
  bool isolated = false;        // shares no cache with other customers
  std::vector<std::string> regions;

  bool operator==(const Customer&) const = default;
};

struct CallerLimits {
  std::size_t max_header_bytes = 16UL << 10;
  std::size_t max_body_bytes = 4UL << 20;
  Millis header_timeout{10000};
  Millis idle_timeout{15000};

  bool operator==(const CallerLimits&) const = default;
};

// One whole version of what operators decide. Immutable once it is in force.
struct RoutingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  // Without customers no route needs a key.
  std::vector<Customer> customers;
  CallerLimits limits;

  const Service* FindService(const ServiceId& id) const;
  bool operator==(const RoutingConfiguration&) const = default;
};

using RoutingConfigurationPtr = std::shared_ptr<const RoutingConfiguration>;

enum class RoutingErrorCode {
  kUnreadable,
  kUnknownService,
  kDoubleRoute,
  kNoWeight,
  kNoTimeLimit,
  kSharedKey,
};

struct RoutingError {
  RoutingErrorCode code;
  std::string detail;

  bool operator==(const RoutingError&) const = default;
};

// Checks what no single field shows: services that exist, routes that differ,
// weights that add up to more than 0, time limits, keys of one customer only.
std::optional<RoutingError> CheckConfiguration(
    const RoutingConfiguration& configuration);

}  // namespace endivecart::routes

#endif  // ENDIVECART_ROUTES_ROUTING_CONFIGURATION_H_
