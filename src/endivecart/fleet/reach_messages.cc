#include "endivecart/fleet/reach_messages.h"

#include <algorithm>

#include "endivecart/fleet/message_times.h"

namespace endivecart::fleet {

namespace {

constexpr std::uint32_t kMaxPort = 65535;

}  // namespace

wire::HostReachRecord ToWire(const quarantine::HostReach& reach,
                             TimePoint now) {
  wire::HostReachRecord record;
  record.set_domain(reach.domain.str());
  record.set_relay_port(static_cast<std::uint32_t>(reach.relay_port));
  record.set_requests(static_cast<std::uint32_t>(std::max(reach.requests, 0)));
  for (const quarantine::ServiceReach& service : reach.services) {
    wire::ServiceReachRecord& out = *record.add_services();
    out.set_service(service.service);
    out.set_is_cut_off(service.is_cut_off);
    out.set_answered_age_ms(AgeMillis(service.answered_at, now));
  }
  return record;
}

quarantine::HostReach FromWire(const wire::HostReachRecord& record,
                               TimePoint now) {
  quarantine::HostReach reach;
  reach.domain = DomainId(record.domain());
  if (record.relay_port() <= kMaxPort)
    reach.relay_port = static_cast<int>(record.relay_port());
  reach.requests =
      static_cast<int>(std::min<std::uint32_t>(record.requests(), INT32_MAX));
  for (const wire::ServiceReachRecord& service : record.services()) {
    if (!AcceptName(InputSource::kPeer, "service", service.service()))
      continue;
    reach.services.push_back({service.service(), service.is_cut_off(),
                              now - Millis(service.answered_age_ms())});
  }
  return reach;
}

RelayRecords ToWire(const std::vector<quarantine::RelayHost>& relays,
                    TimePoint now) {
  RelayRecords records;
  for (const quarantine::RelayHost& relay : relays) {
    wire::RelayHostRecord& record = *records.Add();
    record.set_host(relay.host.str());
    *record.mutable_reach() = ToWire(relay.reach, now);
  }
  return records;
}

std::vector<quarantine::RelayHost> FromWire(const RelayRecords& records,
                                            TimePoint now) {
  std::vector<quarantine::RelayHost> relays;
  for (const wire::RelayHostRecord& record : records) {
    if (record.host().empty() || record.reach().relay_port() == 0 ||
        record.reach().relay_port() > kMaxPort) {
      LogLine("fleet.relay_unusable").Add("host", record.host()).Warn();
      continue;
    }
    relays.push_back({HostId(record.host()), FromWire(record.reach(), now)});
  }
  return relays;
}

}  // namespace endivecart::fleet
