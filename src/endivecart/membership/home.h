#ifndef ENDIVECART_MEMBERSHIP_HOME_H_
#define ENDIVECART_MEMBERSHIP_HOME_H_

#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::membership {

// Returns the candidates ordered by rendezvous (highest random weight) hashing
// of `resource`, best first. Every host computes the same order.
std::vector<HostId> RendezvousOrder(std::string_view resource,
                                    std::vector<HostId> candidates);

// Returns the home of `resource`, the host that lends its slots: the first in
// rendezvous order that is not down. If all candidates are down, returns the
// first of the order. Returns nullopt if there are no candidates.
std::optional<HostId> HomeOf(std::string_view resource,
                             const std::vector<HostId>& candidates,
                             const std::set<HostId>& down);

// Returns the fixed share of `capacity` that the host at `rank` of `hosts` may
// use on its own while it is partitioned from the others. The shares of all
// ranks add up to `capacity`.
int FixedShare(int capacity, int hosts, int rank);

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_HOME_H_
