#ifndef ENDIVECART_CACHE_STORE_CLIENT_H_
#define ENDIVECART_CACHE_STORE_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/cache/retention.h"
#include "endivecart/cache/store_index.h"

namespace endivecart::cache {

enum class CacheErrorCode { kStoreUnreachable, kStoreRefused, kMalformed };

struct CacheError {
  CacheErrorCode code;
  std::string detail;

  bool operator==(const CacheError&) const = default;
};

// One change reported by a store.
struct StoreEvent {
  bool sealed = false;  // otherwise freed
  StoredPiece piece;    // if freed, only name and generation are set

  bool operator==(const StoreEvent&) const = default;
};

// Changes in a store since a position of its event sequence.
struct StoreListing {
  std::uint64_t epoch = 0;  // changes when the store is reset
  std::uint64_t next = 0;   // position of the next listing
  std::vector<StoreEvent> events;

  bool operator==(const StoreListing&) const = default;
};

// Returns the changes in a store since `after`, or all its pieces if `epoch` is
// not the store's current one.
Result<StoreListing, CacheError> ListStore(const std::string& url,
                                           std::uint64_t epoch,
                                           std::uint64_t after);

// Acquires a read lease on pieces of these generations, so that they are not
// freed while being read. Returns whether the store granted it.
Result<bool, CacheError> LeasePieces(const std::string& url,
                                     const std::vector<StoredPiece>& pieces);

// Bytes in use in a store, and the usage of each piece.
struct StoreUsage {
  std::int64_t bytes = 0;
  std::vector<PieceUsage> pieces;

  bool operator==(const StoreUsage&) const = default;
};

Result<StoreUsage, CacheError> ReadStoreUsage(const std::string& url);

// Asks the store to free a piece once its read leases have ended.
Result<bool, CacheError> FreePiece(const std::string& url,
                                   const PieceUsage& piece);

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_STORE_CLIENT_H_
