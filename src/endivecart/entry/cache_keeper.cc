#include "endivecart/entry/cache_keeper.h"

#include <algorithm>
#include <utility>

#include "endivecart/entry/caller_error.h"
#include "endivecart/http/http.h"

namespace endivecart::entry {

namespace {

constexpr Millis kFollowInterval{200};
constexpr int kFailuresToDrop = 2;
constexpr Millis kRetryLostStore{1000};
constexpr std::size_t kMaxQueuedExports = 500;
constexpr std::size_t kExportsPerRound = 8;
constexpr double kFullPart = 0.9;   // of a store's capacity: start freeing
constexpr double kAfterPart = 0.8;  // free down to this
// Bytes that a piece is expected to need, for booking the link.
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

CacheKeeper::CacheKeeper(const settings::HostSettings& settings,
                         Dispatcher& dispatcher,
                         MetricsRegistry& metrics,
                         Hooks hooks)
    : dispatcher_(dispatcher), metrics_(metrics), hooks_(std::move(hooks)) {
  for (const settings::StoreEntry& entry : settings.stores)
    stores_.push_back({entry, 0, 0, 0, TimePoint{}});
  thread_ = std::thread([this] { Run(); });
}

CacheKeeper::~CacheKeeper() {
  {
    std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void CacheKeeper::Run() {
  while (true) {
    for (Followed& store : stores_)
      Follow(store);
    RunExports();
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, kFollowInterval, [this] { return stopping_; });
    if (stopping_)
      return;
  }
}

void CacheKeeper::Follow(Followed& store) {
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
  if (!listing->events.empty() && hooks_.frees(store.entry))
    ShedIfFull(store);
}

void CacheKeeper::OnListing(Followed& store,
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

void CacheKeeper::OnUnreachable(Followed& store,
                                const cache::CacheError& error) {
  store.retry_at = hooks_.now() + kRetryLostStore;
  if (++store.failures != kFailuresToDrop)
    return;
  // A lost store costs a recompute, never an answer.
  dispatcher_.OnStoreLost(store.entry.id);
  store.epoch = 0;
  store.next = 0;
  LogLine("cache.store_lost")
      .Add("store", store.entry.id)
      .Add("detail", error.detail)
      .Warn();
}

void CacheKeeper::ShedIfFull(const Followed& store) {
  const auto usage = cache::ReadStoreUsage(store.entry.url);
  const auto capacity = static_cast<double>(store.entry.capacity_bytes);
  if (!usage || static_cast<double>(usage->bytes) < kFullPart * capacity)
    return;
  std::map<CustomerId, std::int64_t> floors;
  const auto configuration = dispatcher_.configuration();
  if (configuration != nullptr) {
    for (const auto& [id, customer] : configuration->set.customers())
      floors[id] = configuration->set.PlanOf(customer).cache_floor_bytes;
  }
  const auto to_free = static_cast<std::int64_t>(
      static_cast<double>(usage->bytes) - kAfterPart * capacity);
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

bool CacheKeeper::LeasePieces(const Placement& placement) {
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

void CacheKeeper::OnAnswered(const Placement& placement) {
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

const settings::StoreEntry* CacheKeeper::ChooseStore(
    const Export& wanted) const {
  const Followed* best = nullptr;
  std::uint64_t best_rank = 0;
  bool best_local = false;
  for (const Followed& store : stores_) {
    if (store.failures >= kFailuresToDrop)
      continue;
    const bool local = store.entry.domain == wanted.domain;
    const std::uint64_t rank = StableHash(
        store.entry.id, StableHash(wanted.pieces.pieces.front().name));
    if (best == nullptr ||
        std::pair(local, rank) > std::pair(best_local, best_rank)) {
      best = &store;
      best_rank = rank;
      best_local = local;
    }
  }
  return best == nullptr ? nullptr : &best->entry;
}

bool CacheKeeper::SendExport(const Export& wanted,
                             const settings::StoreEntry& store) {
  http::CallRequest request;
  request.method = "POST";
  request.url = wanted.upstream_url + "/cache/export";
  request.body = ExportJson(wanted.pieces, store.url);
  request.timeout = kExportTimeout;
  const auto reply = http::Call(request);
  const bool ok = reply && reply->status == 200;
  LogLine("cache.export")
      .Add("customer", wanted.pieces.owner.customer.str())
      .Add("store", store.id)
      .Add("pieces", static_cast<std::int64_t>(wanted.pieces.pieces.size()))
      .Add("ok", ok ? 1 : 0)
      .Info();
  return ok;
}

void CacheKeeper::RunExports() {
  for (std::size_t i = 0; i < kExportsPerRound; ++i) {
    Export wanted;
    {
      std::scoped_lock lock(mutex_);
      if (exports_.empty())
        return;
      wanted = std::move(exports_.front());
      exports_.pop_front();
    }
    const settings::StoreEntry* store = ChooseStore(wanted);
    if (store == nullptr)
      return;
    const auto bytes = static_cast<std::int64_t>(wanted.pieces.pieces.size()) *
                       kExpectedPieceBytes;
    if (!dispatcher_.TryBookExport(store->id, bytes)) {
      // Imports come first; this one waits for a quieter moment.
      std::scoped_lock lock(mutex_);
      exports_.push_back(std::move(wanted));
      return;
    }
    if (SendExport(wanted, *store)) {
      metrics_.Add("endivecart_exported_bytes_total", "",
                   static_cast<std::uint64_t>(bytes));
    }
  }
}

}  // namespace endivecart::entry
