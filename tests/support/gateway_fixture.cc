#include "support/gateway_fixture.h"

namespace tests {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

namespace {

routes::Route MakeRoute(const char* prefix, routes::RequestKind kind) {
  routes::Route route;
  route.name = prefix;
  route.host = "a";
  route.path_prefix = prefix;
  route.kind = kind;
  route.time_limit = Millis(3000);
  route.services = {{routes::ServiceId("s"), 1}};
  route.max_attempts = 2;
  route.resumable = std::string(prefix) == "/resumable/";
  return route;
}

gateway::GatewayOptions MakeOptions() {
  gateway::GatewayOptions options;
  options.domain = DomainId("a");
  options.regions = gateway::RegionMap({{DomainId("a"), "north"},
                                        {DomainId("b"), "north"},
                                        {DomainId("c"), "south"}});
  options.retry_ratio = 0.5;
  return options;
}

}  // namespace

GatewayFixture::GatewayFixture()
    : upstreams{RawUpstream(loop), RawUpstream(loop)},
      client(loop),
      gateway(MakeOptions(), PlainDialect(), loop, client, metrics) {
  using routes::RequestKind;
  routes::RoutingConfiguration configuration;
  configuration.version = 1;
  configuration.routes = {MakeRoute("/safe/", RequestKind::kIdempotent),
                          MakeRoute("/once/", RequestKind::kNonIdempotent),
                          MakeRoute("/stream/", RequestKind::kStream),
                          MakeRoute("/resumable/", RequestKind::kStream),
                          MakeRoute("/south/", RequestKind::kIdempotent)};
  configuration.routes.back().regions = {"south"};
  configuration.services.resize(1);
  configuration.services[0].id = routes::ServiceId("s");
  routes::Customer customer;
  customer.id = CustomerId("c");
  customer.keys = {"k"};
  configuration.customers = {customer};
  table = std::make_shared<const routes::RouteTable>(
      std::make_shared<const routes::RoutingConfiguration>(configuration));
  ApplyDecisions(fleet::Decisions());
  for (int i = 0; i < 2; ++i)
    Announce(i, upstreams::UpstreamState::kReady, 1);
  server = std::move(*net::HttpServer::Listen(
      loop, AnyPort(), {}, [this](net::HttpExchangePtr exchange) {
        gateway.Handle(std::move(exchange));
      }));
  for (RawUpstream& upstream : upstreams) {
    upstream.on_bytes = [this](RawUpstream::Connection& connection) {
      if (!connection.received.ends_with("\r\n\r\n"))
        return;
      requests.push_back(connection.received);
      connection.received.clear();
      answer(connection, requests.size());
    };
  }
  // The retry limit is a fraction of the requests so far.
  for (int i = 0; i < 100; ++i)
    Prime();
}

void GatewayFixture::ApplyDecisions(fleet::Decisions decisions) {
  decisions.routing_version = 1;
  gateway.SetDecisions(std::make_shared<const fleet::Decisions>(decisions),
                       table);
}

void GatewayFixture::Announce(int i,
                              upstreams::UpstreamState state,
                              std::uint64_t sequence,
                              const char* domain) {
  upstreams::Announcement announcement;
  announcement.id = UpstreamId("u" + std::to_string(i));
  announcement.start_time_ms = 1;
  announcement.sequence = sequence;
  announcement.service = routes::ServiceId("s");
  announcement.address = upstreams[static_cast<std::size_t>(i)].address();
  announcement.domain = DomainId(domain);
  announcement.slots = 4;
  announcement.state = state;
  gateway.upstreams().Apply(announcement, loop.Now());
}

void GatewayFixture::Prime() {
  answer = [](RawUpstream::Connection& connection, std::size_t) {
    Reply(connection, CompleteAnswer("0", "x"));
  };
  Send("/safe/", "0");
  requests.clear();
}

std::string GatewayFixture::CompleteAnswer(const std::string& id,
                                           const std::string& body) {
  return "HTTP/1.1 200 OK\r\nSigned: s\r\nId: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string GatewayFixture::NotRunAnswer(const std::string& id) {
  return "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: " + id +
         "\r\nContent-Length: 0\r\n\r\n";
}

std::string GatewayFixture::StreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nSigned: s\r\nId: " + id +
         "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string GatewayFixture::Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string GatewayFixture::Request(const std::string& path,
                                    const std::string& id,
                                    const std::string& extra) {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\nId: " + id + "\r\n" + extra +
         "Connection: close\r\n\r\n";
}

std::string GatewayFixture::Send(const std::string& path,
                                 const std::string& id,
                                 const std::string& extra) {
  RawCaller caller(loop, server->port());
  caller.Write(Request(path, id, extra));
  RunUntil([&] { return caller.ended(); });
  return caller.received();
}

}  // namespace tests
