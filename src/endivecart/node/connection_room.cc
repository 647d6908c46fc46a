#include "endivecart/node/connection_room.h"

#include <sys/resource.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace endivecart::node {

namespace {

// The rest is for the program itself, the state of the fleet, what the kernel
// keeps for connections, and what the allocator keeps.
constexpr std::size_t kMemoryDivisor = 6;
constexpr std::size_t kBytesPerMb = 1'000'000;

// The platform reserves these for files.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kMaxCallers = 2500;
constexpr std::size_t kMaxRelay = 800;
constexpr std::size_t kMaxOperators = 2000;
// The rest is for connections to upstreams: each request may need one, and idle
// ones are kept.
constexpr double kCallersShare = 0.4;
constexpr double kRelayShare = 0.125;
// Other hosts' connections to a control host need the rest.
constexpr double kOperatorsShare = 0.5;
// Where the limit is so low that nothing is left, some service is kept.
constexpr std::size_t kMinConnections = 16;
constexpr std::size_t kFreeDivisor = 8;
// Idle for at least so long, from the longest; callers don't reuse connections
// beyond it.
constexpr Millis kLongestIdle{12000};
constexpr Millis kShortestIdle{1000};
constexpr Millis kIdleStep{500};

std::size_t Share(std::size_t descriptors, double share, std::size_t maximum) {
  const std::size_t available =
      descriptors - std::min(descriptors, kFileDescriptors);
  return std::clamp(
      static_cast<std::size_t>(static_cast<double>(available) * share),
      kMinConnections, maximum);
}

}  // namespace

net::ConnectionBudgetPtr MakeConnectionBudget(int memory_mb) {
  return net::ConnectionBudget::Create(static_cast<std::size_t>(memory_mb) *
                                       kBytesPerMb / kMemoryDivisor);
}

ConnectionLimits ConnectionLimitsFor(std::size_t descriptors) {
  ConnectionLimits limits;
  limits.callers = Share(descriptors, kCallersShare, kMaxCallers);
  limits.relay = Share(descriptors, kRelayShare, kMaxRelay);
  limits.operators = Share(descriptors, kOperatorsShare, kMaxOperators);
  return limits;
}

ConnectionLimits OwnConnectionLimits() {
  rlimit limit{};
  // Without the figure, the highest limits apply.
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    limit.rlim_cur = RLIM_INFINITY;
  return ConnectionLimitsFor(static_cast<std::size_t>(limit.rlim_cur));
}

void KeepSlotsFree(net::HttpServer& server, std::size_t max_connections) {
  const std::size_t wanted = max_connections - max_connections / kFreeDivisor;
  for (Millis idle = kLongestIdle;
       idle >= kShortestIdle && server.connections() > wanted;
       idle -= kIdleStep) {
    server.CloseIdle(idle);
  }
}

void RecordConnectionBudget(const net::ConnectionBudget& budget,
                            MetricsRegistry& metrics) {
  const auto set = [&](std::string_view name, std::string_view labels,
                       std::uint64_t value) {
    metrics.Set(name, labels, static_cast<double>(value));
  };
  set("endivecart_connection_budget_bytes", "", budget.bytes());
  set("endivecart_connection_held_bytes_max", "", budget.max_held_bytes());
  set("endivecart_connection_rejections", "", budget.rejections());
  for (int i = 0; i < static_cast<int>(net::HeldKind::kCount); ++i) {
    const auto kind = static_cast<net::HeldKind>(i);
    set("endivecart_connection_held_bytes",
        "kind=\"" + std::string(net::HeldKindName(kind)) + "\"",
        budget.HeldBytesOf(kind));
  }
  for (const auto& [kind, count] : budget.log().Totals())
    set("endivecart_clients_rejected", "kind=\"" + kind + "\"", count);
  // Names of the first version of the budget, of bodies only.
  set("endivecart_body_budget_bytes", "", budget.bytes());
  set("endivecart_body_reserved_bytes", "", budget.reserved_bytes());
  set("endivecart_body_reserved_bytes_max", "", budget.max_reserved_bytes());
  set("endivecart_body_rejections", "", budget.rejections());
}

std::size_t EstimateJsonBytes(std::string_view text) {
  // Each value needs a variant, and in an object its key and a node of the map.
  constexpr std::size_t kBytesPerValue = 192;
  const auto values = std::count_if(text.begin(), text.end(), [](char c) {
    return c == ',' || c == '[' || c == '{';
  });
  return 2 * text.size() + kBytesPerValue * static_cast<std::size_t>(values);
}

}  // namespace endivecart::node
