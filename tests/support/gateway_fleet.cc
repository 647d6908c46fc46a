#include "support/gateway_fleet.h"

#include <algorithm>

namespace tests {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

namespace {

const HostId kControlHost("control");
constexpr Millis kAnnounceInterval{300};

routes::RouteTablePtr MakeRoutes() {
  routes::RoutingConfiguration configuration;
  configuration.version = 1;
  routes::Route route;
  route.name = "prompts";
  route.host = "a";
  route.path_prefix = "/";
  route.kind = routes::RequestKind::kStream;
  route.time_limit = Millis(3000);
  route.services = {{routes::ServiceId("s"), 1}};
  route.max_attempts = 2;
  route.resumable = true;
  route.needs_key = false;
  route.carries_prompt = true;
  routes::Route plain = route;
  plain.name = "plain";
  plain.path_prefix = "/plain/";
  plain.kind = routes::RequestKind::kIdempotent;
  plain.services = {{routes::ServiceId("plain"), 1}};
  plain.resumable = false;
  plain.carries_prompt = false;
  routes::Route once = plain;
  once.name = "once";
  once.path_prefix = "/once/";
  once.kind = routes::RequestKind::kNonIdempotent;
  routes::Route billed = plain;
  billed.name = "billed";
  billed.path_prefix = "/plain/billed/";
  billed.needs_key = true;
  configuration.routes = {route, plain, once, billed};
  configuration.customers.resize(1);
  configuration.customers[0].id = CustomerId("c");
  configuration.customers[0].keys = {"k"};
  configuration.services.resize(2);
  configuration.services[0].id = routes::ServiceId("s");
  configuration.services[1].id = routes::ServiceId("plain");
  return std::make_shared<const routes::RouteTable>(
      std::make_shared<const routes::RoutingConfiguration>(configuration));
}

}  // namespace

GatewayFleet::GatewayFleet(int hosts,
                           int upstreams,
                           bool has_links,
                           bool counts_usage)
    : has_links_(has_links),
      counts_usage_(counts_usage),
      feed_(1, &registry_, FeedHooks()) {
  for (int number = 0; number < hosts; ++number)
    AddHost(number);
  timers_.push_back(
      loop.Every(Millis(50), [this](TimePoint) { feed_.PushIfRequested(); }));
  timers_.push_back(loop.Every(kAnnounceInterval, [this](TimePoint now) {
    for (const auto& upstream : this->upstreams) {
      if (!upstream->ended)
        registry_.Refresh(upstream->id, now);
    }
  }));
  for (int i = 0; i < upstreams; ++i)
    StartUpstream();
  // Until every host has polled.
  RunFor(Millis(300));
}

fleet::FleetFeed::Hooks GatewayFleet::FeedHooks() {
  fleet::FleetFeed::Hooks hooks;
  hooks.send = [this](const HostId& to, const wire::Envelope& envelope) {
    loop.Post([this, to, update = envelope.fleet_news()]() mutable {
      for (const auto& host : hosts_) {
        if (host->id != to)
          continue;
        if (has_links_)
          UseLinks(*host, update);
        host->follower->OnUpdate(kControlHost, update);
      }
    });
  };
  hooks.now = [this] { return loop.Now(); };
  hooks.voter_hosts = [] { return std::vector<HostId>{kControlHost}; };
  hooks.leader_host = [] { return kControlHost; };
  hooks.on_move_report = [](const HostId&, const wire::ServiceMoveReport&) {};
  hooks.quiesced = [] { return std::vector<UpstreamId>(); };
  hooks.cache_update = [](const fleet::CachePosition&) {
    return std::optional<wire::CacheUpdate>();
  };
  hooks.on_leaving = [this](const upstreams::UpstreamRun& run) {
    if (shares_leaving) {
      registry_.MarkLeaving(run, loop.Now());
      feed_.RequestPush();
    }
  };
  if (counts_usage_) {
    hooks.true_unix_ms = [this] {
      return static_cast<std::uint64_t>(
          std::chrono::duration_cast<Millis>(loop.Now().time_since_epoch())
              .count());
    };
  }
  return hooks;
}

void GatewayFleet::AddHost(int number) {
  hosts_.push_back(std::make_unique<Host>());
  Host& host = *hosts_.back();
  // Each has an address of its own, where others relay requests.
  host.id = HostId("127.0.0." + std::to_string(number + 1));
  host.relay = std::move(*net::HttpServer::Listen(
      loop, {host.id.str(), 0}, {}, [&host](net::HttpExchangePtr exchange) {
        host.gateway->HandleRelayed(std::move(exchange));
      }));
  host.client = std::make_unique<net::HttpClient>(loop);
  host.metrics = std::make_unique<MetricsRegistry>();
  gateway::GatewayOptions options;
  options.host = host.id;
  options.domain = DomainId("a");
  options.regions = gateway::RegionMap({{DomainId("a"), "north"}});
  options.seed = static_cast<std::uint64_t>(number) + 1;
  options.relay_port = host.relay->port();
  host.gateway = std::make_unique<gateway::Gateway>(
      options, PlainDialect(), loop, *host.client, *host.metrics);
  fleet::FleetFollower::Hooks hooks;
  hooks.send = [this, id = host.id](const HostId&,
                                    const wire::Envelope& envelope) {
    loop.Post(
        [this, id, poll = envelope.fleet_poll()] { feed_.OnPoll(id, poll); });
  };
  hooks.on_control_hosts = [](const std::vector<HostId>&) {};
  hooks.on_decisions = [](const fleet::DecisionsPtr&) {};
  gateway::SetGatewayHooks(*host.gateway, hooks);
  fleet::FleetFollowerOptions follower_options;
  follower_options.self = host.id;
  follower_options.serves_callers = true;
  follower_options.contacts = {kControlHost};
  host.follower = std::make_unique<fleet::FleetFollower>(follower_options,
                                                         std::move(hooks));
  host.gateway->SetFollower(host.follower.get());
  host.gateway->SetDecisions(std::make_shared<const fleet::Decisions>(),
                             MakeRoutes());
  host.server = std::move(*net::HttpServer::Listen(
      loop, AnyPort(), {}, [&host](net::HttpExchangePtr exchange) {
        host.gateway->Handle(std::move(exchange));
      }));
  timers_.push_back(
      loop.Every(Millis(50), [&host](TimePoint) { host.follower->Tick(); }));
  timers_.push_back(
      loop.Every(Millis(500), [&host](TimePoint) { host.gateway->Tick(); }));
}

void GatewayFleet::UseLinks(Host& host, wire::FleetUpdate& update) {
  for (wire::AnnouncementRecord& record : *update.mutable_announcements()) {
    const auto announcement = upstreams::FromRecord(record);
    auto& link = host.links[announcement->address.port];
    if (!link) {
      link = std::make_unique<RawProxy>(loop, announcement->address);
      if (host.cut)
        link->CutLink(*host.cut);
    }
    record.set_address(link->address().ToString());
  }
}

void GatewayFleet::CutLinks(std::size_t number, RawProxy::Cut cut) {
  Host& host = *hosts_.at(number);
  host.cut = cut;
  for (const auto& [port, link] : host.links)
    link->CutLink(cut);
}

void GatewayFleet::RestoreLinks(std::size_t number) {
  Host& host = *hosts_.at(number);
  host.cut.reset();
  for (const auto& [port, link] : host.links)
    link->Restore();
}

void GatewayFleet::SetDecisions(const fleet::Decisions& decisions) {
  for (const auto& host : hosts_) {
    host->gateway->SetDecisions(
        std::make_shared<const fleet::Decisions>(decisions), nullptr);
  }
}

GatewayFleet::Upstream& GatewayFleet::StartUpstream(
    const std::string& version,
    const std::string& service) {
  upstreams.push_back(std::make_unique<Upstream>(loop));
  Upstream& upstream = *upstreams.back();
  upstream.id = UpstreamId("u" + std::to_string(++started_upstreams_));
  upstream.version = version;
  upstream.server.on_bytes = [this,
                              &upstream](RawUpstream::Connection& connection) {
    if (!connection.received.ends_with("\r\n\r\n"))
      return;
    const std::string request = std::exchange(connection.received, "");
    upstream.requests.push_back(request);
    if (on_request)
      on_request(upstream, connection, request);
  };
  upstreams::Announcement announcement;
  announcement.id = upstream.id;
  announcement.start_time_ms = 1;
  announcement.sequence = 1;
  announcement.service = routes::ServiceId(service);
  announcement.address = upstream.server.address();
  announcement.domain = DomainId("a");
  announcement.slots = upstream_slots;
  announcement.software_version = VersionId(version);
  announcement.state = upstreams::UpstreamState::kReady;
  registry_.Apply(announcement, loop.Now(), loop.Now());
  feed_.RequestPush();
  return upstream;
}

void GatewayFleet::Crash(Upstream& upstream) {
  upstream.ended = true;
  upstream.server.Stop();
}

void GatewayFleet::SendRequest(int port,
                               const std::string& path,
                               const std::string& fields,
                               const std::string& key) {
  CollectAnswers();
  calls_.push_back({std::make_unique<RawCaller>(loop, port), key});
  calls_.back().caller->Write("GET " + path + " HTTP/1.1\r\nHost: a\r\nId: " +
                              std::to_string(++sent_requests_) + "\r\n" +
                              fields + "Connection: close\r\n\r\n");
}

void GatewayFleet::SendPrompt(int host, const std::string& parts) {
  const std::string own = ",own" + std::to_string(sent_requests_ + 1);
  const int port = hosts_.at(static_cast<std::size_t>(host))->server->port();
  SendRequest(port, "/x", "Model: m\r\nParts: " + parts + own + "\r\n", parts);
}

void GatewayFleet::SendPlain(int host,
                             const std::string& path,
                             const std::string& fields) {
  const int port = hosts_.at(static_cast<std::size_t>(host))->server->port();
  SendRequest(port, path, fields, path);
}

void GatewayFleet::SendRelayed(const std::string& path,
                               const std::string& fields) {
  SendRequest(hosts_.front()->relay->port(), path,
              std::string(gateway::kRelayedField) + ": " +
                  gateway::ToText(gateway::RelayTicket()) + "\r\n" + fields,
              path);
}

void GatewayFleet::LeaveAll() {
  CollectAnswers();
  for (const PendingCall& call : calls_)
    call.caller->Close();
  calls_.clear();
}

void GatewayFleet::CollectAnswers() {
  std::erase_if(calls_, [this](const PendingCall& call) {
    if (!call.caller->ended())
      return false;
    const std::string& received = call.caller->received();
    answers[call.key].push_back(received.substr(0, received.find('\r')));
    return true;
  });
}

std::string GatewayFleet::Field(const std::string& message,
                                const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const std::size_t at = message.find(start);
  if (at == std::string::npos)
    return "";
  const std::size_t begin = at + start.size();
  return message.substr(begin, message.find('\r', begin) - begin);
}

void GatewayFleet::AnswerPlain(RawUpstream::Connection& connection,
                               const std::string& request) {
  Reply(connection,
        "HTTP/1.1 200 OK\r\nSigned: s\r\nId: " + Field(request, "Id") +
            "\r\nContent-Length: 2\r\n\r\nok");
}

void GatewayFleet::Answer(RawUpstream::Connection& connection,
                          const std::string& request,
                          const std::string& extra_fields) {
  Reply(connection, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: " +
                        Field(request, "Id") + "\r\n" + extra_fields +
                        "Transfer-Encoding: chunked\r\n\r\n"
                        "9\r\nid: 1\ndat\r\n5\r\na: \n\n\r\n0\r\n\r\n");
}

}  // namespace tests
