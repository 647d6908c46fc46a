#include "endivecart/node/body_room.h"

namespace endivecart::node {

namespace {

// The rest is for the program itself, the state of the fleet, buffers, and what
// the allocator keeps.
constexpr std::size_t kMemoryDivisor = 4;
constexpr std::size_t kBytesPerMb = 1'000'000;

}  // namespace

net::BodyBudgetPtr MakeBodyBudget(int memory_mb) {
  return net::BodyBudget::Create(static_cast<std::size_t>(memory_mb) *
                                 kBytesPerMb / kMemoryDivisor);
}

void RecordBodyBudget(const net::BodyBudget& budget, MetricsRegistry& metrics) {
  metrics.Set("endivecart_body_budget_bytes", "",
              static_cast<double>(budget.bytes()));
  metrics.Set("endivecart_body_reserved_bytes", "",
              static_cast<double>(budget.reserved_bytes()));
  metrics.Set("endivecart_body_reserved_bytes_max", "",
              static_cast<double>(budget.max_reserved_bytes()));
  metrics.Set("endivecart_body_rejections", "",
              static_cast<double>(budget.rejections()));
}

}  // namespace endivecart::node
