#include "endivecart/cache/retention.h"

#include <algorithm>
#include <cmath>

namespace endivecart::cache {

namespace {

constexpr double kReuseHalfLifeSeconds = 7.0 * 24 * 3600;
constexpr double kPriorUses = 0.5;  // an unused piece may still be used

}  // namespace

double RetentionValue(const PieceUsage& piece) {
  const double expected_uses = (piece.uses + kPriorUses) *
                               std::exp2(-piece.idle_s / kReuseHalfLifeSeconds);
  return piece.recompute_ms * expected_uses /
         static_cast<double>(std::max<std::int64_t>(piece.bytes, 1));
}

std::vector<PieceUsage> SelectEvictions(
    std::vector<PieceUsage> pieces,
    std::int64_t bytes_to_free,
    const std::map<CustomerId, std::int64_t>& floors) {
  std::map<CustomerId, std::int64_t> customer_totals;
  for (const PieceUsage& piece : pieces)
    customer_totals[piece.customer] += piece.bytes;
  std::stable_sort(pieces.begin(), pieces.end(),
                   [](const PieceUsage& a, const PieceUsage& b) {
                     return RetentionValue(a) < RetentionValue(b);
                   });
  std::vector<PieceUsage> evicted;
  for (const PieceUsage& piece : pieces) {
    if (bytes_to_free <= 0)
      break;
    const auto floor = floors.find(piece.customer);
    std::int64_t& customer_bytes = customer_totals[piece.customer];
    if (floor != floors.end() && customer_bytes - piece.bytes < floor->second) {
      continue;
    }
    customer_bytes -= piece.bytes;
    bytes_to_free -= piece.bytes;
    evicted.push_back(piece);
  }
  return evicted;
}

}  // namespace endivecart::cache
