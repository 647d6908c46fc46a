#include "endivecart/membership/home.h"

#include <algorithm>
#include <utility>

namespace endivecart::membership {

std::vector<HostId> RendezvousOrder(std::string_view resource,
                                    std::vector<HostId> candidates) {
  const std::uint64_t seed = StableHash(resource);
  std::sort(candidates.begin(), candidates.end(),
            [&](const HostId& a, const HostId& b) {
              const auto weight_a = StableHash(a.str(), seed);
              const auto weight_b = StableHash(b.str(), seed);
              return weight_a != weight_b ? weight_a > weight_b : a < b;
            });
  return candidates;
}

std::optional<HostId> HomeOf(std::string_view resource,
                             const std::vector<HostId>& candidates,
                             const std::set<HostId>& down) {
  const std::vector<HostId> order = RendezvousOrder(resource, candidates);
  if (order.empty())
    return std::nullopt;
  const auto up =
      std::find_if(order.begin(), order.end(),
                   [&](const HostId& h) { return !down.contains(h); });
  return up == order.end() ? order.front() : *up;
}

int FixedShare(int capacity, int hosts, int rank) {
  if (hosts <= 0)
    return 0;
  return capacity / hosts + (rank < capacity % hosts ? 1 : 0);
}

}  // namespace endivecart::membership
