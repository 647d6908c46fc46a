#ifndef ENDIVECART_FLEET_CACHE_SHARING_H_
#define ENDIVECART_FLEET_CACHE_SHARING_H_

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "endivecart/base/base.h"

namespace endivecart::fleet {

// The customers of one routing configuration, by whether they share cache.
struct CacheCustomers {
  std::set<CustomerId> sharing;
  std::set<CustomerId> isolated;

  bool operator==(const CacheCustomers&) const = default;
};

// Decides when the customers that share cache need a new label for it. A part
// doesn't tell whose request made it. So once a customer that has shared cache
// becomes isolated, all that is under the label of before may be its own, and
// is used no more. Other changes keep the label. Deterministic.
class CacheSharing {
 public:
  CacheSharing() = default;
  // `sharers` must contain all customers that may have shared cache since
  // `generation` began; nullopt: unknown.
  CacheSharing(std::uint64_t generation,
               std::optional<std::set<CustomerId>> sharers);

  // To be called for each configuration that comes into force, in order.
  // `customers` are nullopt if an earlier release did not name them.
  void OnConfiguration(std::uint64_t version,
                       const std::optional<CacheCustomers>& customers);

  // The version of the configuration with which the label began; 0: the first.
  std::uint64_t generation() const { return generation_; }
  const std::optional<std::set<CustomerId>>& sharers() const {
    return sharers_;
  }
  bool operator==(const CacheSharing&) const = default;

 private:
  std::uint64_t generation_ = 0;
  std::optional<std::set<CustomerId>> sharers_{std::in_place};
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_CACHE_SHARING_H_
