#include "endivecart/gateway/region_map.h"

#include <algorithm>
#include <utility>

namespace endivecart::gateway {

namespace {

bool Contains(const std::vector<std::string>& regions,
              const std::string& region) {
  return regions.empty() ||
         std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

RegionMap::RegionMap(std::map<DomainId, std::string> regions)
    : regions_(std::move(regions)) {}

const std::string& RegionMap::RegionOf(const DomainId& domain) const {
  static const std::string kUnknown;
  const auto it = regions_.find(domain);
  return it == regions_.end() ? kUnknown : it->second;
}

bool RegionMap::Allows(const routes::Route& route,
                       const routes::Customer* customer,
                       const DomainId& domain) const {
  const std::string& region = RegionOf(domain);
  return Contains(route.regions, region) &&
         (customer == nullptr || Contains(customer->regions, region));
}

}  // namespace endivecart::gateway
