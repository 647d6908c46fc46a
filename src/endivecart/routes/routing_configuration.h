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
  kNonIdempotent,  // may run at most once
  kStream,         // a stream of events; runs at most once unless resumable
};

std::string_view RequestKindName(RequestKind kind);

struct WeightedService {
  ServiceId service;
  int weight = 0;

  bool operator==(const WeightedService&) const = default;
};

struct Route {
  std::string name;
  std::string host;         // compared case-insensitively and without port
  std::string path_prefix;  // begins and ends with a slash
  RequestKind kind = RequestKind::kNonIdempotent;
  Millis time_limit{0};      // maximum time until a request is answered
  Millis latency_target{0};  // to the answer, or to a stream's first event
  Millis gap_target{0};      // maximum time between events of a stream
  int priority = 0;          // 0 is the most urgent
  std::vector<WeightedService> services;
  int max_attempts = 1;              // maximum runs of one request
  bool needs_key = true;             // false: open to any caller
  bool carries_prompt = false;       // requests have a model and prompt parts
  bool resumable = false;            // streams can be resumed elsewhere
  std::vector<std::string> regions;  // allowed regions; empty: any

  bool operator==(const Route&) const = default;
};

// Limits of a service's model engines.
struct EngineLimits {
  int slots = 0;                     // requests in one batch
  std::int64_t cache_tokens = 0;     // memory for running and cached prompts
  std::int64_t bytes_per_token = 0;  // of cache
  double link_mbps = 0;              // for cache transfers
  int max_event_readers = 0;         // concurrent reads of cache events, in all
  std::vector<ModelId> models;

  bool operator==(const EngineLimits&) const = default;
};

// A service that stores cache of prompts and serves no requests.
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

// How many servers of a service each failure domain may have.
struct Scaling {
  // A longer boot time is taken for a mistake.
  static constexpr Millis kMaxBootTime{std::chrono::hours(1)};

  int min_servers = 0;
  int max_servers = 0;
  Millis boot_time{0};  // from a request for a server until it serves

  bool operator==(const Scaling&) const = default;
};

struct Service {
  ServiceId id;
  std::string health_path;
  int max_connections = 0;         // to one upstream, from all callers together
  Millis cold_time{0};             // time after start with limited rate
  double cold_requests_per_s = 0;  // limit of a cold upstream
  std::optional<EngineLimits> engine;
  std::optional<CacheStore> store;
  std::optional<Scaling> scaling;  // nullopt: the operators scale it

  bool operator==(const Service&) const = default;
};

struct Customer {
  CustomerId id;
  std::vector<std::string> keys;
  std::optional<int> priority;  // overrides the route's
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

// One complete version of the operators' routing document. Immutable once it is
// in force.
struct RoutingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  // If empty, no route needs a key.
  std::vector<Customer> customers;
  CallerLimits limits;

  const Service* FindService(const ServiceId& id) const;
  bool operator==(const RoutingConfiguration&) const = default;
};

using RoutingConfigurationPtr = std::shared_ptr<const RoutingConfiguration>;

enum class RoutingErrorCode {
  kUnreadable,
  kUnknownService,
  kDuplicateRoute,
  kNoWeight,
  kNoTimeLimit,
  kSharedKey,
  kBadScaling,
};

struct RoutingError {
  RoutingErrorCode code;
  std::string detail;

  bool operator==(const RoutingError&) const = default;
};

// Checks the consistency of a configuration: services exist, no two routes have
// the same host and prefix, the weights of a route have a positive sum, time
// limits are positive, no two customers share a key, and the limits of scaled
// services are consistent. Returns the first error, or nullopt if there is
// none.
std::optional<RoutingError> CheckConfiguration(
    const RoutingConfiguration& configuration);

}  // namespace endivecart::routes

#endif  // ENDIVECART_ROUTES_ROUTING_CONFIGURATION_H_
