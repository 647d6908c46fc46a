#include "endivecart/fleet/cache_catalog.h"

#include <algorithm>

namespace endivecart::fleet {

namespace {

// How long a store may hold an event request open. Shorter waits would load the
// store with more requests.
constexpr Millis kEventWait{800};
constexpr Millis kReadRetry{300};
// A full list recovers from lost events, but stalls the store while it is made.
constexpr Millis kListInterval{15000};
// After a store restarts empty, no parts are saved there until every follower
// knows of the restart. Otherwise a follower could take an incomplete part for
// the complete one that the store held before.
constexpr Millis kSettlingTime{CacheCatalog::kUpdateLease + Millis(500)};
// A part that is still incomplete after this long was abandoned by its writer.
constexpr Millis kPartialTimeout{10000};
// A store filled beyond this fraction of its capacity gets no more parts.
constexpr double kMaxFillRatio = 0.97;
constexpr std::size_t kMaxChanges = 20000;
constexpr std::size_t kMaxPartsPerFree = 500;

std::int64_t ToMillis(TimePoint now) {
  return std::chrono::duration_cast<Millis>(now.time_since_epoch()).count();
}

}  // namespace

std::uint64_t CacheKey(const CachePartName& name) {
  return StableHash(name.id, StableHash(name.label));
}

std::string CacheLabel(const ModelId& model,
                       std::uint64_t weights_version,
                       const CustomerId& isolated_customer) {
  std::string label = model.str() + "." + std::to_string(weights_version);
  if (!isolated_customer.empty())
    label += "." + isolated_customer.str();
  return label;
}

void CacheCatalog::OnLeadershipGained(std::uint64_t term, TimePoint now) {
  term_ = term;
  // An order of the previous leader may still free parts until then, so none
  // may be published.
  reads_allowed_at_ = now + kOldOrdersExpired;
  changes_.clear();
  changes_end_ = 1;
  for (Store& store : stores_) {
    store.listed = false;
    store.reading = false;
    store.next_read = now;
    store.parts.clear();
    store.partial.clear();
    store.used = 0;
  }
}

void CacheCatalog::OnLeadershipLost() {
  term_.reset();
}

void CacheCatalog::SetStores(const std::vector<routes::CacheStore>& stores) {
  for (Store& known : stores_)
    known.present = false;
  for (const routes::CacheStore& store : stores) {
    if (Store* known = Find(store.address)) {
      known->settings = store;
      known->present = true;
    } else {
      stores_.emplace_back().settings = store;
    }
  }
  for (Store& known : stores_) {
    if (!known.present)
      DropAll(known);
  }
}

CacheCatalog::Store* CacheCatalog::Find(const settings::Endpoint& address) {
  const auto it = std::find_if(
      stores_.begin(), stores_.end(),
      [&](const Store& s) { return s.settings.address == address; });
  return it == stores_.end() ? nullptr : &*it;
}

std::uint32_t CacheCatalog::IndexOf(const Store& store) const {
  return static_cast<std::uint32_t>(&store - stores_.data());
}

void CacheCatalog::RecordChange(bool added,
                                const Store& store,
                                const CachePartName& name,
                                std::int64_t tokens) {
  wire::CachedPart part;
  part.set_key(CacheKey(name));
  part.set_store(IndexOf(store));
  part.set_tokens(static_cast<std::uint32_t>(tokens));
  changes_.push_back({added, part});
  ++changes_end_;
  if (changes_.size() > kMaxChanges)
    changes_.pop_front();
}

void CacheCatalog::Add(Store& store,
                       const CachePartName& name,
                       std::int64_t tokens) {
  store.partial.erase(name);
  const auto [it, is_new] = store.parts.try_emplace(name);
  if (!is_new && it->second.withdrawn)
    return;  // will be freed
  store.used += tokens - it->second.tokens;
  it->second.tokens = tokens;
  if (is_new)
    RecordChange(true, store, name, tokens);
}

void CacheCatalog::Withdraw(Store& store,
                            const CachePartName& name,
                            Part& part,
                            TimePoint now) {
  if (part.withdrawn)
    return;
  part.withdrawn = true;
  part.withdrawn_at = now;
  part.free_at = now + kFreeDelay;
  RecordChange(false, store, name, part.tokens);
}

void CacheCatalog::DropAll(Store& store) {
  for (const auto& [name, part] : store.parts) {
    if (!part.withdrawn)
      RecordChange(false, store, name, part.tokens);
  }
  store.parts.clear();
  store.partial.clear();
  store.used = 0;
  store.listed = false;
}

void CacheCatalog::Retire(
    const std::function<bool(const std::string& label)>& is_live,
    TimePoint now) {
  for (Store& store : stores_) {
    for (auto& [name, part] : store.parts) {
      if (!is_live(name.label))
        Withdraw(store, name, part, now);
    }
  }
}

std::vector<CacheRead> CacheCatalog::NextReads(TimePoint now) {
  std::vector<CacheRead> reads;
  if (!term_ || now < reads_allowed_at_)
    return reads;
  for (Store& store : stores_) {
    if (!store.present || store.reading || now < store.next_read)
      continue;
    store.reading = true;
    CacheRead read;
    read.store = store.settings.address;
    read.is_list = !store.listed || now >= store.next_list;
    read.since = store.next;
    read.wait = read.is_list ? Millis(0) : kEventWait;
    reads.push_back(read);
  }
  return reads;
}

void CacheCatalog::OnEvents(const settings::Endpoint& address,
                            const CacheEvents& events,
                            TimePoint now) {
  Store* store = Find(address);
  if (store == nullptr || !term_)
    return;
  store->reading = false;
  store->next_read = now;
  if (events.clock_ms != 0) {
    clock_offset_ms_ =
        static_cast<std::int64_t>(events.clock_ms) - ToMillis(now);
    has_clock_ = true;
  }
  if (!store->listed)
    return;
  if (events.epoch != store->epoch) {
    LogLine("fleet.store_began_anew").Add("store", address.ToString()).Warn();
    DropAll(*store);
    return;
  }
  for (const CacheEvent& event : events.events) {
    if (event.added) {
      Add(*store, event.part, event.tokens);
      continue;
    }
    const auto it = store->parts.find(event.part);
    if (it == store->parts.end())
      continue;
    store->used -= it->second.tokens;
    if (!it->second.withdrawn)
      RecordChange(false, *store, event.part, it->second.tokens);
    store->parts.erase(it);
  }
  store->next = events.next;
  if (events.has_gap)
    store->next_list = now;
}

void CacheCatalog::OnList(const settings::Endpoint& address,
                          const CacheList& list,
                          TimePoint now) {
  Store* store = Find(address);
  if (store == nullptr || !term_)
    return;
  store->reading = false;
  store->next_read = now;
  store->next_list = now + kListInterval;
  if (!store->listed || store->epoch != list.epoch) {
    DropAll(*store);
    store->readable_since = now;
  }
  store->listed = true;
  store->epoch = list.epoch;
  store->next = list.next;
  std::map<CachePartName, TimePoint> partial;
  std::int64_t used = 0;
  for (const auto& [name, reserved] : list.partial) {
    const auto known = store->partial.find(name);
    partial[name] = known == store->partial.end() ? now : known->second;
    used += reserved;
  }
  std::map<CachePartName, std::int64_t> complete(list.complete.begin(),
                                                 list.complete.end());
  for (auto it = store->parts.begin(); it != store->parts.end();) {
    if (complete.contains(it->first)) {
      ++it;
      continue;
    }
    if (!it->second.withdrawn)
      RecordChange(false, *store, it->first, it->second.tokens);
    it = store->parts.erase(it);
  }
  for (const auto& [name, tokens] : complete) {
    Add(*store, name, tokens);
    used += tokens;
  }
  store->partial = std::move(partial);
  store->used = used;
}

void CacheCatalog::OnReadFailed(const settings::Endpoint& address,
                                TimePoint now) {
  Store* store = Find(address);
  if (store == nullptr)
    return;
  store->reading = false;
  store->next_read = now + kReadRetry;
  if (store->listed) {
    LogLine("fleet.store_unreadable").Add("store", address.ToString()).Warn();
    DropAll(*store);
  }
}

std::vector<CacheFree> CacheCatalog::NextFrees(TimePoint now) {
  std::vector<CacheFree> frees;
  if (!term_)
    return frees;
  for (Store& store : stores_) {
    if (!store.listed || !has_clock_)
      continue;
    CacheFree order{store.settings.address, store.epoch, {}, 0};
    order.until_ms = static_cast<std::uint64_t>(
        ToMillis(now) + clock_offset_ms_ + kOrderLifetime.count());
    for (auto& [name, part] : store.parts) {
      if (part.withdrawn && now >= part.free_at &&
          order.parts.size() < kMaxPartsPerFree &&
          CheckInvariant(now - part.withdrawn_at >= kFreeDelay,
                         Invariant::kCacheBlockSealed, name.id)) {
        order.parts.push_back(name);
        part.free_at = now + kFreeDelay;  // retries in case the order is lost
      }
    }
    for (auto& [name, since] : store.partial) {
      if (now - since > kPartialTimeout &&
          order.parts.size() < kMaxPartsPerFree) {
        order.parts.push_back(name);
        since = now;
      }
    }
    if (!order.parts.empty())
      frees.push_back(std::move(order));
  }
  return frees;
}

std::optional<wire::CacheUpdate> CacheCatalog::UpdateSince(
    std::uint64_t term,
    std::uint64_t cursor,
    TimePoint now) const {
  if (!term_)
    return std::nullopt;
  wire::CacheUpdate update;
  update.set_term(*term_);
  update.set_cursor(changes_end_);
  if (has_clock_) {
    update.set_servers_clock_ms(
        static_cast<std::uint64_t>(ToMillis(now) + clock_offset_ms_));
  }
  for (const Store& store : stores_) {
    wire::CacheStoreState& state = *update.add_stores();
    state.set_address(store.settings.address.ToString());
    state.set_domain(store.settings.domain.str());
    state.set_readable(store.listed && store.present);
    state.set_takes_more(
        store.listed && store.present &&
        now - store.readable_since >= kSettlingTime &&
        static_cast<double>(store.used) <
            kMaxFillRatio * static_cast<double>(store.settings.cache_tokens));
  }
  const std::uint64_t oldest = changes_end_ - changes_.size();
  if (term != *term_ || cursor < oldest || cursor > changes_end_) {
    update.set_reset(true);
    for (const Store& store : stores_) {
      for (const auto& [name, part] : store.parts) {
        if (part.withdrawn)
          continue;
        wire::CachedPart& added = *update.add_added();
        added.set_key(CacheKey(name));
        added.set_store(IndexOf(store));
        added.set_tokens(static_cast<std::uint32_t>(part.tokens));
      }
    }
    return update;
  }
  // Sends only the last change of each part, since followers apply removals
  // before additions.
  std::map<std::pair<std::uint64_t, std::uint32_t>, const Change*> last;
  for (std::size_t i = cursor - oldest; i < changes_.size(); ++i)
    last[{changes_[i].part.key(), changes_[i].part.store()}] = &changes_[i];
  for (const auto& [key, change] : last) {
    if (change->added) {
      *update.add_added() = change->part;
    } else {
      *update.add_removed() = change->part;
    }
  }
  return update;
}

}  // namespace endivecart::fleet
