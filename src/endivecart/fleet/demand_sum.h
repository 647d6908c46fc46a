#ifndef ENDIVECART_FLEET_DEMAND_SUM_H_
#define ENDIVECART_FLEET_DEMAND_SUM_H_

#include <cstdint>
#include <map>

#include "endivecart/base/base.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// Tokens of engine memory by the rank of the prompts that ask for them.
using DemandByRank = std::map<int, std::uint64_t>;

DemandByRank FromWire(const wire::MemoryDemand& message);
wire::MemoryDemand ToWire(const DemandByRank& demand);

// Returns what is left of `sum` without `part`; never negative.
DemandByRank Without(DemandByRank sum, const DemandByRank& part);

// The sum of the demand for engine memory that hosts report, so that each knows
// what the others ask for instead of taking them to be like itself.
class DemandSum {
 public:
  // Replaces what `host` reported before; an empty demand removes it.
  void Set(const HostId& host, const DemandByRank& demand);
  const DemandByRank& total() const { return total_; }

 private:
  std::map<HostId, DemandByRank> reports_;
  DemandByRank total_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_DEMAND_SUM_H_
