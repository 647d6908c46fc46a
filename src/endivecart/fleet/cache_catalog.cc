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
// Lists are not made more often than this to learn what became of a save.
constexpr Millis kMinListInterval{4000};
// A part that is still incomplete after this long was abandoned by its writer.
constexpr Millis kPartialTimeout{10000};
// A follower that is behind by more removals discards what it has.
constexpr std::size_t kMaxRemovals = 20000;
// How often the states of the stores are determined anew while no store was
// listed or lost.
constexpr Millis kStoreStatesInterval{20};
constexpr std::size_t kMaxPartsPerFree = 500;

std::int64_t ToMillis(TimePoint now) {
  return std::chrono::duration_cast<Millis>(now.time_since_epoch()).count();
}

}  // namespace

std::uint64_t CacheKey(const CachePartName& name) {
  return StableHash(name.id, StableHash(name.label));
}

std::uint64_t CacheStoreKey(const settings::Endpoint& address) {
  return StableHash(address.ToString());
}

std::string CacheLabel(const ModelId& model,
                       std::uint64_t weights_version,
                       const CacheScope& scope) {
  std::string label = model.str() + "." + std::to_string(weights_version);
  if (!scope.isolated_customer.empty()) {
    label += "." + scope.isolated_customer.str();
  } else if (scope.generation != 0) {
    label += "@" + std::to_string(scope.generation);
  }
  return label;
}

std::set<std::string> LiveCacheLabels(
    const Decisions& decisions,
    const std::vector<CacheScope>& scopes,
    const upstreams::UpstreamRegistry& roster) {
  std::set<std::string> labels;
  const auto add = [&](const ModelId& model, std::uint64_t version) {
    for (const CacheScope& scope : scopes)
      labels.insert(CacheLabel(model, version, scope));
  };
  for (const auto& [id, upstream] : roster.all()) {
    if (upstream.last.state == upstreams::UpstreamState::kGone)
      continue;
    for (const upstreams::LoadedModel& loaded : upstream.last.models)
      add(loaded.model, loaded.version);
  }
  for (const auto& [model, version] : decisions.weights)
    add(model, version);
  return labels;
}

void CacheCatalog::OnLeadershipGained(std::uint64_t term,
                                      TimePoint now,
                                      bool may_have_predecessor,
                                      const std::vector<LoggedSave>* logged) {
  term_ = term;
  save_ledger_.OnLeadershipGained(may_have_predecessor, now, logged);
  // An order of the previous leader may still free parts until then, so none
  // may be published.
  reads_allowed_at_ = now + kOldOrdersExpired;
  changes_.clear();
  latest_changes_.clear();
  removals_.clear();
  newest_change_ = 0;
  dropped_removal_ = 0;
  store_states_due_ = now;
  for (Store& store : stores_) {
    store.listed = false;
    store.reading = false;
    store.next_read = now;
    store.parts.clear();
    store.keys.clear();
    store.partial.clear();
    store.partial_keys.clear();
    store.used = 0;
  }
}

void CacheCatalog::OnLeadershipLost() {
  term_.reset();
}

void CacheCatalog::SetStores(const std::vector<routes::CacheStore>& stores) {
  store_states_due_ = TimePoint{};
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
  std::uint64_t& latest = latest_changes_[{part.key(), part.store()}];
  changes_.erase(latest);
  removals_.erase(latest);
  latest = ++newest_change_;
  changes_[latest] = {added, part};
  if (added)
    return;
  removals_.insert(latest);
  if (removals_.size() <= kMaxRemovals)
    return;
  dropped_removal_ = *removals_.begin();
  removals_.erase(removals_.begin());
  const wire::CachedPart& dropped = changes_.at(dropped_removal_).part;
  latest_changes_.erase({dropped.key(), dropped.store()});
  changes_.erase(dropped_removal_);
}

void CacheCatalog::Add(Store& store,
                       const CachePartName& name,
                       std::int64_t tokens) {
  store.partial.erase(name);
  store.partial_keys.erase(CacheKey(name));
  save_ledger_.OnComplete(
      {CacheKey(name), CacheStoreKey(store.settings.address)});
  const auto [it, is_new] = store.parts.try_emplace(name);
  if (!is_new && it->second.withdrawn)
    return;  // will be freed
  store.keys.insert(CacheKey(name));
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
  // Followers discard all of the former generation, so these are no changes.
  ++store.generation;
  const std::uint32_t index = IndexOf(store);
  std::erase_if(changes_, [&](const auto& entry) {
    const auto& [number, change] = entry;
    if (change.part.store() != index)
      return false;
    latest_changes_.erase({change.part.key(), index});
    removals_.erase(number);
    return true;
  });
  store.parts.clear();
  store.keys.clear();
  store.partial.clear();
  store.partial_keys.clear();
  store.used = 0;
  store.listed = false;
  store_states_due_ = TimePoint{};
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
    store.read_asked_at = now;
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
  // The copy of an earlier answer: its parts and its clock are out of date.
  if (store->listed && events.epoch == store->epoch &&
      events.next < store->next) {
    LogLine("fleet.store_answer_repeated")
        .Add("store", address.ToString())
        .Warn();
    return;
  }
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
    store->keys.erase(CacheKey(event.part));
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
  store->may_list_at = now + kMinListInterval;
  if (!store->listed || store->epoch != list.epoch) {
    DropAll(*store);
    store->readable_since = now;
  }
  store->listed = true;
  store_states_due_ = TimePoint{};
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
    store->keys.erase(CacheKey(it->first));
    it = store->parts.erase(it);
  }
  for (const auto& [name, tokens] : complete) {
    Add(*store, name, tokens);
    used += tokens;
  }
  store->partial = std::move(partial);
  store->used = used;
  store->partial_keys.clear();
  for (const auto& [name, since] : store->partial)
    store->partial_keys.insert(CacheKey(name));
  save_ledger_.OnListed(
      CacheStoreKey(address), store->read_asked_at,
      [&](std::uint64_t key) { return store->partial_keys.contains(key); });
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
        // It may become complete before the order is carried out.
        store.parts[name] = {0, true, now, now + kFreeDelay};
        store.keys.insert(CacheKey(name));
      }
    }
    if (!order.parts.empty())
      frees.push_back(std::move(order));
  }
  return frees;
}

void CacheCatalog::UpdateStoreStates(TimePoint now) {
  if (now < store_states_due_)
    return;
  store_states_due_ = now + kStoreStatesInterval;
  std::vector<wire::CacheStoreState> states;
  for (const Store& store : stores_) {
    wire::CacheStoreState& state = states.emplace_back();
    state.set_address(store.settings.address.ToString());
    state.set_domain(store.settings.domain.str());
    state.set_generation(store.generation);
    state.set_readable(store.listed && store.present);
    state.set_takes_more(TakesMore(store, now));
  }
  const bool is_same = std::equal(
      states.begin(), states.end(), store_states_.begin(), store_states_.end(),
      [](const wire::CacheStoreState& a, const wire::CacheStoreState& b) {
        return a.SerializeAsString() == b.SerializeAsString();
      });
  if (is_same)
    return;
  store_states_ = std::move(states);
  ++store_states_version_;
}

void CacheCatalog::AddEarlyRemovals(wire::CacheUpdate& update) const {
  int count = 0;
  for (auto it = removals_.upper_bound(update.cursor()); it != removals_.end();
       ++it, ++count) {
    if (count == kMaxEarlyRemovals) {
      update.set_lacks_removals(true);
      return;
    }
    *update.add_removed() = changes_.at(*it).part;
  }
}

std::optional<wire::CacheUpdate> CacheCatalog::UpdateSince(
    const CachePosition& position,
    TimePoint now) {
  if (!term_)
    return std::nullopt;
  UpdateStoreStates(now);
  wire::CacheUpdate update;
  update.set_term(*term_);
  if (has_clock_) {
    update.set_servers_clock_ms(
        static_cast<std::uint64_t>(ToMillis(now) + clock_offset_ms_));
  }
  update.set_stores_version(store_states_version_);
  if (position.term != *term_ ||
      position.stores_version != store_states_version_) {
    for (const wire::CacheStoreState& state : store_states_)
      *update.add_stores() = state;
  }
  const bool is_reset =
      position.term != *term_ || position.cursor > newest_change_ ||
      std::max(position.cursor, position.floor) < dropped_removal_;
  update.set_reset(is_reset);
  update.set_floor(is_reset ? newest_change_ : position.floor);
  update.set_cursor(newest_change_);
  auto it = changes_.upper_bound(is_reset ? 0 : position.cursor);
  for (int count = 0; it != changes_.end(); ++it, ++count) {
    if (count == kMaxPartsPerUpdate) {
      update.set_cursor(std::prev(it)->first);
      update.set_has_more(true);
      AddEarlyRemovals(update);
      break;
    }
    if (it->second.added) {
      *update.add_added() = it->second.part;
    } else if (!is_reset) {
      *update.add_removed() = it->second.part;
    }
  }
  return update;
}

}  // namespace endivecart::fleet
