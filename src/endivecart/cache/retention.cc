#include "endivecart/cache/retention.h"

#include <algorithm>
#include <cmath>

namespace endivecart::cache {

namespace {

constexpr double kReturnHalfLifeSeconds = 7.0 * 24 * 3600;
constexpr double kPriorUses = 0.5;  // a piece never used yet may still return

}  // namespace

double RetentionValue(const KeptPiece& piece) {
  const double chance = (piece.uses + kPriorUses) *
                        std::exp2(-piece.idle_s / kReturnHalfLifeSeconds);
  return piece.recompute_ms * chance /
         static_cast<double>(std::max<std::int64_t>(piece.bytes, 1));
}

std::vector<KeptPiece> ChooseToFree(
    std::vector<KeptPiece> pieces,
    std::int64_t bytes_to_free,
    const std::map<CustomerId, std::int64_t>& floors) {
  std::map<CustomerId, std::int64_t> held;
  for (const KeptPiece& piece : pieces)
    held[piece.customer] += piece.bytes;
  std::stable_sort(pieces.begin(), pieces.end(),
                   [](const KeptPiece& a, const KeptPiece& b) {
                     return RetentionValue(a) < RetentionValue(b);
                   });
  std::vector<KeptPiece> chosen;
  for (const KeptPiece& piece : pieces) {
    if (bytes_to_free <= 0)
      break;
    const auto floor = floors.find(piece.customer);
    std::int64_t& customer_bytes = held[piece.customer];
    if (floor != floors.end() && customer_bytes - piece.bytes < floor->second) {
      continue;
    }
    customer_bytes -= piece.bytes;
    bytes_to_free -= piece.bytes;
    chosen.push_back(piece);
  }
  return chosen;
}

}  // namespace endivecart::cache
