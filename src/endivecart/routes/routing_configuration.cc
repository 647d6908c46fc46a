#include "endivecart/routes/routing_configuration.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace endivecart::routes {

std::string_view RequestKindName(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non_idempotent";
    case RequestKind::kStream:
      return "stream";
  }
  return "";
}

const Service* RoutingConfiguration::FindService(const ServiceId& id) const {
  const auto it = std::find_if(services.begin(), services.end(),
                               [&](const Service& s) { return s.id == id; });
  return it == services.end() ? nullptr : &*it;
}

namespace {

std::optional<RoutingError> CheckRoute(const RoutingConfiguration& all,
                                       const Route& route) {
  int total = 0;
  for (const WeightedService& target : route.services) {
    if (all.FindService(target.service) == nullptr) {
      return RoutingError{RoutingErrorCode::kUnknownService,
                          "route '" + route.name + "' names service '" +
                              target.service.str() + "', which is not listed"};
    }
    if (target.weight < 0) {
      return RoutingError{RoutingErrorCode::kNoWeight,
                          "route '" + route.name + "' has a negative weight"};
    }
    total += target.weight;
  }
  if (total <= 0) {
    return RoutingError{
        RoutingErrorCode::kNoWeight,
        "the weights of route '" + route.name + "' add up to 0"};
  }
  if (route.time_limit <= Millis(0)) {
    return RoutingError{RoutingErrorCode::kNoTimeLimit,
                        "route '" + route.name + "' has no time limit"};
  }
  return std::nullopt;
}

std::optional<RoutingError> CheckScaling(const Service& service) {
  const Scaling& scaling = *service.scaling;
  const bool has_boot_time = scaling.boot_time > Millis(0) &&
                             scaling.boot_time <= Scaling::kMaxBootTime;
  const bool has_range = scaling.min_servers >= 0 && scaling.max_servers > 0 &&
                         scaling.min_servers <= scaling.max_servers;
  if (has_boot_time && has_range)
    return std::nullopt;
  return RoutingError{RoutingErrorCode::kBadScaling,
                      "service '" + service.id.str() + "' has a bad " +
                          (has_boot_time ? "range of servers" : "boot time")};
}

}  // namespace

std::optional<RoutingError> CheckConfiguration(
    const RoutingConfiguration& configuration) {
  std::unordered_map<std::string_view, std::unordered_set<std::string_view>>
      seen_prefixes;  // by host
  for (const Route& route : configuration.routes) {
    if (auto error = CheckRoute(configuration, route))
      return error;
    if (!seen_prefixes[route.host].insert(route.path_prefix).second) {
      return RoutingError{RoutingErrorCode::kDuplicateRoute,
                          "two routes have host '" + route.host +
                              "' and prefix '" + route.path_prefix + "'"};
    }
  }
  for (const Service& service : configuration.services) {
    if (!service.scaling)
      continue;
    if (auto error = CheckScaling(service))
      return error;
  }
  std::set<std::string> keys;
  for (const Customer& customer : configuration.customers) {
    std::set<std::string> own(customer.keys.begin(), customer.keys.end());
    for (const std::string& key : own) {
      if (!keys.insert(key).second) {
        return RoutingError{
            RoutingErrorCode::kSharedKey,
            "customer '" + customer.id.str() + "' shares a key with another"};
      }
    }
  }
  return std::nullopt;
}

}  // namespace endivecart::routes
