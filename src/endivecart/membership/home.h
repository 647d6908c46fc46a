#ifndef ENDIVECART_MEMBERSHIP_HOME_H_
#define ENDIVECART_MEMBERSHIP_HOME_H_

#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::membership {

// The candidates in order of rendezvous weight for `resource`, best first.
// Every host computes the same order.
std::vector<HostId> RendezvousOrder(std::string_view resource,
                                    std::vector<HostId> candidates);

// The host that lends the slots of `resource`: the first in rendezvous order
// that is not down. If all are down, homes stay as if none were.
std::optional<HostId> HomeOf(std::string_view resource,
                             const std::vector<HostId>& candidates,
                             const std::set<HostId>& down);

// The part of `capacity` that the host at `rank` of `hosts` may use without
// asking anybody while it is cut off. The parts of all ranks add up to
// `capacity`.
int FixedPart(int capacity, int hosts, int rank);

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_HOME_H_
