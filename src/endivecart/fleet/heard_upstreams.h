#ifndef ENDIVECART_FLEET_HEARD_UPSTREAMS_H_
#define ENDIVECART_FLEET_HEARD_UPSTREAMS_H_

#include <functional>
#include <vector>

#include "endivecart/fleet/upstream_names.h"
#include "endivecart/transport/transport.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::fleet {

// Called with an upstream and a time at or after which it announced itself.
// Returns whether the upstream is known.
using HeardCallback = std::function<bool(const UpstreamId&, TimePoint)>;

// Unit of the ages in wire::HeardUpstreams. They are rounded up, so that no
// route of the message, however long, makes an upstream seem heard later than
// it was.
inline constexpr Millis kHeardAgeUnit{50};

// Encodes when these upstreams were heard, and the names that the receiver
// lacks.
wire::HeardUpstreams EncodeHeard(
    const std::vector<const upstreams::AnnouncedUpstream*>& heard,
    const KnownNames& known,
    UpstreamNames& names,
    TimePoint now);

// Ignores entries whose names are missing. Returns false if an upstream is not
// known.
bool ApplyHeard(const wire::HeardUpstreams& heard,
                ReceivedNames& names,
                TimePoint now,
                const HeardCallback& on_heard);

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_HEARD_UPSTREAMS_H_
