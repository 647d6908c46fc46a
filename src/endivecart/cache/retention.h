#ifndef ENDIVECART_CACHE_RETENTION_H_
#define ENDIVECART_CACHE_RETENTION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::cache {

// Usage of one stored piece, for choosing which pieces to retain.
struct PieceUsage {
  std::string store;
  std::string name;
  std::uint64_t generation = 0;
  CustomerId customer;
  std::int64_t bytes = 0;
  double recompute_ms = 0;  // time to first token saved by the piece
  int uses = 0;             // imports so far
  double idle_s = 0;        // since the last use, or since storing

  bool operator==(const PieceUsage&) const = default;
};

// Returns the expected milliseconds saved per byte: the recompute time weighted
// by the likelihood of reuse. That decays slowly, as customers send a prompt
// again after minutes to weeks.
double RetentionValue(const PieceUsage& piece);

// Selects the pieces of one store to evict in order to free `bytes_to_free`,
// least valuable first. Never reduces a customer's bytes below its floor.
std::vector<PieceUsage> SelectEvictions(
    std::vector<PieceUsage> pieces,
    std::int64_t bytes_to_free,
    const std::map<CustomerId, std::int64_t>& floors);

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_RETENTION_H_
