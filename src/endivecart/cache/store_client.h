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

// One change that a store reports.
struct StoreEvent {
  bool sealed = false;  // else freed
  StoredPiece piece;    // for a freed one only name and generation

  bool operator==(const StoreEvent&) const = default;
};

struct StoreListing {
  std::uint64_t epoch = 0;  // changes when the store starts anew
  std::uint64_t next = 0;   // where the next listing continues
  std::vector<StoreEvent> events;

  bool operator==(const StoreListing&) const = default;
};

// What changed in a store since `after`; everything if `epoch` is not its own.
Result<StoreListing, CacheError> ListStore(const std::string& url,
                                           std::uint64_t epoch,
                                           std::uint64_t after);

// Takes a read lease on pieces of these generations, so that they are not
// freed under the reader.
Result<bool, CacheError> LeasePieces(const std::string& url,
                                     const std::vector<StoredPiece>& pieces);

struct StoreUsage {
  std::int64_t bytes = 0;
  std::vector<KeptPiece> pieces;

  bool operator==(const StoreUsage&) const = default;
};

Result<StoreUsage, CacheError> ReadStoreUsage(const std::string& url);

// Asks the store to free a piece once its read leases have ended.
Result<bool, CacheError> FreePiece(const std::string& url,
                                   const KeptPiece& piece);

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_STORE_CLIENT_H_
