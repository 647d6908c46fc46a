#ifndef ENDIVECART_NODE_SIDE_SERVER_H_
#define ENDIVECART_NODE_SIDE_SERVER_H_

#include <functional>
#include <memory>

#include "endivecart/net/net.h"

namespace endivecart::node {

// Internal. Small servers beside a process's main one.

// Answers readiness checks: 200 while `is_ready`, else 503.
Result<std::unique_ptr<net::HttpServer>, net::NetError> ListenForChecks(
    net::EventLoop& loop,
    const settings::Endpoint& address,
    std::function<bool(const net::HttpRequest&)> is_check,
    std::function<bool()> is_ready);

// Serves counters and histograms in Prometheus text format, at any path.
// `metrics` must outlive the server.
Result<std::unique_ptr<net::HttpServer>, net::NetError> ListenForMetrics(
    net::EventLoop& loop,
    const settings::Endpoint& address,
    const MetricsRegistry& metrics);

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_SIDE_SERVER_H_
