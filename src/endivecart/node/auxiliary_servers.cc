#include "endivecart/node/auxiliary_servers.h"

#include <utility>

namespace endivecart::node {

namespace {

constexpr std::size_t kMaxConnections = 64;

net::HttpServerLimits AuxiliaryServerLimits() {
  net::HttpServerLimits limits;
  limits.max_connections = kMaxConnections;
  limits.max_body_bytes = 1024;
  return limits;
}

}  // namespace

Result<std::unique_ptr<net::HttpServer>, net::NetError> ListenForChecks(
    net::EventLoop& loop,
    const settings::Endpoint& address,
    std::function<bool(const net::HttpRequest&)> is_check,
    std::function<bool()> is_ready,
    net::ConnectionBudgetPtr budget) {
  return net::HttpServer::Listen(
      loop, address, AuxiliaryServerLimits(),
      [is_check = std::move(is_check),
       is_ready = std::move(is_ready)](const net::HttpExchangePtr& exchange) {
        int status = 404;
        if (is_check(exchange->request()))
          status = is_ready() ? 200 : 503;
        exchange->Respond(net::MakeResponse(status, "text/plain", ""));
      },
      std::move(budget));
}

Result<std::unique_ptr<net::HttpServer>, net::NetError> ListenForMetrics(
    net::EventLoop& loop,
    const settings::Endpoint& address,
    const MetricsRegistry& metrics,
    net::ConnectionBudgetPtr budget) {
  return net::HttpServer::Listen(
      loop, address, AuxiliaryServerLimits(),
      [&metrics](const net::HttpExchangePtr& exchange) {
        exchange->Respond(net::MakeResponse(200, "text/plain; version=0.0.4",
                                            metrics.PrometheusText()));
      },
      std::move(budget));
}

}  // namespace endivecart::node
