#ifndef ENDIVECART_QUARANTINE_RELAY_SELECTOR_H_
#define ENDIVECART_QUARANTINE_RELAY_SELECTOR_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/quarantine/reach.h"

namespace endivecart::quarantine {

// Selects the host that relays a request of this host, while it is cut off from
// a service.
class RelaySelector {
 public:
  // Relays that no control host has confirmed for this long are not used.
  static constexpr Millis kMemory{2000};
  // A relay that could not be reached is not used for this long.
  static constexpr Millis kAvoidTime{1000};

  struct Query {
    std::string service;
    // Relays must have been answered since then: the upstreams are up.
    TimePoint cut_off_since{};
    std::function<bool(const DomainId&)> may_be_in;  // null: anywhere
    std::set<HostId> excluded;                       // already tried
  };

  // Replaces the relays, unless there are none.
  void Apply(const std::vector<RelayHost>& relays, TimePoint now);
  // Returns the less loaded of two relays that `random` selects; nullopt if
  // there is none.
  std::optional<RelayHost> Choose(const Query& query,
                                  std::uint64_t random,
                                  TimePoint now) const;
  void OnSent(const HostId& relay) { ++in_progress_[relay]; }
  void OnDone(const HostId& relay);
  void OnUnreachable(const HostId& relay, TimePoint now);

 private:
  bool IsUsable(const RelayHost& relay,
                const Query& query,
                TimePoint now) const;
  int LoadOf(const RelayHost& relay) const;

  std::vector<RelayHost> relays_;
  TimePoint applied_at_{};
  std::map<HostId, int> in_progress_;  // of this host's requests
  std::map<HostId, TimePoint> unreachable_at_;
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_RELAY_SELECTOR_H_
