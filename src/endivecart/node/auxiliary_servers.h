#ifndef ENDIVECART_NODE_AUXILIARY_SERVERS_H_
#define ENDIVECART_NODE_AUXILIARY_SERVERS_H_

#include <functional>
#include <memory>

#include "endivecart/net/net.h"

namespace endivecart::node {

// Internal. Auxiliary HTTP servers for readiness checks and metrics.

// Answers readiness checks with 200 if `is_ready` returns true, else with 503.
Result<std::unique_ptr<net::HttpServer>, net::NetError> ListenForChecks(
    net::EventLoop& loop,
    const settings::Endpoint& address,
    std::function<bool(const net::HttpRequest&)> is_check,
    std::function<bool()> is_ready,
    net::ConnectionBudgetPtr budget);

// Serves the metrics in Prometheus text format, at any path.
// `metrics` must outlive the server.
Result<std::unique_ptr<net::HttpServer>, net::NetError> ListenForMetrics(
    net::EventLoop& loop,
    const settings::Endpoint& address,
    const MetricsRegistry& metrics,
    net::ConnectionBudgetPtr budget);

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_AUXILIARY_SERVERS_H_
