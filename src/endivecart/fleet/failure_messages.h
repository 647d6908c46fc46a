#ifndef ENDIVECART_FLEET_FAILURE_MESSAGES_H_
#define ENDIVECART_FLEET_FAILURE_MESSAGES_H_

#include <vector>

#include "endivecart/quarantine/quarantine.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// Convert failures of upstreams to and from messages, where times are ages
// relative to `now`. Failure counts above any sensible one are limited.
using FailureRecords =
    google::protobuf::RepeatedPtrField<wire::UpstreamFailuresRecord>;

FailureRecords ToWire(const std::vector<quarantine::UpstreamFailures>& failures,
                      TimePoint now);
std::vector<quarantine::UpstreamFailures> FromWire(
    const FailureRecords& records,
    TimePoint now);
wire::FailureRulingRecord ToWire(const quarantine::FailureRuling& ruling,
                                 TimePoint now);
quarantine::FailureRuling FromWire(const wire::FailureRulingRecord& record,
                                   TimePoint now);

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_FAILURE_MESSAGES_H_
