#ifndef ENDIVECART_GATEWAY_REGION_MAP_H_
#define ENDIVECART_GATEWAY_REGION_MAP_H_

#include <map>
#include <string>

#include "endivecart/routes/routes.h"

namespace endivecart::gateway {

// Maps failure domains to regions, and decides where requests may run.
class RegionMap {
 public:
  RegionMap() = default;
  explicit RegionMap(std::map<DomainId, std::string> regions);

  // Returns an empty string for an unknown domain.
  const std::string& RegionOf(const DomainId& domain) const;
  // Returns whether a request of this route and customer, and the cache of its
  // prompt, may be in `domain`. The domain must be allowed by both the route
  // and the customer; an unknown domain is in no region. `customer` may be
  // null.
  bool Allows(const routes::Route& route,
              const routes::Customer* customer,
              const DomainId& domain) const;

 private:
  std::map<DomainId, std::string> regions_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_REGION_MAP_H_
