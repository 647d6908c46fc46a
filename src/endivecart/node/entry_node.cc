#include "endivecart/node/entry_node.h"

#include <utility>

#include "endivecart/node/auxiliary_servers.h"
#include "endivecart/node/connection_room.h"
#include "endivecart/node/incarnation.h"
#include "endivecart/node/loop_delay_monitor.h"

namespace endivecart::node {

namespace {

constexpr Millis kFollowTick{50};
constexpr Millis kGatewayTick{500};
constexpr Millis kStopTick{50};
// The load balancer detects an unready host within two checks, one second
// apart.
constexpr Millis kBalancerDelay{2500};
// Stops this long before the platform would kill the process.
constexpr Millis kStopMargin{700};
// Requests that still wait for an upstream, which may be unreachable, are
// answered this long before the process stops. Much longer than sending the
// answers takes.
constexpr Millis kFinalAnswerTime{300};
// A caller sends its next request sooner after an answer, or much later.
constexpr Millis kMinIdleTime{200};
// A body of 4 MB gets four minutes; the slowest link of a caller is faster.
constexpr std::size_t kMinBodyBytesPerSecond = 16UL << 10;

net::HttpServerLimits ServerLimits(const routes::CallerLimits& limits,
                                   std::size_t max_connections) {
  net::HttpServerLimits out;
  out.max_connections = max_connections;
  out.max_header_bytes = limits.max_header_bytes;
  out.max_body_bytes = limits.max_body_bytes;
  out.header_timeout = limits.header_timeout;
  out.idle_timeout = limits.idle_timeout;
  out.min_body_bytes_per_s = kMinBodyBytesPerSecond;
  return out;
}

std::uint64_t UnixMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

gateway::GatewayOptions OptionsFor(const settings::NodeSettings& settings,
                                   std::uint64_t seed) {
  gateway::GatewayOptions options;
  options.host = settings.host;
  options.domain = settings.domain;
  options.regions = gateway::RegionMap(settings.regions);
  options.retry_ratio = settings.bounds.retry_ratio;
  options.retry_window = settings.bounds.retry_window;
  // The last fifth of the deadline is for requests in progress.
  options.old_weights_grace = settings.bounds.weights_deadline * 4 / 5;
  options.relay_port = settings.relay ? settings.relay->port : 0;
  options.seed = seed;
  options.usage_window = settings.bounds.usage_window;
  return options;
}

}  // namespace

struct EntryNode::Parts {
  Parts(net::EventLoop& event_loop,
        settings::NodeSettings node_settings,
        EntryNodeHooks node_hooks)
      : loop(event_loop),
        settings(std::move(node_settings)),
        hooks(std::move(node_hooks)),
        incarnation(MakeIncarnation(settings.host, loop.Now())),
        delay_monitor(loop, metrics),
        client(loop),
        connection_budget(MakeConnectionBudget(settings.memory_mb)),
        connection_limits(OwnConnectionLimits()),
        gateway(OptionsFor(settings, incarnation),
                hooks.dialect,
                loop,
                client,
                metrics) {}

  Result<bool, NodeError> Open();
  void OpenFollower();
  Result<bool, NodeError> OpenRelay();
  void ApplyDecisions(const fleet::DecisionsPtr& decisions);
  void ContinueDecoding();
  // Brings the decisions whose document was decoded into force. `table` is null
  // if it stays as it is.
  void SetDecisions(routes::RouteTablePtr table);
  bool IsReady() const { return gateway.HasRoutes() && !stopping; }
  void StopTick(TimePoint now);
  // Returns when the load balancer has stopped sending new callers.
  TimePoint CallersKnowAt() const { return stop_started_at + kBalancerDelay; }
  // Returns when requests that are not answered yet get a final answer.
  TimePoint FinalAnswersAt() const {
    return stop_started_at + settings.bounds.stop_time - kStopMargin -
           kFinalAnswerTime;
  }

  net::EventLoop& loop;
  settings::NodeSettings settings;
  const EntryNodeHooks hooks;
  const std::uint64_t incarnation;
  MetricsRegistry metrics;
  LoopDelayMonitor delay_monitor;
  net::HttpClient client;
  const net::ConnectionBudgetPtr connection_budget;
  const ConnectionLimits connection_limits;
  gateway::Gateway gateway;
  std::unique_ptr<fleet::FleetBus> bus;
  std::optional<fleet::FleetFollower> follower;
  std::uint64_t routing_version = 0;  // of the last decisions
  // Whose routing document is being decoded, and the newest that came
  // meanwhile.
  fleet::DecisionsPtr decoding;
  fleet::DecisionsPtr waiting;
  TimePoint decoding_began;
  std::unique_ptr<TimerSubscription> decoding_timer;
  std::unique_ptr<net::HttpServer> callers;
  std::unique_ptr<net::HttpServer> relay;
  std::unique_ptr<net::HttpServer> ready;
  std::unique_ptr<net::HttpServer> metrics_server;
  std::vector<std::unique_ptr<TimerSubscription>> timers;
  bool stopping = false;
  TimePoint stop_started_at;
  std::unique_ptr<TimerSubscription> stop_timer;
};

void EntryNode::Parts::OpenFollower() {
  fleet::FleetFollowerOptions options;
  options.self = settings.host;
  options.incarnation = incarnation;
  options.serves_callers = true;
  options.contacts = settings.contacts;
  fleet::FleetFollower::Hooks follower_hooks;
  follower_hooks.send = [this](const HostId& to, wire::Envelope envelope) {
    bus->Send(to, std::move(envelope));
  };
  follower_hooks.on_control_hosts = [this](const std::vector<HostId>& hosts) {
    bus->ConnectTo(hosts);
  };
  follower_hooks.on_decisions = [this](const fleet::DecisionsPtr& decisions) {
    ApplyDecisions(decisions);
  };
  follower_hooks.unix_ms = UnixMillis;
  gateway::SetGatewayHooks(gateway, follower_hooks);
  follower.emplace(options, std::move(follower_hooks));
  gateway.SetFollower(&*follower);
  gateway.save_claims().SetSender([this](wire::Envelope envelope) {
    return follower->SendToLeader(std::move(envelope));
  });
}

Result<bool, NodeError> EntryNode::Parts::Open() {
  if (!settings.callers || !settings.ready) {
    return Fail(NodeError{NodeErrorCode::kSettings,
                          "listen.callers and listen.ready are required"});
  }
  auto opened = fleet::FleetBus::Open(
      loop, settings.host, settings.peer_port, false,
      [this](const wire::Envelope& envelope) {
        if (envelope.has_fleet_news()) {
          follower->OnUpdate(HostId(envelope.from()), envelope.fleet_news());
        } else if (envelope.has_cache_save_grant()) {
          gateway.save_claims().OnGrant(envelope.cache_save_grant(),
                                        gateway.cache().position().term);
        }
      });
  if (!opened)
    return Fail(NodeError{NodeErrorCode::kTransport, opened.error().detail});
  bus = std::move(*opened);
  OpenFollower();
  bus->ConnectTo(settings.contacts);
  auto listening = net::HttpServer::Listen(
      loop, *settings.callers, ServerLimits({}, connection_limits.callers),
      [this](net::HttpExchangePtr exchange) {
        gateway.Handle(std::move(exchange));
      },
      connection_budget);
  if (!listening)
    return Fail(NodeError{NodeErrorCode::kListen, listening.error().detail});
  callers = std::move(*listening);
  if (auto opened_relay = OpenRelay(); !opened_relay)
    return opened_relay;
  listening = ListenForChecks(
      loop, *settings.ready, hooks.is_readiness_check,
      [this] { return IsReady(); }, connection_budget);
  if (!listening)
    return Fail(NodeError{NodeErrorCode::kListen, listening.error().detail});
  ready = std::move(*listening);
  if (settings.metrics) {
    listening =
        ListenForMetrics(loop, *settings.metrics, metrics, connection_budget);
    if (!listening)
      return Fail(NodeError{NodeErrorCode::kListen, listening.error().detail});
    metrics_server = std::move(*listening);
  }
  timers.push_back(
      loop.Every(kFollowTick, [this](TimePoint) { follower->Tick(); }));
  timers.push_back(loop.Every(kGatewayTick, [this](TimePoint) {
    gateway.Tick();
    RecordConnectionBudget(*connection_budget, metrics);
  }));
  follower->Tick();
  return true;
}

Result<bool, NodeError> EntryNode::Parts::OpenRelay() {
  if (!settings.relay)
    return true;
  auto listening = net::HttpServer::Listen(
      loop, *settings.relay, ServerLimits({}, connection_limits.relay),
      [this](net::HttpExchangePtr exchange) {
        gateway.HandleRelayed(std::move(exchange));
      },
      connection_budget);
  if (!listening)
    return Fail(NodeError{NodeErrorCode::kListen, listening.error().detail});
  relay = std::move(*listening);
  return true;
}

void EntryNode::Parts::ApplyDecisions(const fleet::DecisionsPtr& decisions) {
  if (decoding) {
    // Decoding goes on, so that a series of changes can't keep it from ending.
    waiting = decisions;
    return;
  }
  decoding = decisions;
  decoding_began = loop.Now();
  ContinueDecoding();
}

void EntryNode::Parts::ContinueDecoding() {
  if (decoding->routing_version == routing_version) {
    SetDecisions(nullptr);
    return;
  }
  const auto decoded = hooks.decode_routing(decoding->routing_document);
  if (!decoded) {
    decoding_timer =
        loop.After(Millis(0), [this](TimePoint) { ContinueDecoding(); });
    return;
  }
  routing_version = decoding->routing_version;
  if (!*decoded) {
    LogLine("node.configuration_unreadable")
        .Add("version", routing_version)
        .Add("reason", decoded->error().detail)
        .Error();
    SetDecisions(nullptr);
    return;
  }
  const routes::RoutingConfigurationPtr& configuration = **decoded;
  callers->SetLimits(
      ServerLimits(configuration->limits, connection_limits.callers));
  if (relay) {
    relay->SetLimits(
        ServerLimits(configuration->limits, connection_limits.relay));
  }
  SetDecisions(std::make_shared<const routes::RouteTable>(configuration));
}

void EntryNode::Parts::SetDecisions(routes::RouteTablePtr table) {
  const fleet::DecisionsPtr decisions = std::exchange(decoding, nullptr);
  LogLine("node.decisions")
      .Add("index", decisions->index)
      .Add("routing_version", decisions->routing_version)
      .Add("document_bytes", std::uint64_t{decisions->routing_document.size()})
      .Add("decode_ms", MillisBetween(decoding_began, loop.Now()))
      .Info();
  gateway.SetDecisions(decisions, std::move(table));
  if (waiting)
    ApplyDecisions(std::exchange(waiting, nullptr));
}

void EntryNode::Parts::StopTick(TimePoint now) {
  const Millis elapsed =
      std::chrono::duration_cast<Millis>(now - stop_started_at);
  // The settings may have changed since.
  gateway.StopBy(FinalAnswersAt(), CallersKnowAt());
  if (elapsed < kBalancerDelay)
    return;
  bool done = gateway.active() == 0;
  for (net::HttpServer* server : {callers.get(), relay.get()}) {
    if (server == nullptr)
      continue;
    server->StopAccepting();
    server->CloseIdle(kMinIdleTime);
    done = done && server->connections() == 0;
  }
  if (!done && now >= FinalAnswersAt())
    gateway.AnswerAll();
  if (!done && now < FinalAnswersAt() + kFinalAnswerTime)
    return;
  gateway.LogCutRequests();
  CheckInvariant(gateway.active() == 0, Invariant::kGracefulStop,
                 "requests were cut by a planned stop");
  LogLine("node.stopped")
      .Add("ms", elapsed.count())
      .Add("cut_requests", std::uint64_t{gateway.active()})
      .Info();
  loop.Stop();
}

EntryNode::EntryNode() = default;
EntryNode::~EntryNode() = default;

Result<std::unique_ptr<EntryNode>, NodeError> EntryNode::Start(
    net::EventLoop& loop,
    settings::NodeSettings settings,
    EntryNodeHooks hooks) {
  std::unique_ptr<EntryNode> node(new EntryNode);
  node->parts_ =
      std::make_unique<Parts>(loop, std::move(settings), std::move(hooks));
  if (auto opened = node->parts_->Open(); !opened)
    return Fail(opened.error());
  LogLine("node.started")
      .Add("role", "entry")
      .Add("host", node->parts_->settings.host.str())
      .Add("domain", node->parts_->settings.domain.str())
      .Info();
  return node;
}

void EntryNode::Stop() {
  if (parts_->stopping)
    return;
  LogLine("node.stopping")
      .Add("active", std::uint64_t{parts_->gateway.active()})
      .Info();
  parts_->stopping = true;
  parts_->stop_started_at = parts_->loop.Now();
  parts_->gateway.StopRelaying();
  parts_->gateway.StopBy(parts_->FinalAnswersAt(), parts_->CallersKnowAt());
  parts_->callers->DisableKeepAlive();
  if (parts_->relay)
    parts_->relay->DisableKeepAlive();
  parts_->stop_timer = parts_->loop.Every(
      kStopTick, [this](TimePoint now) { parts_->StopTick(now); });
}

void EntryNode::Reload(const settings::NodeSettings& settings) {
  LogLine("node.reloaded")
      .Add("contacts", std::uint64_t{settings.contacts.size()})
      .Info();
  parts_->settings.bounds = settings.bounds;
  parts_->follower->AddContacts(settings.contacts);
}

}  // namespace endivecart::node
