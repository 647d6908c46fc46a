#ifndef ENDIVECART_ENTRY_CACHE_KEEPER_H_
#define ENDIVECART_ENTRY_CACHE_KEEPER_H_

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

// Follows the stores' listings, exports answered prompts that are worth
// keeping, and frees what is worth least when a store fills. Its calls to
// stores run on a thread of its own, away from requests.
class CacheKeeper {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    // Whether this host is the one that frees pieces of a store.
    std::function<bool(const settings::StoreEntry&)> frees;
  };

  CacheKeeper(const settings::HostSettings& settings,
              Dispatcher& dispatcher,
              MetricsRegistry& metrics,
              Hooks hooks);
  ~CacheKeeper();
  CacheKeeper(const CacheKeeper&) = delete;
  CacheKeeper& operator=(const CacheKeeper&) = delete;

  // Takes a read lease on a placement's stored pieces; on failure they are
  // dropped from the index.
  bool LeasePieces(const Placement& placement);
  // Considers an answered prompt for export.
  void OnAnswered(const Placement& placement);

 private:
  struct Followed {
    settings::StoreEntry entry;
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    int failures = 0;  // in a row
    TimePoint retry_at{};
  };
  struct Export {
    std::string upstream_url;
    DomainId domain;
    cache::PromptPieces pieces;
  };

  void Run();
  void Follow(Followed& store);
  void OnListing(Followed& store, const cache::StoreListing& listing);
  void OnUnreachable(Followed& store, const cache::CacheError& error);
  void ShedIfFull(const Followed& store);
  void RunExports();
  // Where a prompt's pieces go: the own domain's stores first.
  const settings::StoreEntry* ChooseStore(const Export& wanted) const;
  bool SendExport(const Export& wanted, const settings::StoreEntry& store);

  Dispatcher& dispatcher_;
  MetricsRegistry& metrics_;
  const Hooks hooks_;
  std::vector<Followed> stores_;  // of the thread
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Export> exports_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_CACHE_KEEPER_H_
