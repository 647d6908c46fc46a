#include "endivecart/node/control_metrics.h"

#include <string>

namespace endivecart::node {

namespace {

// Sets a value that this process counts elsewhere.
void SetCount(MetricsRegistry& metrics,
              std::string_view name,
              std::string_view labels,
              std::uint64_t value) {
  metrics.Set(name, labels, static_cast<double>(value));
}

void RecordBus(const std::string& labels,
               const fleet::FleetBus& bus,
               MetricsRegistry& metrics) {
  const transport::BusCounters& counters = bus.counters();
  const auto set = [&](const char* name, std::uint64_t value) {
    SetCount(metrics, name, labels, value);
  };
  set("endivecart_bus_sent_messages", counters.sent_messages);
  set("endivecart_bus_sent_bytes", counters.sent_bytes);
  set("endivecart_bus_received_messages", counters.received_messages);
  set("endivecart_bus_received_bytes", counters.received_bytes);
  set("endivecart_bus_dropped_messages", counters.dropped_messages);
  for (const auto& [kind, of_kind] : counters.by_kind) {
    const std::string kind_labels =
        labels + ",kind=\"" + std::string(transport::EnvelopeKindName(kind)) +
        "\"";
    const auto set_kind = [&](const char* name, std::uint64_t value) {
      SetCount(metrics, name, kind_labels, value);
    };
    set_kind("endivecart_bus_kind_sent_messages", of_kind.sent_messages);
    set_kind("endivecart_bus_kind_sent_bytes", of_kind.sent_bytes);
    set_kind("endivecart_bus_kind_received_messages",
             of_kind.received_messages);
    set_kind("endivecart_bus_kind_received_bytes", of_kind.received_bytes);
  }
}

}  // namespace

void RecordControlMetrics(const fleet::FleetBus& log_bus,
                          const fleet::FleetBus& fleet_bus,
                          const fleet::FleetFeed& feed,
                          const fleet::PollQueue& polls,
                          MetricsRegistry& metrics) {
  RecordBus("bus=\"log\"", log_bus, metrics);
  RecordBus("bus=\"fleet\"", fleet_bus, metrics);
  for (const auto& [part, bytes] : feed.sent_bytes()) {
    SetCount(metrics, "endivecart_update_sent_bytes",
             "part=\"" + std::string(part) + "\"", bytes);
  }
  SetCount(metrics, "endivecart_documents_unconfirmed_bytes", "",
           feed.transfers().bytes_under_way());
  SetCount(metrics, "endivecart_documents_encoded", "",
           feed.transfers().encoded());
  SetCount(metrics, "endivecart_polls_waiting", "", polls.waiting());
  SetCount(metrics, "endivecart_polls_dropped", "", polls.dropped());
  SetCount(metrics, "endivecart_polls_too_long", "", feed.dropped_polls());
}

}  // namespace endivecart::node
