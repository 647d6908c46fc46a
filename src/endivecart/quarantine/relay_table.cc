#include "endivecart/quarantine/relay_table.h"

#include <algorithm>
#include <utility>

namespace endivecart::quarantine {

void RelayTable::OnReport(const HostId& host,
                          const HostReach& reach,
                          TimePoint now) {
  hosts_[host] = {reach, now, StableHash(host.str())};
}

bool RelayTable::CanRelayFor(const HostReach& asker,
                             const Record& relay,
                             TimePoint now) {
  if (relay.reach.relay_port == 0 || now - relay.reported_at > kFresh)
    return false;
  const auto is_cut_off_from = [&](const std::string& service) {
    return std::any_of(asker.services.begin(), asker.services.end(),
                       [&](const ServiceReach& own) {
                         return own.is_cut_off && own.service == service;
                       });
  };
  return std::any_of(relay.reach.services.begin(), relay.reach.services.end(),
                     [&](const ServiceReach& reached) {
                       return !reached.is_cut_off &&
                              now - reached.answered_at <= kFresh &&
                              is_cut_off_from(reached.service);
                     });
}

std::vector<RelayHost> RelayTable::RelaysFor(const HostId& asker,
                                             TimePoint now) const {
  const auto own = hosts_.find(asker);
  if (own == hosts_.end())
    return {};
  const HostReach& reach = own->second.reach;
  const bool is_cut_off =
      std::any_of(reach.services.begin(), reach.services.end(),
                  [](const ServiceReach& s) { return s.is_cut_off; });
  if (!is_cut_off)
    return {};
  // The relays that rank lowest for this asker.
  constexpr std::uint64_t kMix = 0x9e3779b97f4a7c15ULL;
  std::vector<std::pair<std::uint64_t, const HostId*>> ranked;
  for (const auto& [host, record] : hosts_) {
    if (host != asker && CanRelayFor(reach, record, now)) {
      const std::uint64_t mixed = (record.hash ^ own->second.hash) * kMix;
      ranked.emplace_back(mixed ^ (mixed >> 32), &host);
    }
  }
  const std::size_t count = std::min(kMaxRelays, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<RelayHost> relays;
  for (std::size_t i = 0; i < count; ++i)
    relays.push_back({*ranked[i].second, hosts_.at(*ranked[i].second).reach});
  return relays;
}

void RelayTable::Expire(TimePoint now) {
  std::erase_if(hosts_, [now](const auto& entry) {
    return now - entry.second.reported_at > kFresh;
  });
}

}  // namespace endivecart::quarantine
