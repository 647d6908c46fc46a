#ifndef ENDIVECART_ENTRY_STORED_CACHE_MANAGER_H_
#define ENDIVECART_ENTRY_STORED_CACHE_MANAGER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/cache/cache.h"
#include "endivecart/entry/dispatcher.h"
#include "endivecart/settings/settings.h"

namespace endivecart::entry {

// Keeps the dispatcher's index of stored pieces up to date, exports the caches
// of answered prompts to the stores, and evicts the pieces of least value when
// a store is nearly full. Its background thread keeps these calls out of the
// request path.
class StoredCacheManager {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    // Returns whether this host evicts pieces from the store.
    std::function<bool(const settings::StoreEntry&)> evicts_from;
  };

  StoredCacheManager(const settings::HostSettings& settings,
                     Dispatcher& dispatcher,
                     MetricsRegistry& metrics,
                     Hooks hooks);
  ~StoredCacheManager();
  StoredCacheManager(const StoredCacheManager&) = delete;
  StoredCacheManager& operator=(const StoredCacheManager&) = delete;

  // Acquires a read lease on a placement's stored pieces. On failure removes
  // them from the index and returns false.
  bool LeasePieces(const Placement& placement);
  // Queues an answered prompt for export unless all its pieces are stored.
  void OnAnswered(const Placement& placement);

 private:
  struct WatchedStore {
    settings::StoreEntry entry;
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    int failures = 0;  // consecutive
    TimePoint retry_at{};
  };
  struct ExportJob {
    std::string upstream_url;
    DomainId domain;
    cache::PromptPieces pieces;
  };

  void Run();
  void Poll(WatchedStore& store);
  void OnListing(WatchedStore& store, const cache::StoreListing& listing);
  void OnUnreachable(WatchedStore& store, const cache::CacheError& error);
  void EvictIfFull(const WatchedStore& store);
  void RunExports();
  // Returns the store for a prompt's pieces, preferably in the upstream's
  // domain; null if none is reachable.
  const settings::StoreEntry* ChooseStore(const ExportJob& job) const;
  bool SendExport(const ExportJob& job, const settings::StoreEntry& store);

  Dispatcher& dispatcher_;
  MetricsRegistry& metrics_;
  const Hooks hooks_;
  std::vector<WatchedStore> stores_;  // only used by the thread
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<ExportJob> exports_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_STORED_CACHE_MANAGER_H_
