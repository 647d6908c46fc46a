#ifndef ENDIVECART_FLEET_QUARANTINE_MESSAGES_H_
#define ENDIVECART_FLEET_QUARANTINE_MESSAGES_H_

#include <string>
#include <vector>

#include "endivecart/quarantine/quarantine.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// Conversions between times on this process's clock and ages at `now`.
wire::QuarantineFindings ToWire(const quarantine::HostFindings& findings,
                                TimePoint now);
wire::QuarantineRuling ToWire(const quarantine::Ruling& ruling, TimePoint now);
quarantine::HostFindings FromWire(const wire::QuarantineFindings& message,
                                  TimePoint now);
quarantine::Ruling FromWire(const wire::QuarantineRuling& message,
                            TimePoint now);

// Convert quarantines to and from the contents of a control host's file.
// `unix_ms` is the time of day, by which their ages grow while the process
// doesn't run. Returns none if the contents can't be parsed.
std::string ToStored(const std::vector<quarantine::Quarantine>& quarantines,
                     TimePoint now,
                     std::uint64_t unix_ms);
std::vector<quarantine::Quarantine> FromStored(const std::string& contents,
                                               TimePoint now,
                                               std::uint64_t unix_ms);

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_QUARANTINE_MESSAGES_H_
