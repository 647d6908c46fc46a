#ifndef ENDIVECART_QUARANTINE_RELAY_TABLE_H_
#define ENDIVECART_QUARANTINE_RELAY_TABLE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "endivecart/quarantine/reach.h"

namespace endivecart::quarantine {

// A control host's knowledge of which hosts reach the upstreams of which
// services. Tells a host that is cut off which others may relay its requests:
// that they are answered shows that the upstreams are up.
//
// Soft state: hosts repeat their reports with each poll.
class RelayTable {
 public:
  // Reports and answers that are older prove nothing.
  static constexpr Millis kFresh{2000};
  // Relays that one host is told of. Different hosts are told of different
  // ones, so that no relay gets much more than the others.
  static constexpr std::size_t kMaxRelays = 8;

  void OnReport(const HostId& host, const HostReach& reach, TimePoint now);
  // Returns hosts that reach a service from which `asker` is cut off.
  std::vector<RelayHost> RelaysFor(const HostId& asker, TimePoint now) const;
  void Expire(TimePoint now);
  std::size_t size() const { return hosts_.size(); }

 private:
  struct Record {
    HostReach reach;
    TimePoint reported_at{};
    std::uint64_t hash = 0;  // of the host's id
  };

  static bool CanRelayFor(const HostReach& asker,
                          const Record& relay,
                          TimePoint now);

  std::map<HostId, Record> hosts_;
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_RELAY_TABLE_H_
