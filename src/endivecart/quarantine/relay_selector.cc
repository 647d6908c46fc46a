#include "endivecart/quarantine/relay_selector.h"

#include <algorithm>

namespace endivecart::quarantine {

void RelaySelector::Apply(const std::vector<RelayHost>& relays, TimePoint now) {
  if (relays.empty())
    return;
  relays_ = relays;
  applied_at_ = now;
  std::erase_if(unreachable_at_, [now](const auto& entry) {
    return now - entry.second > kAvoidTime;
  });
}

bool RelaySelector::IsUsable(const RelayHost& relay,
                             const Query& query,
                             TimePoint now) const {
  const auto unreachable = unreachable_at_.find(relay.host);
  if (query.excluded.contains(relay.host) ||
      (unreachable != unreachable_at_.end() &&
       now - unreachable->second <= kAvoidTime) ||
      (query.may_be_in && !query.may_be_in(relay.reach.domain))) {
    return false;
  }
  return std::any_of(relay.reach.services.begin(), relay.reach.services.end(),
                     [&](const ServiceReach& reached) {
                       return reached.service == query.service &&
                              !reached.is_cut_off &&
                              reached.answered_at > query.cut_off_since;
                     });
}

int RelaySelector::LoadOf(const RelayHost& relay) const {
  const auto own = in_progress_.find(relay.host);
  return relay.reach.requests + (own == in_progress_.end() ? 0 : own->second);
}

std::optional<RelayHost> RelaySelector::Choose(const Query& query,
                                               std::uint64_t random,
                                               TimePoint now) const {
  if (now - applied_at_ > kMemory)
    return std::nullopt;
  std::vector<const RelayHost*> usable;
  for (const RelayHost& relay : relays_) {
    if (IsUsable(relay, query, now))
      usable.push_back(&relay);
  }
  if (usable.empty())
    return std::nullopt;
  const std::size_t first = random % usable.size();
  const std::size_t second =
      (first + 1 + (random >> 32) % usable.size()) % usable.size();
  return LoadOf(*usable[second]) < LoadOf(*usable[first]) ? *usable[second]
                                                          : *usable[first];
}

void RelaySelector::OnDone(const HostId& relay) {
  const auto it = in_progress_.find(relay);
  if (it != in_progress_.end() && --it->second <= 0)
    in_progress_.erase(it);
}

void RelaySelector::OnUnreachable(const HostId& relay, TimePoint now) {
  unreachable_at_[relay] = now;
}

}  // namespace endivecart::quarantine
