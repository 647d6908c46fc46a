#ifndef ENDIVECART_FLEET_CACHE_CATALOG_H_
#define ENDIVECART_FLEET_CACHE_CATALOG_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/routes/routes.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// A part of a prompt's cache as a store names it.
struct CachePartName {
  std::string label;  // parts of different labels are never mixed
  std::string id;

  auto operator<=>(const CachePartName&) const = default;
};

// The short name under which processes tell each other of a part.
std::uint64_t CacheKey(const CachePartName& name);

// The label of a model's cache under one version of its weights, and of one
// customer, if it shares with nobody.
std::string CacheLabel(const ModelId& model,
                       std::uint64_t weights_version,
                       const CustomerId& isolated_customer);

// One change at a store.
struct CacheEvent {
  bool added = false;
  CachePartName part;
  std::int64_t tokens = 0;

  bool operator==(const CacheEvent&) const = default;
};

struct CacheEvents {
  std::uint64_t epoch = 0;  // changes when the store starts empty
  std::uint64_t next = 0;   // to go on from
  bool has_gap = false;     // events were lost
  std::vector<CacheEvent> events;
  std::uint64_t clock_ms = 0;  // of the servers; 0 if it isn't told

  bool operator==(const CacheEvents&) const = default;
};

struct CacheList {
  std::uint64_t epoch = 0;
  std::uint64_t next = 0;
  std::vector<std::pair<CachePartName, std::int64_t>> whole;    // and tokens
  std::vector<std::pair<CachePartName, std::int64_t>> partial;  // and reserved

  bool operator==(const CacheList&) const = default;
};

// What to ask a store next.
struct CacheRead {
  settings::Endpoint store;
  bool is_list = false;     // else events
  std::uint64_t since = 0;  // of events
  Millis wait{0};           // the store may hold the answer back this long

  bool operator==(const CacheRead&) const = default;
};

// An order to a store to give up parts.
struct CacheFree {
  settings::Endpoint store;
  std::uint64_t epoch = 0;
  std::vector<CachePartName> parts;
  // By the servers' clock: carried out later it might hit newer parts.
  std::uint64_t until_ms = 0;

  bool operator==(const CacheFree&) const = default;
};

// The leader's knowledge of which parts lie whole in which store. Stores don't
// track who reads from them: a part is named to nobody before it is whole, and
// freed only when nobody can still be reading it.
class CacheCatalog {
 public:
  // Followers act on this news for no longer than this after they got it.
  static constexpr Millis kNewsLease{1500};
  // A fetch that was begun within the lease is given up by its server after
  // this long.
  static constexpr Millis kFetchLimit{2000};
  // From the withdrawal of a part until it may be freed.
  static constexpr Millis kFreeDelay{kNewsLease + kFetchLimit + Millis(500)};

  // An order to free that reaches its store later than this is void.
  static constexpr Millis kOrderValid{200};
  // From the beginning of an office until the last leader's orders are void,
  // also where clocks differ a little. Until then no store is read.
  static constexpr Millis kOrdersVoid{kOrderValid + Millis(100)};

  // Begins anew: this process has just begun to lead.
  void StartOffice(std::uint64_t term, TimePoint now);
  void StopOffice();
  // The stores of the routing configuration in force.
  void SetStores(const std::vector<routes::CacheStore>& stores);
  // Parts whose label `is_live` denies are withdrawn, and freed later.
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

  // What a follower that holds news of `term` up to `cursor` lacks; nothing if
  // this process doesn't lead.
  std::optional<wire::CacheNews> NewsSince(std::uint64_t term,
                                           std::uint64_t cursor,
                                           TimePoint now) const;
  std::uint64_t cursor() const { return changes_end_; }

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
    TimePoint next_read{};
    TimePoint next_list{};
    TimePoint readable_since{};
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    std::map<CachePartName, Part> parts;
    // Parts that were not whole when the store was listed, and since when.
    std::map<CachePartName, TimePoint> partial;
    std::int64_t used = 0;
  };
  struct Change {
    bool added = false;
    wire::CachedPart part;
  };

  Store* Find(const settings::Endpoint& address);
  std::uint32_t IndexOf(const Store& store) const;
  void Add(Store& store, const CachePartName& name, std::int64_t tokens);
  void Withdraw(Store& store,
                const CachePartName& name,
                Part& part,
                TimePoint now);
  void DropAll(Store& store);
  void Note(bool added,
            const Store& store,
            const CachePartName& name,
            std::int64_t tokens);

  std::optional<std::uint64_t> term_;
  TimePoint reads_from_{};
  std::vector<Store> stores_;
  std::deque<Change> changes_;  // the newest; older ones are forgotten
  std::uint64_t changes_end_ = 0;
  std::int64_t clock_offset_ms_ = 0;  // the servers' clock less this one
  bool has_clock_ = false;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_CACHE_CATALOG_H_
