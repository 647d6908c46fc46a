#ifndef ENDIVECART_CACHE_RETENTION_H_
#define ENDIVECART_CACHE_RETENTION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::cache {

// What is known of one stored piece for deciding what to keep.
struct KeptPiece {
  std::string store;
  std::string name;
  std::uint64_t generation = 0;
  CustomerId customer;
  std::int64_t bytes = 0;
  double recompute_ms = 0;  // time to first token that it saves
  int uses = 0;             // imports so far
  double idle_s = 0;        // since the last use, or since it was stored

  bool operator==(const KeptPiece&) const = default;
};

// Milliseconds saved per byte, weighed by the chance that the prompt returns.
// The chance falls slowly: customers return after minutes to weeks.
double RetentionValue(const KeptPiece& piece);

// Which pieces of one store to free so that `bytes_to_free` come free: least
// value first, but never so much that a customer falls below its floor.
std::vector<KeptPiece> ChooseToFree(
    std::vector<KeptPiece> pieces,
    std::int64_t bytes_to_free,
    const std::map<CustomerId, std::int64_t>& floors);

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_RETENTION_H_
