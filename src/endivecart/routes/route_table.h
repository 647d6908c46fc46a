#ifndef ENDIVECART_ROUTES_ROUTE_TABLE_H_
#define ENDIVECART_ROUTES_ROUTE_TABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "endivecart/routes/routing_configuration.h"

namespace endivecart::routes {

// Looks up routes and customers in one configuration.
class RouteTable {
 public:
  explicit RouteTable(RoutingConfigurationPtr configuration);

  // Returns the route of `host` with the longest matching prefix of `path`, or
  // nullptr if there is none.
  const Route* Match(std::string_view host, std::string_view path) const;
  // Returns the customer with this key, or nullptr if there is none.
  const Customer* FindCustomer(std::string_view key) const;
  // Returns whether the customer's cache must not be shared. That of a customer
  // that the configuration doesn't have is not, as it may return isolated.
  bool IsIsolated(const CustomerId& customer) const;
  // Returns whether requests on this route need a customer's key.
  bool NeedsKey(const Route& route) const;

  const RoutingConfiguration& configuration() const { return *configuration_; }

 private:
  RoutingConfigurationPtr configuration_;
  // By lower-case host; sorted by descending length of the prefix.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string_view, const Customer*> by_key_;
  std::unordered_map<CustomerId, bool> is_isolated_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace endivecart::routes

#endif  // ENDIVECART_ROUTES_ROUTE_TABLE_H_
