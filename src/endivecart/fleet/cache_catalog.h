#ifndef ENDIVECART_FLEET_CACHE_CATALOG_H_
#define ENDIVECART_FLEET_CACHE_CATALOG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/fleet/cache_save_ledger.h"
#include "endivecart/fleet/decisions.h"
#include "endivecart/routes/routes.h"
#include "endivecart/transport/transport.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::fleet {

// Identifies a cached part of a prompt within a store.
struct CachePartName {
  std::string label;  // parts with different labels are never combined
  std::string id;

  auto operator<=>(const CachePartName&) const = default;
};

// Returns the 64-bit key that identifies a part in messages between processes.
std::uint64_t CacheKey(const CachePartName& name);

// Returns the 64-bit key that identifies a store among all leaders.
std::uint64_t CacheStoreKey(const settings::Endpoint& address);

// Whose requests may use each other's cache.
struct CacheScope {
  CustomerId isolated_customer;  // empty: all customers that share cache
  // Of the cache that they share; see CacheSharing.
  std::uint64_t generation = 0;

  bool operator==(const CacheScope&) const = default;
};

// Returns the label for the cache of a model under one version of its weights.
std::string CacheLabel(const ModelId& model,
                       std::uint64_t weights_version,
                       const CacheScope& scope);

// Returns the labels that requests may use: of all weights that upstreams have
// loaded or that were decided, for each of the scopes.
std::set<std::string> LiveCacheLabels(
    const Decisions& decisions,
    const std::vector<CacheScope>& scopes,
    const upstreams::UpstreamRegistry& roster);

// A part that was added to or removed from a store.
struct CacheEvent {
  bool added = false;
  CachePartName part;
  std::int64_t tokens = 0;

  bool operator==(const CacheEvent&) const = default;
};

struct CacheEvents {
  std::uint64_t epoch = 0;  // changes when the store starts empty
  std::uint64_t next = 0;   // event number to continue from
  bool has_gap = false;     // events were lost
  std::vector<CacheEvent> events;
  std::uint64_t clock_ms = 0;  // of the cache servers; 0 if unknown

  bool operator==(const CacheEvents&) const = default;
};

// The full contents of a store.
struct CacheList {
  std::uint64_t epoch = 0;
  std::uint64_t next = 0;
  // Each part with its tokens.
  std::vector<std::pair<CachePartName, std::int64_t>> complete;
  // Each part with the tokens reserved for it.
  std::vector<std::pair<CachePartName, std::int64_t>> partial;

  bool operator==(const CacheList&) const = default;
};

// A read request to a store: either its list of parts or its recent events.
struct CacheRead {
  settings::Endpoint store;
  bool is_list = false;     // false: events
  std::uint64_t since = 0;  // event number to start from
  Millis wait{0};           // the store may delay its answer by this long

  bool operator==(const CacheRead&) const = default;
};

// An order to a store to free parts.
struct CacheFree {
  settings::Endpoint store;
  std::uint64_t epoch = 0;
  std::vector<CachePartName> parts;
  // Expiry by the clock of the cache servers: if executed later, the order
  // might free parts that were stored again in the meantime.
  std::uint64_t until_ms = 0;

  bool operator==(const CacheFree&) const = default;
};

// How far a follower has received the leader's cache updates.
struct CachePosition {
  std::uint64_t term = 0;
  std::uint64_t cursor = 0;
  // Removals up to this change are of parts that the follower never had.
  std::uint64_t floor = 0;
  std::uint64_t stores_version = 0;  // of the list of stores

  bool operator==(const CachePosition&) const = default;
};

// The leader's index of the complete parts in each store. Stores don't track
// their readers, so a part is published only once it is complete, and freed
// only when no process can still be reading it.
class CacheCatalog {
 public:
  // Followers use an update for at most this long after they received it.
  static constexpr Millis kUpdateLease{1500};
  // Servers abort a fetch that has taken this long. Fetches start within the
  // update lease.
  static constexpr Millis kFetchLimit{2000};
  // Time from the withdrawal of a part until it may be freed.
  static constexpr Millis kFreeDelay{kUpdateLease + kFetchLimit + Millis(500)};

  // A store ignores a free order that arrives later than this.
  static constexpr Millis kOrderLifetime{200};
  // Time after gaining leadership until all orders of the previous leader have
  // expired, with a margin for clock differences. No store is read until then.
  static constexpr Millis kOldOrdersExpired{kOrderLifetime + Millis(100)};

  // Discards all state: this process has just become the leader of `term`.
  // `may_have_predecessor`: another leader may have granted saves. `logged`:
  // see CacheSaveLedger::OnLeadershipGained().
  using LoggedSave = CacheSaveLedger::Outstanding;
  void OnLeadershipGained(std::uint64_t term,
                          TimePoint now,
                          bool may_have_predecessor = true,
                          const std::vector<LoggedSave>* logged = nullptr);
  void OnLeadershipLost();
  // Sets the stores of the routing configuration in force.
  void SetStores(const std::vector<routes::CacheStore>& stores);
  // Withdraws the parts for whose label `is_live` returns false. They are freed
  // after kFreeDelay.
  void Retire(const std::function<bool(const std::string& label)>& is_live,
              TimePoint now);

  std::vector<CacheRead> NextReads(TimePoint now);
  void OnEvents(const settings::Endpoint& store,
                const CacheEvents& events,
                TimePoint now);
  void OnList(const settings::Endpoint& store,
              const CacheList& list,
              TimePoint now);
  void OnReadFailed(const settings::Endpoint& store, TimePoint now);
  std::vector<CacheFree> NextFrees(TimePoint now);

  // Returns those of the parts that the host may save; see CacheSaveLedger. The
  // answer must not be sent before the log has the grant; see CacheSaveBatches.
  wire::CacheSaveGrant OnSaveClaim(const HostId& host,
                                   const wire::CacheSaveClaim& claim,
                                   TimePoint now);
  // Takes back a grant that was and will not be sent.
  void CancelGrant(const HostId& host,
                   const wire::CacheSaveGrant& grant,
                   TimePoint now);
  // Returns the store of a granted part among all leaders.
  std::uint64_t StoreKeyOf(const wire::CachedPart& part) const;
  CacheSaveLedger& save_ledger() { return save_ledger_; }
  void OnSaveRelease(const HostId& host,
                     const wire::CacheSaveRelease& release,
                     TimePoint now);
  // To be called for every poll from a process that serves callers, from the
  // start of this process on.
  void OnPoll(const HostId& host, const wire::FleetPoll& poll, TimePoint now);
  // The longest time that a request may take.
  void SetRequestLimit(Millis limit) { save_ledger_.SetRequestLimit(limit); }
  void StartWatchingPolls(bool is_first_start, TimePoint now) {
    save_ledger_.StartWatching(is_first_start, now);
  }

  // Returns changes that a follower at `position` is missing, at most
  // kMaxPartsPerUpdate: a new leader has to bring hundreds of followers up to
  // date at once. Returns nullopt if this process isn't the leader.
  std::optional<wire::CacheUpdate> UpdateSince(const CachePosition& position,
                                               TimePoint now);
  static constexpr int kMaxPartsPerUpdate = 1000;
  // Removals beyond these are sent along, up to as many.
  static constexpr int kMaxEarlyRemovals = 1000;

 private:
  struct Part {
    std::int64_t tokens = 0;
    bool withdrawn = false;
    TimePoint withdrawn_at{};
    TimePoint free_at{};
  };
  struct Store {
    routes::CacheStore settings;
    bool present = true;  // in the configuration in force
    bool listed = false;
    bool reading = false;
    TimePoint read_asked_at{};
    TimePoint next_read{};
    TimePoint next_list{};
    TimePoint may_list_at{};  // earlier than next_list, if necessary
    TimePoint readable_since{};
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;  // increases when all parts are dropped
    std::uint64_t next = 0;
    std::map<CachePartName, Part> parts;
    std::set<std::uint64_t> keys;  // of `parts`
    // Parts that were incomplete in the last list, and when first seen so.
    std::map<CachePartName, TimePoint> partial;
    std::set<std::uint64_t> partial_keys;
    std::int64_t used = 0;
  };
  // The latest change of a part of a store.
  struct Change {
    bool added = false;
    wire::CachedPart part;
  };
  using PartKey = std::pair<std::uint64_t, std::uint32_t>;  // key, store

  Store* Find(const settings::Endpoint& address);
  std::uint32_t IndexOf(const Store& store) const;
  // Returns whether new parts may be saved to the store.
  static bool TakesMore(const Store& store, TimePoint now);
  // Returns whether any store is known to hold the part. One that was
  // withdrawn may still be fetched.
  bool IsStored(std::uint64_t key) const;
  void Add(Store& store, const CachePartName& name, std::int64_t tokens);
  void Withdraw(Store& store,
                const CachePartName& name,
                Part& part,
                TimePoint now);
  void DropAll(Store& store);
  void RecordChange(bool added,
                    const Store& store,
                    const CachePartName& name,
                    std::int64_t tokens);
  void UpdateStoreStates(TimePoint now);
  // Adds removals that come after the update's changes.
  void AddEarlyRemovals(wire::CacheUpdate& update) const;

  std::optional<std::uint64_t> term_;
  TimePoint reads_allowed_at_{};
  std::vector<Store> stores_;
  CacheSaveLedger save_ledger_;
  // By number, so that the same list serves followers that lack everything and
  // those that lack the newest changes. Holds all parts that are published, and
  // the newest removals.
  std::map<std::uint64_t, Change> changes_;
  std::map<PartKey, std::uint64_t> latest_changes_;
  std::set<std::uint64_t> removals_;
  std::uint64_t newest_change_ = 0;
  // The newest removal that is no longer held.
  std::uint64_t dropped_removal_ = 0;
  std::vector<wire::CacheStoreState> store_states_;
  std::uint64_t store_states_version_ = 0;
  TimePoint store_states_due_{};
  std::int64_t clock_offset_ms_ = 0;  // cache servers' clock minus this clock
  bool has_clock_ = false;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_CACHE_CATALOG_H_
