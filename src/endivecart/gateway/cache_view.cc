#include "endivecart/gateway/cache_view.h"

#include <algorithm>

namespace endivecart::gateway {

namespace {

// Shorter parts are read as fast as they are fetched.
constexpr std::int64_t kLeastTokens = 64;
// A fetch that nothing holds up takes a part of this.
constexpr Millis kLeastPatience{100};
// Of the latency target, for fetching; the rest is for reading and a reserve.
constexpr int kFetchShare = 2;
// Prompts that take more of the target than this to read are dear to read, and
// slow down all others at the engine.
constexpr int kReadingShare = 10;

}  // namespace

Millis FetchPatience(Millis elapsed, Millis latency_target, Millis reading) {
  if (latency_target <= elapsed || reading > latency_target / kReadingShare)
    return fleet::CacheCatalog::kFetchLimit;
  return std::clamp(latency_target / kFetchShare - elapsed, kLeastPatience,
                    fleet::CacheCatalog::kFetchLimit);
}

void CacheView::Apply(const wire::CacheUpdate& news, TimePoint now) {
  // A leader of an earlier term may still speak.
  if (news.term() < term_)
    return;
  if (news.reset() || news.term() > term_)
    parts_.clear();
  if (news.term() > term_ && !news.reset())
    return;  // what came before this news is missing
  term_ = news.term();
  cursor_ = news.cursor();
  heard_at_ = now;
  servers_clock_ms_ = news.servers_clock_ms();
  stores_.clear();
  for (const wire::CacheStoreState& state : news.stores()) {
    const auto address = settings::ParseEndpoint(state.address());
    stores_.push_back({address.value_or(settings::Endpoint()),
                       DomainId(state.domain()), address && state.readable(),
                       address && state.takes_more()});
  }
  for (const wire::CachedPart& part : news.removed()) {
    const auto it = parts_.find(part.key());
    if (it == parts_.end())
      continue;
    std::erase(it->second, part.store());
    if (it->second.empty())
      parts_.erase(it);
  }
  for (const wire::CachedPart& part : news.added()) {
    auto& holders = parts_[part.key()];
    if (std::find(holders.begin(), holders.end(), part.store()) ==
        holders.end()) {
      holders.push_back(part.store());
    }
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

CachePlan CacheView::Plan(const Prompt& prompt,
                          const std::string& label,
                          const std::function<bool(const DomainId&)>& may_hold,
                          Millis patience,
                          TimePoint now) const {
  CachePlan plan;
  if (stores_.empty() || now - heard_at_ > fleet::CacheCatalog::kUpdateLease)
    return plan;
  plan.fetch.resize(prompt.parts.size());
  plan.save.resize(prompt.parts.size());
  bool fetches = false;
  bool saves = false;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const PromptPart& part = prompt.parts[i];
    if (part.tokens < kLeastTokens)
      continue;
    const std::uint64_t key = fleet::CacheKey({label, part.id});
    const auto it = parts_.find(key);
    if (it != parts_.end()) {
      const auto holder = std::find_if(
          it->second.begin(), it->second.end(), [&](std::uint32_t store) {
            return store < stores_.size() && stores_[store].readable &&
                   may_hold(stores_[store].domain);
          });
      if (holder == it->second.end())
        continue;
      plan.fetch[i] = stores_[*holder].address;
      plan.fetchable_tokens += part.tokens;
      fetches = true;
    } else if (const Store* store = StoreFor(key, may_hold)) {
      plan.save[i] = store->address;
      saves = true;
    }
  }
  if (!fetches)
    plan.fetch.clear();
  if (!saves)
    plan.save.clear();
  if (fetches && servers_clock_ms_ != 0) {
    const auto age = std::chrono::duration_cast<Millis>(now - heard_at_);
    plan.fetch_until_ms =
        servers_clock_ms_ +
        static_cast<std::uint64_t>(
            (age + std::min(patience, fleet::CacheCatalog::kFetchLimit))
                .count());
  }
  return plan;
}

}  // namespace endivecart::gateway
