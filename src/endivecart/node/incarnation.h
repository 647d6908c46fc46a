#ifndef ENDIVECART_NODE_INCARNATION_H_
#define ENDIVECART_NODE_INCARNATION_H_

#include <cstdint>

#include "endivecart/base/base.h"

namespace endivecart::node {

// Internal. Returns a number that distinguishes a process started now from
// earlier ones on this host. Also used as its random seed.
inline std::uint64_t MakeIncarnation(const HostId& host, TimePoint now) {
  return StableHash(host.str(),
                    static_cast<std::uint64_t>(now.time_since_epoch().count()));
}

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_INCARNATION_H_
