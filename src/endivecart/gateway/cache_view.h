#ifndef ENDIVECART_GATEWAY_CACHE_VIEW_H_
#define ENDIVECART_GATEWAY_CACHE_VIEW_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "endivecart/fleet/cache_catalog.h"
#include "endivecart/gateway/caller_request.h"

namespace endivecart::gateway {

// A part of a prompt, and a store to which it is to be saved.
struct SavePart {
  std::size_t index = 0;    // of the part in its prompt
  std::uint64_t key = 0;    // see fleet::CacheKey()
  std::uint32_t store = 0;  // index in the leader's catalogue
  settings::Endpoint address;

  bool operator==(const SavePart&) const = default;
};

// A store that holds a part.
struct CacheHolder {
  settings::Endpoint address;
  DomainId domain;

  bool operator==(const CacheHolder&) const = default;
};

// For each part of a prompt, the store from which its cache is fetched and the
// store to which it is saved after prefill. An empty list means that no part is
// fetched or saved.
struct CachePlan {
  std::vector<std::optional<settings::Endpoint>> fetch;
  std::vector<std::optional<settings::Endpoint>> save;
  // All stores from which a part may be fetched; the one in `fetch` is the
  // first. Empty like `fetch`.
  std::vector<std::vector<CacheHolder>> holders;
  // The entries of `save`. They need the leader's permission.
  std::vector<SavePart> saved_parts;
  // Deadline of all fetches, by the control servers' clock.
  std::optional<std::uint64_t> fetch_until_ms;
  std::int64_t fetchable_tokens = 0;

  bool operator==(const CachePlan&) const = default;
};

// Returns how long a request may wait for cache fetches. `elapsed` is the time
// since it was accepted, `latency_target` the time in which it is to be
// answered (0: none), `prefill_time` the time to prefill its shared parts.
// Guards against slow store links: a fetch is given up after half of the
// target, because prefill is then more likely to meet it. Requests that are
// expensive to prefill or already late get the maximum fetch time.
Millis FetchTimeout(Millis elapsed, Millis latency_target, Millis prefill_time);

// This host's view of the cache stores, built from the leader's updates. A view
// whose lease has expired is not used.
class CacheView {
 public:
  // Applies an update that was asked for at `asked_at`. It contains all that
  // happened before; how long it took to arrive says nothing.
  void Apply(const wire::CacheUpdate& update,
             TimePoint asked_at,
             TimePoint now);

  // Plans to fetch the parts that a store holds and to save the other ones. The
  // last part is neither fetched nor saved, because no other prompt shares it.
  // Uses only stores in domains that `may_hold` allows. Fetches time out after
  // `fetch_timeout`.
  CachePlan Plan(const Prompt& prompt,
                 const std::string& label,
                 const std::function<bool(const DomainId&)>& may_hold,
                 Millis fetch_timeout,
                 TimePoint now) const;

  // Returns whether the store is known to hold the part completely.
  bool Holds(const settings::Endpoint& store,
             const fleet::CachePartName& part) const;
  // Returns the domain of a store, or nullopt if there is none at this address.
  std::optional<DomainId> DomainOf(const settings::Endpoint& address) const;

  const fleet::CachePosition& position() const { return position_; }
  std::size_t parts() const { return parts_.size(); }
  // Returns the age of the knowledge from which fetches are planned.
  Millis Age(TimePoint now) const {
    return std::chrono::duration_cast<Millis>(now - known_until_);
  }

 private:
  struct Store {
    settings::Endpoint address;
    DomainId domain;
    bool readable = false;
    bool takes_more = false;
    std::uint64_t generation = 0;
  };

  // Replaces the stores and discards the parts of those that have lost theirs.
  void ApplyStores(const wire::CacheUpdate& update);

  // Returns whether a store evicted the part just now. If the stores are too
  // small for all parts, saving each one that is missing would only evict
  // others, and occupy the links.
  bool WasEvicted(std::uint64_t key, TimePoint now) const;
  void RecordEviction(std::uint64_t key, TimePoint now);

  // Returns the store to which a part is saved, or nullptr if there is none.
  // Every host with the same view chooses the same store.
  const Store* StoreFor(
      std::uint64_t key,
      const std::function<bool(const DomainId&)>& may_hold) const;

  fleet::CachePosition position_;
  // Whether all parts of the catalogue were received. Before, a part that is
  // unknown here may well be stored, so none is saved.
  bool is_complete_ = false;
  TimePoint known_until_{};  // all removals before it are known
  TimePoint clock_at_{};
  std::uint64_t servers_clock_ms_ = 0;  // at clock_at_ or earlier
  std::vector<Store> stores_;
  // When parts were removed from all stores, as far as that is recent.
  std::unordered_map<std::uint64_t, TimePoint> removed_at_;
  // For each part that is completely stored, the indices of its stores.
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> parts_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_CACHE_VIEW_H_
