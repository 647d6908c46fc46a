#include "endivecart/duties/usage_messages.h"

namespace endivecart::duties {

wire::UsageReport ToWire(const UsageReport& report) {
  wire::UsageReport message;
  message.set_complete_until_ms(report.complete_until_ms);
  for (const UsageEntry& entry : report.entries) {
    wire::UsageRecord& record = *message.add_records();
    record.set_window(entry.window);
    record.set_customer(entry.customer.str());
    record.set_count(entry.count);
  }
  return message;
}

std::vector<UsageEntry> EntriesOf(const wire::UsageReport& report) {
  std::vector<UsageEntry> entries;
  entries.reserve(static_cast<std::size_t>(report.records_size()));
  for (const wire::UsageRecord& record : report.records()) {
    entries.push_back(
        {record.window(), CustomerId(record.customer()), record.count()});
  }
  return entries;
}

}  // namespace endivecart::duties
