#include "endivecart/routes/route_table.h"

#include <algorithm>
#include <cctype>

namespace endivecart::routes {

namespace {

// Returns `host` in lower case, without its port.
std::string NormalizeHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

}  // namespace

RouteTable::RouteTable(RoutingConfigurationPtr configuration)
    : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_->routes)
    by_host_[NormalizeHost(route.host)].push_back(&route);
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const Customer& customer : configuration_->customers) {
    for (const std::string& key : customer.keys)
      by_key_.emplace(key, &customer);
    is_isolated_[customer.id] |= customer.isolated;
  }
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  const auto it = by_host_.find(NormalizeHost(host));
  if (it == by_host_.end())
    return nullptr;
  for (const Route* route : it->second) {
    if (path.starts_with(route->path_prefix))
      return route;
  }
  return nullptr;
}

const Customer* RouteTable::FindCustomer(std::string_view key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : it->second;
}

bool RouteTable::IsIsolated(const CustomerId& customer) const {
  const auto it = is_isolated_.find(customer);
  return it == is_isolated_.end() || it->second;
}

bool RouteTable::NeedsKey(const Route& route) const {
  return route.needs_key && !configuration_->customers.empty();
}

}  // namespace endivecart::routes
