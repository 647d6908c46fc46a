#include "endivecart/fleet/cache_sharing.h"

#include <algorithm>
#include <utility>

namespace endivecart::fleet {

CacheSharing::CacheSharing(std::uint64_t generation,
                           std::optional<std::set<CustomerId>> sharers)
    : generation_(generation), sharers_(std::move(sharers)) {}

void CacheSharing::OnConfiguration(
    std::uint64_t version,
    const std::optional<CacheCustomers>& customers) {
  if (!customers) {
    sharers_.reset();
    return;
  }
  const auto may_have_shared = [this](const CustomerId& customer) {
    return !sharers_ || sharers_->contains(customer);
  };
  if (std::any_of(customers->isolated.begin(), customers->isolated.end(),
                  may_have_shared)) {
    generation_ = version;
    sharers_.emplace();
  }
  // Stays unknown until a label begins whose sharers are all known.
  if (!sharers_)
    return;
  for (const CustomerId& customer : customers->sharing) {
    // A customer may be listed as both; it shares nothing then.
    if (!customers->isolated.contains(customer))
      sharers_->insert(customer);
  }
}

}  // namespace endivecart::fleet
