#include "endivecart/entry/stored_cache_manager.h"

#include <algorithm>
#include <utility>

#include "endivecart/entry/caller_error.h"
#include "endivecart/http/http.h"

namespace endivecart::entry {

namespace {

constexpr Millis kPollInterval{200};
constexpr int kFailuresBeforeLost = 2;
constexpr Millis kLostStoreRetryInterval{1000};
constexpr std::size_t kMaxQueuedExports = 500;
constexpr std::size_t kExportsPerRound = 8;
// Fractions of a store's capacity at which eviction starts and stops.
constexpr double kHighWatermark = 0.9;
constexpr double kLowWatermark = 0.8;
// Expected size of a piece, for booking an export on the store's link.
constexpr std::int64_t kExpectedPieceBytes = 64LL * 1024;
constexpr Millis kExportTimeout{2000};

std::string ExportJson(const cache::PromptPieces& pieces,
                       const std::string& store_url) {
  std::string names;
  for (const cache::Piece& piece : pieces.pieces)
    names += (names.empty() ? "" : ",") + JsonQuoted(piece.name);
  return "{\"store\":" + JsonQuoted(store_url) +
         ",\"customer\":" + JsonQuoted(pieces.owner.customer.str()) +
         ",\"model\":" + JsonQuoted(pieces.owner.model.str()) +
         ",\"version\":" + JsonQuoted(pieces.owner.version.str()) +
         ",\"pieces\":[" + names + "]}";
}

}  // namespace

StoredCacheManager::StoredCacheManager(const settings::HostSettings& settings,
                                       Dispatcher& dispatcher,
                                       MetricsRegistry& metrics,
                                       Hooks hooks)
    : dispatcher_(dispatcher), metrics_(metrics), hooks_(std::move(hooks)) {
  for (const settings::StoreEntry& entry : settings.stores)
    stores_.push_back({entry, 0, 0, 0, TimePoint{}});
  thread_ = std::thread([this] { Run(); });
}

StoredCacheManager::~StoredCacheManager() {
  {
    std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void StoredCacheManager::Run() {
  while (true) {
    for (WatchedStore& store : stores_)
      Poll(store);
    RunExports();
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, kPollInterval, [this] { return stopping_; });
    if (stopping_)
      return;
  }
}

void StoredCacheManager::Poll(WatchedStore& store) {
  const TimePoint now = hooks_.now();
  if (now < store.retry_at)
    return;
  const auto listing =
      cache::ListStore(store.entry.url, store.epoch, store.next);
  if (!listing) {
    OnUnreachable(store, listing.error());
    return;
  }
  store.failures = 0;
  OnListing(store, *listing);
  if (!listing->events.empty() && hooks_.evicts_from(store.entry))
    EvictIfFull(store);
}

void StoredCacheManager::OnListing(WatchedStore& store,
                                   const cache::StoreListing& listing) {
  if (listing.epoch != store.epoch) {
    dispatcher_.OnStoreLost(store.entry.id);
    store.epoch = listing.epoch;
  }
  store.next = listing.next;
  for (const cache::StoreEvent& event : listing.events) {
    if (event.sealed) {
      dispatcher_.OnStoredPiece(store.entry.id, event.piece);
    } else {
      dispatcher_.OnFreedPiece(store.entry.id, event.piece.name,
                               event.piece.generation);
    }
  }
}

void StoredCacheManager::OnUnreachable(WatchedStore& store,
                                       const cache::CacheError& error) {
  store.retry_at = hooks_.now() + kLostStoreRetryInterval;
  if (++store.failures != kFailuresBeforeLost)
    return;
  // Requests recompute what a lost store had cached; they do not fail.
  dispatcher_.OnStoreLost(store.entry.id);
  store.epoch = 0;
  store.next = 0;
  LogLine("cache.store_lost")
      .Add("store", store.entry.id)
      .Add("detail", error.detail)
      .Warn();
}

void StoredCacheManager::EvictIfFull(const WatchedStore& store) {
  const auto usage = cache::ReadStoreUsage(store.entry.url);
  const auto capacity = static_cast<double>(store.entry.capacity_bytes);
  if (!usage || static_cast<double>(usage->bytes) < kHighWatermark * capacity)
    return;
  std::map<CustomerId, std::int64_t> floors;
  const auto configuration = dispatcher_.configuration();
  if (configuration != nullptr) {
    for (const auto& [id, customer] : configuration->set.customers())
      floors[id] = configuration->set.PlanOf(customer).cache_floor_bytes;
  }
  const auto to_free = static_cast<std::int64_t>(
      static_cast<double>(usage->bytes) - kLowWatermark * capacity);
  for (const cache::PieceUsage& piece :
       cache::SelectEvictions(usage->pieces, to_free, floors)) {
    cache::FreePiece(store.entry.url, piece);
    LogLine("cache.free")
        .Add("store", store.entry.id)
        .Add("customer", piece.customer.str())
        .Add("piece", piece.name)
        .Add("value", cache::RetentionValue(piece) * 1e6)
        .Info();
  }
}

bool StoredCacheManager::LeasePieces(const Placement& placement) {
  const auto leased =
      cache::LeasePieces(placement.store_url, placement.stored.pieces);
  if (leased && *leased)
    return true;
  for (const cache::StoredPiece& piece : placement.stored.pieces) {
    dispatcher_.OnFreedPiece(placement.stored.store, piece.name,
                             piece.generation);
  }
  return false;
}

void StoredCacheManager::OnAnswered(const Placement& placement) {
  if (placement.pieces.pieces.empty() || stores_.empty())
    return;
  const bool all_stored = std::all_of(
      placement.pieces.pieces.begin(), placement.pieces.pieces.end(),
      [&](const cache::Piece& p) { return dispatcher_.IsStored(p.name); });
  if (all_stored)
    return;
  std::scoped_lock lock(mutex_);
  if (exports_.size() >= kMaxQueuedExports)
    exports_.pop_front();
  exports_.push_back({placement.url, placement.domain, placement.pieces});
}

const settings::StoreEntry* StoredCacheManager::ChooseStore(
    const ExportJob& job) const {
  const WatchedStore* best = nullptr;
  std::uint64_t best_rank = 0;
  bool best_local = false;
  for (const WatchedStore& store : stores_) {
    if (store.failures >= kFailuresBeforeLost)
      continue;
    const bool local = store.entry.domain == job.domain;
    const std::uint64_t rank =
        StableHash(store.entry.id, StableHash(job.pieces.pieces.front().name));
    if (best == nullptr ||
        std::pair(local, rank) > std::pair(best_local, best_rank)) {
      best = &store;
      best_rank = rank;
      best_local = local;
    }
  }
  return best == nullptr ? nullptr : &best->entry;
}

bool StoredCacheManager::SendExport(const ExportJob& job,
                                    const settings::StoreEntry& store) {
  http::CallRequest request;
  request.method = "POST";
  request.url = job.upstream_url + "/cache/export";
  request.body = ExportJson(job.pieces, store.url);
  request.timeout = kExportTimeout;
  const auto reply = http::Call(request);
  const bool ok = reply && reply->status == 200;
  LogLine("cache.export")
      .Add("customer", job.pieces.owner.customer.str())
      .Add("store", store.id)
      .Add("pieces", static_cast<std::int64_t>(job.pieces.pieces.size()))
      .Add("ok", ok ? 1 : 0)
      .Info();
  return ok;
}

void StoredCacheManager::RunExports() {
  for (std::size_t i = 0; i < kExportsPerRound; ++i) {
    ExportJob job;
    {
      std::scoped_lock lock(mutex_);
      if (exports_.empty())
        return;
      job = std::move(exports_.front());
      exports_.pop_front();
    }
    const settings::StoreEntry* store = ChooseStore(job);
    if (store == nullptr)
      return;
    const auto bytes = static_cast<std::int64_t>(job.pieces.pieces.size()) *
                       kExpectedPieceBytes;
    if (!dispatcher_.TryBookExport(store->id, bytes)) {
      // Imports take precedence; the export is retried later.
      std::scoped_lock lock(mutex_);
      exports_.push_back(std::move(job));
      return;
    }
    if (SendExport(job, *store)) {
      metrics_.Add("endivecart_exported_bytes_total", "",
                   static_cast<std::uint64_t>(bytes));
    }
  }
}

}  // namespace endivecart::entry
