#ifndef ENDIVECART_FLEET_REACH_MESSAGES_H_
#define ENDIVECART_FLEET_REACH_MESSAGES_H_

#include <vector>

#include "endivecart/quarantine/quarantine.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

using RelayRecords = google::protobuf::RepeatedPtrField<wire::RelayHostRecord>;

// Convert between policy types and messages. Times are sent as ages.
wire::HostReachRecord ToWire(const quarantine::HostReach& reach, TimePoint now);
quarantine::HostReach FromWire(const wire::HostReachRecord& record,
                               TimePoint now);
RelayRecords ToWire(const std::vector<quarantine::RelayHost>& relays,
                    TimePoint now);
std::vector<quarantine::RelayHost> FromWire(const RelayRecords& records,
                                            TimePoint now);

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_REACH_MESSAGES_H_
