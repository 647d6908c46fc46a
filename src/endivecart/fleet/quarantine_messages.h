#ifndef ENDIVECART_FLEET_QUARANTINE_MESSAGES_H_
#define ENDIVECART_FLEET_QUARANTINE_MESSAGES_H_

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

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_QUARANTINE_MESSAGES_H_
