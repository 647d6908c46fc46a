#ifndef ENDIVECART_NODE_INCARNATION_H_
#define ENDIVECART_NODE_INCARNATION_H_

#include <cstdint>

#include "endivecart/base/base.h"

namespace endivecart::node {

// Internal. A number that tells a process started now on this host from earlier
// ones; also the seed of its random choices.
inline std::uint64_t IncarnationOf(const HostId& host, TimePoint now) {
  return StableHash(host.str(),
                    static_cast<std::uint64_t>(now.time_since_epoch().count()));
}

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_INCARNATION_H_
