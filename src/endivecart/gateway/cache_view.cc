#include "endivecart/gateway/cache_view.h"

#include <algorithm>
#include <utility>

namespace endivecart::gateway {

namespace {

// Prefilling a shorter part takes no longer than fetching it.
constexpr std::int64_t kMinTokens = 64;
// A part that was evicted is not saved for this long.
constexpr Millis kEvictedPause{5000};
// Expired entries are removed when there are more.
constexpr std::size_t kMaxEvicted = 10000;
// An undelayed fetch takes less than this.
constexpr Millis kMinFetchTimeout{100};
// Fetching may take the latency target divided by this; the rest is left for
// prefill and a reserve.
constexpr int kFetchTargetDivisor = 2;
// Prefill is expensive if it takes more than the latency target divided by
// this; it then also delays all other requests at the engine.
constexpr int kExpensivePrefillDivisor = 10;

}  // namespace

Millis FetchTimeout(Millis elapsed,
                    Millis latency_target,
                    Millis prefill_time) {
  if (latency_target <= elapsed ||
      prefill_time > latency_target / kExpensivePrefillDivisor)
    return fleet::CacheCatalog::kFetchLimit;
  return std::clamp(latency_target / kFetchTargetDivisor - elapsed,
                    kMinFetchTimeout, fleet::CacheCatalog::kFetchLimit);
}

void CacheView::Apply(const wire::CacheUpdate& update,
                      TimePoint asked_at,
                      TimePoint now) {
  // A leader of an earlier term may still send updates.
  if (update.term() < position_.term)
    return;
  if (update.reset() || update.term() > position_.term) {
    parts_.clear();
    known_until_ = TimePoint{};
  }
  if (update.term() > position_.term && !update.reset())
    return;  // the updates before this one are missing
  const bool is_new_term = update.term() > position_.term;
  position_ = {update.term(), update.cursor(), update.floor(),
               update.stores_version()};
  is_complete_ = !update.has_more();
  // What is known may be used for longer only if no removal is missing.
  if (!update.lacks_removals()) {
    known_until_ = std::max(known_until_, asked_at);
    clock_at_ = now;
    servers_clock_ms_ = update.servers_clock_ms();
  }
  // A new leader always sends its list, which may be empty.
  if (is_new_term || update.stores_size() > 0)
    ApplyStores(update);
  for (const wire::CachedPart& part : update.removed()) {
    const auto it = parts_.find(part.key());
    if (it == parts_.end())
      continue;
    std::erase(it->second, part.store());
    if (it->second.empty()) {
      parts_.erase(it);
      RecordEviction(part.key(), now);
    }
  }
  for (const wire::CachedPart& part : update.added()) {
    auto& holders = parts_[part.key()];
    if (std::find(holders.begin(), holders.end(), part.store()) ==
        holders.end()) {
      holders.push_back(part.store());
    }
  }
}

void CacheView::ApplyStores(const wire::CacheUpdate& update) {
  const std::vector<Store> before = std::exchange(stores_, {});
  std::vector<bool> lost_parts;
  for (const wire::CacheStoreState& state : update.stores()) {
    const auto address = settings::ParseEndpoint(state.address());
    const std::size_t index = stores_.size();
    lost_parts.push_back(index < before.size() &&
                         before[index].generation != state.generation());
    stores_.push_back({address.value_or(settings::Endpoint()),
                       DomainId(state.domain()), address && state.readable(),
                       address && state.takes_more(), state.generation()});
  }
  if (std::find(lost_parts.begin(), lost_parts.end(), true) == lost_parts.end())
    return;
  for (auto it = parts_.begin(); it != parts_.end();) {
    std::erase_if(it->second, [&](std::uint32_t store) {
      return store >= lost_parts.size() || lost_parts[store];
    });
    it = it->second.empty() ? parts_.erase(it) : std::next(it);
  }
}

const CacheView::Store* CacheView::StoreFor(
    std::uint64_t key,
    const std::function<bool(const DomainId&)>& may_hold) const {
  const Store* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const Store& store : stores_) {
    if (!store.takes_more || !may_hold(store.domain))
      continue;
    const std::uint64_t weight = StableHash(store.address.ToString(), key);
    if (best == nullptr || weight > best_weight) {
      best = &store;
      best_weight = weight;
    }
  }
  return best;
}

bool CacheView::WasEvicted(std::uint64_t key, TimePoint now) const {
  const auto it = removed_at_.find(key);
  return it != removed_at_.end() && now - it->second < kEvictedPause;
}

void CacheView::RecordEviction(std::uint64_t key, TimePoint now) {
  removed_at_[key] = now;
  if (removed_at_.size() > kMaxEvicted) {
    std::erase_if(removed_at_, [now](const auto& entry) {
      return now - entry.second >= kEvictedPause;
    });
  }
}

bool CacheView::Holds(const settings::Endpoint& store,
                      const fleet::CachePartName& part) const {
  const auto it = parts_.find(fleet::CacheKey(part));
  return it != parts_.end() &&
         std::any_of(
             it->second.begin(), it->second.end(), [&](std::uint32_t index) {
               return index < stores_.size() && stores_[index].readable &&
                      stores_[index].address == store;
             });
}

std::optional<DomainId> CacheView::DomainOf(
    const settings::Endpoint& address) const {
  const auto it = std::find_if(
      stores_.begin(), stores_.end(),
      [&](const Store& store) { return store.address == address; });
  return it == stores_.end() ? std::nullopt : std::optional(it->domain);
}

CachePlan CacheView::Plan(const Prompt& prompt,
                          const std::string& label,
                          const std::function<bool(const DomainId&)>& may_hold,
                          Millis fetch_timeout,
                          TimePoint now) const {
  CachePlan plan;
  if (stores_.empty() || now - known_until_ > fleet::CacheCatalog::kUpdateLease)
    return plan;
  plan.fetch.resize(prompt.parts.size());
  plan.holders.resize(prompt.parts.size());
  plan.save.resize(prompt.parts.size());
  bool has_fetch = false;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const PromptPart& part = prompt.parts[i];
    if (part.tokens < kMinTokens)
      continue;
    const std::uint64_t key = fleet::CacheKey({label, part.id});
    const auto it = parts_.find(key);
    if (it != parts_.end()) {
      // A fetch without a deadline might meet a part that was freed meanwhile.
      if (servers_clock_ms_ == 0)
        continue;
      for (const std::uint32_t store : it->second) {
        if (store < stores_.size() && stores_[store].readable &&
            may_hold(stores_[store].domain)) {
          plan.holders[i].push_back(
              {stores_[store].address, stores_[store].domain});
        }
      }
      if (plan.holders[i].empty())
        continue;
      plan.fetch[i] = plan.holders[i].front().address;
      plan.fetchable_tokens += part.tokens;
      has_fetch = true;
    } else if (const Store* store = is_complete_ && !WasEvicted(key, now)
                                        ? StoreFor(key, may_hold)
                                        : nullptr) {
      plan.save[i] = store->address;
      plan.saved_parts.push_back(
          {i, key, static_cast<std::uint32_t>(store - stores_.data()),
           store->address});
    }
  }
  has_fetch &=
      CheckInvariant(!has_fetch || servers_clock_ms_ != 0,
                     Invariant::kCacheBlockSealed, "a fetch has no deadline");
  if (!has_fetch) {
    plan.fetch.clear();
    plan.holders.clear();
  }
  if (plan.saved_parts.empty())
    plan.save.clear();
  if (has_fetch) {
    const auto age = std::chrono::duration_cast<Millis>(now - clock_at_);
    plan.fetch_until_ms =
        servers_clock_ms_ +
        static_cast<std::uint64_t>(
            (age + std::min(fetch_timeout, fleet::CacheCatalog::kFetchLimit))
                .count());
  }
  return plan;
}

}  // namespace endivecart::gateway
