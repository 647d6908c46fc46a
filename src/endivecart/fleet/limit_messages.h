#ifndef ENDIVECART_FLEET_LIMIT_MESSAGES_H_
#define ENDIVECART_FLEET_LIMIT_MESSAGES_H_

#include <vector>

#include "endivecart/limits/limits.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

using LimitRecords = google::protobuf::RepeatedPtrField<wire::NamedLimitRecord>;

// Conversions between times on this process's clock and ages at `now`.
LimitRecords ToWire(const std::vector<limits::NamedLimit>& limits,
                    TimePoint now);
// Leaves out records without a valid limit.
std::vector<limits::NamedLimit> FromWire(const LimitRecords& records,
                                         TimePoint now);

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_LIMIT_MESSAGES_H_
