#include "endivecart/fleet/demand_sum.h"

#include <algorithm>
#include <utility>

namespace endivecart::fleet {

namespace {

// Larger numbers are errors: no fleet has that much memory.
constexpr std::uint64_t kMaxTokens = 1ULL << 40;

}  // namespace

DemandByRank FromWire(const wire::MemoryDemand& message) {
  DemandByRank demand;
  for (const wire::MemoryDemandOfRank& of_rank : message.ranks()) {
    demand[static_cast<int>(of_rank.rank())] =
        std::min(of_rank.tokens(), kMaxTokens);
  }
  return demand;
}

wire::MemoryDemand ToWire(const DemandByRank& demand) {
  wire::MemoryDemand message;
  for (const auto& [rank, tokens] : demand) {
    wire::MemoryDemandOfRank& of_rank = *message.add_ranks();
    of_rank.set_rank(static_cast<std::uint32_t>(rank));
    of_rank.set_tokens(tokens);
  }
  return message;
}

DemandByRank Without(DemandByRank sum, const DemandByRank& part) {
  for (auto it = sum.begin(); it != sum.end();) {
    const auto own = part.find(it->first);
    if (own != part.end())
      it->second -= std::min(it->second, own->second);
    it = it->second == 0 ? sum.erase(it) : std::next(it);
  }
  return sum;
}

void DemandSum::Set(const HostId& host, const DemandByRank& demand) {
  if (const auto it = reports_.find(host); it != reports_.end()) {
    total_ = Without(std::move(total_), it->second);
    reports_.erase(it);
  }
  if (demand.empty())
    return;
  for (const auto& [rank, tokens] : demand)
    total_[rank] += tokens;
  reports_[host] = demand;
}

}  // namespace endivecart::fleet
