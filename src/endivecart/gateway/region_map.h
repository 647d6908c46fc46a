#ifndef ENDIVECART_GATEWAY_REGION_MAP_H_
#define ENDIVECART_GATEWAY_REGION_MAP_H_

#include <map>
#include <string>

#include "endivecart/routes/routes.h"

namespace endivecart::gateway {

// Which failure domains lie in which region, and where requests may run.
class RegionMap {
 public:
  RegionMap() = default;
  explicit RegionMap(std::map<DomainId, std::string> regions);

  // Empty for a domain that isn't known.
  const std::string& RegionOf(const DomainId& domain) const;
  // Whether a request of this route and customer, and the cache of its prompt,
  // may be in the domain. Where both are bound to regions, both count; a domain
  // that isn't known is in none. `customer` may be null.
  bool Allows(const routes::Route& route,
              const routes::Customer* customer,
              const DomainId& domain) const;

 private:
  std::map<DomainId, std::string> regions_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_REGION_MAP_H_
