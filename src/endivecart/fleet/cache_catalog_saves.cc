// The part of CacheCatalog that concerns saves.

#include <algorithm>

#include "endivecart/fleet/cache_catalog.h"

namespace endivecart::fleet {

namespace {

// After a store restarts empty, no parts are saved there until every follower
// knows of the restart and all fetches that were planned before have ended.
// Otherwise a fetch could take an incomplete part for the complete one that the
// store held before.
constexpr Millis kSettlingTime = CacheCatalog::kFreeDelay;
// A store filled beyond this fraction of its capacity gets no more parts.
constexpr double kMaxFillRatio = 0.97;

}  // namespace

bool CacheCatalog::TakesMore(const Store& store, TimePoint now) {
  return store.listed && store.present &&
         now - store.readable_since >= kSettlingTime &&
         static_cast<double>(store.used) <
             kMaxFillRatio * static_cast<double>(store.settings.cache_tokens);
}

bool CacheCatalog::IsStored(std::uint64_t key) const {
  return std::any_of(stores_.begin(), stores_.end(), [key](const Store& store) {
    return store.keys.contains(key);
  });
}

wire::CacheSaveGrant CacheCatalog::OnSaveClaim(
    const HostId& host,
    const wire::CacheSaveClaim& claim,
    TimePoint now) {
  wire::CacheSaveGrant grant;
  grant.set_term(claim.term());
  grant.set_number(claim.number());
  if (!term_ || claim.term() != *term_)
    return grant;
  for (const wire::CachedPart& part : claim.parts()) {
    if (part.store() >= stores_.size() || IsStored(part.key()))
      continue;
    Store& store = stores_[part.store()];
    if (!TakesMore(store, now))
      continue;
    // The save that writes it may be of an earlier leader and unknown here.
    if (store.partial_keys.contains(part.key())) {
      store.next_list = std::min(store.next_list, store.may_list_at);
      continue;
    }
    const auto ruling = save_ledger_.Grant(
        {part.key(), CacheStoreKey(store.settings.address)},
        {host, claim.number()}, Millis(claim.lifetime_ms()), now);
    if (ruling == CacheSaveLedger::Ruling::kGranted)
      *grant.add_parts() = part;
    if (ruling == CacheSaveLedger::Ruling::kNeedsList)
      store.next_list = std::min(store.next_list, store.may_list_at);
  }
  return grant;
}

void CacheCatalog::OnSaveRelease(const HostId& host,
                                 const wire::CacheSaveRelease& release,
                                 TimePoint now) {
  if (!term_)
    return;
  for (const wire::CacheSaveRecord& save : release.saves()) {
    save_ledger_.Release({save.key(), save.store()}, {host, save.claim()},
                         release.was_sent(), now);
  }
}

void CacheCatalog::OnPoll(const HostId& host,
                          const wire::FleetPoll& poll,
                          TimePoint now) {
  std::vector<CacheSaveLedger::Outstanding> saves;
  for (const wire::CacheSaveRecord& save : poll.saves()) {
    saves.push_back({{save.key(), save.store()},
                     {host, save.claim()},
                     Millis(save.ends_in_ms())});
  }
  // Before the host has received an update of this term, it may still use
  // grants of earlier ones. Only the primary control host gets its saves.
  const bool is_report =
      term_ && poll.cache_term() == *term_ && poll.wants_loads();
  save_ledger_.OnPoll({host, poll.incarnation()}, is_report ? &saves : nullptr,
                      now);
}

void CacheCatalog::CancelGrant(const HostId& host,
                               const wire::CacheSaveGrant& grant,
                               TimePoint now) {
  if (!term_ || grant.term() != *term_)
    return;
  for (const wire::CachedPart& part : grant.parts()) {
    save_ledger_.Release({part.key(), StoreKeyOf(part)}, {host, grant.number()},
                         false, now);
  }
}

std::uint64_t CacheCatalog::StoreKeyOf(const wire::CachedPart& part) const {
  return CacheStoreKey(stores_.at(part.store()).settings.address);
}

}  // namespace endivecart::fleet
