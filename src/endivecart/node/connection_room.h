#ifndef ENDIVECART_NODE_CONNECTION_ROOM_H_
#define ENDIVECART_NODE_CONNECTION_ROOM_H_

#include <cstddef>

#include "endivecart/base/base.h"
#include "endivecart/net/net.h"

namespace endivecart::node {

// A sixth of the process's memory, for what connections make it hold.
net::ConnectionBudgetPtr MakeConnectionBudget(int memory_mb);

// The accepted connections that each kind of server may have.
struct ConnectionLimits {
  std::size_t callers = 0;
  std::size_t relay = 0;
  std::size_t operators = 0;

  bool operator==(const ConnectionLimits&) const = default;
};

// `descriptors` is the number that the process may have open.
ConnectionLimits ConnectionLimitsFor(std::size_t descriptors);
// For the process's own RLIMIT_NOFILE.
ConnectionLimits OwnConnectionLimits();

// Closes those connections that have been idle for longest while less than an
// eighth of `max_connections` is free. To be called each second: thousands of
// upstreams keep more connections than there are, and at a full server each new
// one costs a look through all to close a single idle one.
void KeepSlotsFree(net::HttpServer& server, std::size_t max_connections);

// Shows the budget on the metrics page.
void RecordConnectionBudget(const net::ConnectionBudget& budget,
                            MetricsRegistry& metrics);

// Returns an upper estimate of the memory that a parsed JSON text occupies.
std::size_t EstimateJsonBytes(std::string_view text);

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_CONNECTION_ROOM_H_
