#ifndef ENDIVECART_DUTIES_USAGE_MESSAGES_H_
#define ENDIVECART_DUTIES_USAGE_MESSAGES_H_

#include <vector>

#include "endivecart/duties/usage_counter.h"
#include "endivecart/transport/transport.h"

namespace endivecart::duties {

wire::UsageReport ToWire(const UsageReport& report);
std::vector<UsageEntry> EntriesOf(const wire::UsageReport& report);

}  // namespace endivecart::duties

#endif  // ENDIVECART_DUTIES_USAGE_MESSAGES_H_
