#include "endivecart/node/voter_node.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "endivecart/node/disk_thread.h"
#include "endivecart/node/side_server.h"

namespace endivecart::node {

namespace {

constexpr Millis kVoterTick{20};
constexpr Millis kFollowTick{50};
constexpr Millis kOrdersTick{50};
constexpr Millis kExpireInterval{1000};
constexpr Millis kStopDelay{300};
// Longer than a store holds back an answer.
constexpr Millis kOrderTimeout{1500};
constexpr Millis kRetireInterval{5000};
constexpr Millis kProposalPatience{900};
constexpr std::size_t kMaxConnections = 2000;
// A routing configuration of thousands of routes.
constexpr std::size_t kMaxCallBytes = 32UL << 20;

fleet::WeightsConductor::Options ConductorOptions(
    const settings::NodeSettings& settings) {
  fleet::WeightsConductor::Options options;
  options.lease = settings.bounds.order_lease;
  return options;
}

}  // namespace

struct VoterNode::Parts {
  struct OpenCall {
    net::HttpCallPtr call;
    std::unique_ptr<TimerSubscription> timeout;
    int status = 0;
    std::string body;
  };

  Parts(net::EventLoop& event_loop,
        settings::NodeSettings node_settings,
        VoterNodeHooks node_hooks)
      : loop(event_loop),
        settings(std::move(node_settings)),
        hooks(std::move(node_hooks)),
        incarnation(StableHash(
            settings.host.str(),
            static_cast<std::uint64_t>(loop.Now().time_since_epoch().count()))),
        client(loop),
        conductor(ConductorOptions(settings)) {}

  Result<bool, NodeError> Open();
  Result<bool, NodeError> OpenStorage();
  Result<bool, NodeError> OpenServers();
  void OpenVoter();
  void OpenFeed();
  void OpenFollower();
  void StartTimers();
  void OnEnvelope(const wire::Envelope& envelope);
  void OnCall(const net::HttpExchangePtr& exchange);
  void GiveOrders();
  void SendOrder(const fleet::WeightsOrder& order);
  void SendCheck(const fleet::WeightsCheck& check);
  void EndMoves();
  void KeepCaches();
  void ReadStore(const fleet::CacheRead& read);
  void FreeParts(const fleet::CacheFree& order);
  std::vector<std::string> LiveLabels() const;
  void Call(const settings::Endpoint& address,
            const net::HttpRequest& request,
            std::function<void(int status, const std::string& body)> done);

  net::EventLoop& loop;
  settings::NodeSettings settings;
  const VoterNodeHooks hooks;
  const std::uint64_t incarnation;
  MetricsRegistry metrics;
  net::HttpClient client;
  std::unique_ptr<control::DataFolder> storage;
  upstreams::AnnouncedRoster roster;
  std::unique_ptr<fleet::FleetBus> bus;
  std::optional<fleet::FleetVoter> voter;
  std::optional<fleet::FleetFeed> feed;
  std::optional<fleet::FleetFollower> follower;
  std::optional<fleet::OperatorDesk> desk;
  fleet::WeightsConductor conductor;
  fleet::MoveConductor moves;
  std::vector<UpstreamId> told_resting;
  fleet::CacheCatalog catalog;
  std::uint64_t catalog_term = 0;  // 0: not in office
  std::uint64_t catalog_routing = 0;
  TimePoint retire_due{};
  std::unique_ptr<net::HttpServer> operators;
  std::unique_ptr<net::HttpServer> metrics_server;
  std::uint64_t next_call = 1;
  std::map<std::uint64_t, OpenCall> calls;
  std::vector<std::unique_ptr<TimerSubscription>> timers;
  bool stopping = false;
  // Last: its jobs use the storage.
  std::unique_ptr<DiskThread> disk;
};

Result<bool, NodeError> VoterNode::Parts::Open() {
  if (!settings.operators || settings.data_folder.empty()) {
    return Fail(NodeError{NodeErrorCode::kSettings,
                          "listen.operators and data_folder are needed"});
  }
  if (auto opened = OpenStorage(); !opened)
    return opened;
  disk = std::make_unique<DiskThread>(loop);
  auto opened = fleet::FleetBus::Open(
      loop, settings.host, settings.peer_port, true,
      [this](const wire::Envelope& envelope) { OnEnvelope(envelope); });
  if (!opened)
    return Fail(NodeError{NodeErrorCode::kTransport, opened.error().detail});
  bus = std::move(*opened);
  OpenFeed();
  OpenVoter();
  OpenFollower();
  desk.emplace(*voter, roster, *feed, [this] { return loop.Now(); });
  feed->PushDecisions(voter->decisions());
  if (auto listening = OpenServers(); !listening)
    return listening;
  StartTimers();
  return true;
}

Result<bool, NodeError> VoterNode::Parts::OpenStorage() {
  const bool is_contact =
      std::find(settings.contacts.begin(), settings.contacts.end(),
                settings.host) != settings.contacts.end();
  auto opened = control::DataFolder::Open(settings.data_folder, settings.host,
                                          settings.first_start && is_contact);
  if (!opened)
    return Fail(NodeError{NodeErrorCode::kStorage, opened.error().detail});
  storage = std::move(*opened);
  return true;
}

void VoterNode::Parts::OpenVoter() {
  fleet::FleetVoterOptions options;
  options.member = storage->member();
  options.is_founder = storage->is_founder();
  options.founders = settings.contacts;
  options.seed = incarnation;
  fleet::FleetVoter::Hooks vote;
  vote.send = [this](const HostId& to, wire::Envelope envelope) {
    bus->Send(to, std::move(envelope));
  };
  vote.run_on_disk = [this](DiskThread::Job job, DiskThread::Done done) {
    disk->Run(std::move(job), std::move(done));
  };
  vote.on_decisions = [this](const fleet::Decisions& decisions) {
    LogLine("node.decisions")
        .Add("index", decisions.index)
        .Add("routing_version", decisions.routing_version)
        .Info();
    feed->PushDecisions(decisions);
  };
  vote.on_disk_failure = [this](const control::StorageError& error) {
    // A restart reads what the disk really holds.
    LogLine("node.disk_failed").Add("detail", error.detail).Error();
    loop.Stop();
  };
  vote.now = [this] { return loop.Now(); };
  voter.emplace(options, storage.get(), std::move(vote));
}

void VoterNode::Parts::OpenFeed() {
  fleet::FleetFeed::Hooks tell;
  tell.send = [this](const HostId& to, wire::Envelope envelope) {
    bus->Send(to, std::move(envelope));
  };
  tell.now = [this] { return loop.Now(); };
  tell.voter_hosts = [this] {
    return voter ? voter->VoterHosts() : std::vector<HostId>();
  };
  tell.cache_news = [this](std::uint64_t term, std::uint64_t cursor) {
    return catalog_term != 0 && voter->HasOffice()
               ? catalog.NewsSince(term, cursor, loop.Now())
               : std::nullopt;
  };
  tell.on_move_report = [this](const HostId& host,
                               const wire::ServiceMoveReport& report) {
    moves.OnReport(host, report);
  };
  tell.resting = [this] {
    return voter && voter->HasOffice() ? conductor.Resting()
                                       : std::vector<UpstreamId>();
  };
  tell.leader_host = [this] { return voter ? voter->LeaderHost() : HostId(); };
  feed.emplace(incarnation, &roster, std::move(tell));
}

void VoterNode::Parts::OpenFollower() {
  fleet::FleetFollowerOptions options;
  options.self = settings.host;
  options.incarnation = incarnation;
  options.member = storage->member().str();
  options.contacts = settings.contacts;
  // The contacts may be others by now than when the log was begun.
  for (const HostId& host : voter->VoterHosts()) {
    if (std::find(options.contacts.begin(), options.contacts.end(), host) ==
        options.contacts.end()) {
      options.contacts.push_back(host);
    }
  }
  fleet::FleetFollower::Hooks follow;
  follow.send = [this](const HostId& to, wire::Envelope envelope) {
    bus->Send(to, std::move(envelope));
  };
  follow.on_voters = [this](const std::vector<HostId>& voters) {
    bus->ConnectTo(voters);
  };
  follow.on_decisions = [](const fleet::DecisionsPtr&) {
    // A voter takes decisions from its own log only.
  };
  follow.on_announcement = [this](const upstreams::Announcement& announcement,
                                  TimePoint received_at) {
    if (roster.Apply(announcement, received_at, loop.Now()) ==
        upstreams::AnnouncementEffect::kChanged) {
      feed->PushAnnouncements();
    }
  };
  follow.own_loads = [] { return std::vector<fleet::OwnLoad>(); };
  follow.move_reports = [] { return std::vector<wire::ServiceMoveReport>(); };
  follow.now = [this] { return loop.Now(); };
  bus->ConnectTo(options.contacts);
  follower.emplace(options, std::move(follow));
}

Result<bool, NodeError> VoterNode::Parts::OpenServers() {
  net::HttpServerLimits limits;
  limits.max_connections = kMaxConnections;
  limits.max_body_bytes = kMaxCallBytes;
  auto listening = net::HttpServer::Listen(
      loop, *settings.operators, limits,
      [this](const net::HttpExchangePtr& exchange) { OnCall(exchange); });
  if (!listening)
    return Fail(NodeError{NodeErrorCode::kListen, listening.error().detail});
  operators = std::move(*listening);
  if (!settings.metrics)
    return true;
  listening = ListenForMetrics(loop, *settings.metrics, metrics);
  if (!listening)
    return Fail(NodeError{NodeErrorCode::kListen, listening.error().detail});
  metrics_server = std::move(*listening);
  return true;
}

void VoterNode::Parts::StartTimers() {
  timers.push_back(
      loop.Every(kVoterTick, [this](TimePoint) { voter->Tick(); }));
  timers.push_back(
      loop.Every(kFollowTick, [this](TimePoint) { follower->Tick(); }));
  timers.push_back(loop.Every(kOrdersTick, [this](TimePoint) {
    GiveOrders();
    EndMoves();
    KeepCaches();
  }));
  timers.push_back(loop.Every(kExpireInterval, [this](TimePoint now) {
    feed->Expire();
    roster.Expire(now);
  }));
}

void VoterNode::Parts::OnEnvelope(const wire::Envelope& envelope) {
  const HostId from(envelope.from());
  if (envelope.has_raft()) {
    voter->OnRaft(from, envelope.raft());
  } else if (envelope.has_fleet_poll()) {
    const wire::FleetPoll& poll = envelope.fleet_poll();
    if (!poll.member().empty())
      voter->OnMember(control::MemberId(poll.member()));
    feed->OnPoll(from, poll);
  } else if (envelope.has_fleet_news()) {
    follower->OnNews(from, envelope.fleet_news());
  }
}

void VoterNode::Parts::OnCall(const net::HttpExchangePtr& exchange) {
  const auto call = hooks.decode_call(exchange->request());
  if (!call) {
    exchange->Answer(hooks.no_such_call());
    return;
  }
  desk->Handle(*call, [this, exchange](const fleet::OperatorReply& reply) {
    const std::string& target = exchange->request().target;
    LogLine line("node.call");
    line.Add("call", target)
        .Add("outcome", fleet::OperatorOutcomeName(reply.outcome))
        .Add("detail", reply.detail)
        .Add("ms", MillisBetween(exchange->received_at(), loop.Now()));
    if (reply.outcome == fleet::OperatorOutcome::kDone) {
      line.Debug();
    } else {
      line.Info();
    }
    metrics.Add("endivecart_calls_total",
                "outcome=\"" +
                    std::string(fleet::OperatorOutcomeName(reply.outcome)) +
                    "\"");
    exchange->Answer(hooks.encode_reply(reply, exchange->request(),
                                        settings.operators->port));
  });
}

void VoterNode::Parts::GiveOrders() {
  const TimePoint now = loop.Now();
  for (const fleet::WeightsOrder& order : conductor.NextOrders(
           voter->decisions(), roster, !stopping && voter->HasOffice(),
           voter->term(), now)) {
    SendOrder(order);
  }
  for (const fleet::WeightsCheck& check : conductor.NextChecks(roster, now))
    SendCheck(check);
  const auto resting = conductor.Resting();
  if (resting != told_resting) {
    told_resting = resting;
    feed->PushAnnouncements();
  }
}

void VoterNode::Parts::SendOrder(const fleet::WeightsOrder& order) {
  LogLine("node.weights_order")
      .Add("upstream", order.upstream.str())
      .Add("model", order.model.str())
      .Add("version", order.version)
      .Add("fencing_number", order.fencing_number)
      .Info();
  Call(order.address, hooks.encode_order(order, settings.name),
       [this, order](int status, const std::string&) {
         const auto end = hooks.decode_order_end(status);
         LogLine("node.weights_order_end")
             .Add("upstream", order.upstream.str())
             .Add("version", order.version)
             .Add("status", status)
             .Add("end", fleet::WeightsOrderEndName(end))
             .Info();
         conductor.OnOrderEnd(order.upstream, end, loop.Now());
       });
}

void VoterNode::Parts::SendCheck(const fleet::WeightsCheck& check) {
  Call(check.address, hooks.encode_check(check),
       [this, check](int status, const std::string& body) {
         if (status != 200)
           return;  // asked again soon
         if (const auto report = hooks.decode_report(check.model, body)) {
           conductor.OnReport(check.upstream, check.model, *report, loop.Now());
           GiveOrders();
         }
       });
}

void VoterNode::Parts::EndMoves() {
  const auto ends = moves.NextEnds(voter->decisions(), loop.Now());
  if (stopping || !voter->HasOffice())
    return;
  for (const fleet::MoveEnd& end : ends) {
    LogLine("node.move_end")
        .Add("service", end.service.str())
        .Add("target", end.target.str())
        .Add("completed", end.completed ? "yes" : "no")
        .Add("reason", end.reason)
        .Info();
    wire::FleetCommand command;
    command.mutable_end_move()->set_service(end.service.str());
    command.mutable_end_move()->set_target(end.target.str());
    command.mutable_end_move()->set_completed(end.completed);
    // Named again with the next tick, should this be lost.
    voter->Propose(command, kProposalPatience, [](fleet::ProposalEnd) {});
  }
}

void VoterNode::Parts::KeepCaches() {
  const TimePoint now = loop.Now();
  if (stopping || !voter->HasOffice()) {
    // Found again in the same term, the office was nobody else's in between.
    if (voter->term() != catalog_term && std::exchange(catalog_term, 0) != 0)
      catalog.StopOffice();
    return;
  }
  if (catalog_term != voter->term()) {
    catalog_term = voter->term();
    catalog.StartOffice(catalog_term, now);
    retire_due = now + kRetireInterval;
  }
  const fleet::Decisions& decisions = voter->decisions();
  if (catalog_routing != decisions.routing_version) {
    catalog_routing = decisions.routing_version;
    std::vector<routes::CacheStore> stores;
    const auto configuration = hooks.decode_routing(decisions.routing_document);
    if (configuration) {
      for (const routes::Service& service : configuration->services) {
        if (service.store)
          stores.push_back(*service.store);
      }
    }
    catalog.SetStores(stores);
  }
  for (const fleet::CacheRead& read : catalog.NextReads(now))
    ReadStore(read);
  if (now >= retire_due) {
    retire_due = now + kRetireInterval;
    const auto live = LiveLabels();
    catalog.Retire(
        [&live](const std::string& label) {
          return live.empty() ||
                 std::any_of(live.begin(), live.end(),
                             [&](const std::string& prefix) {
                               return label == prefix ||
                                      label.starts_with(prefix + ".");
                             });
        },
        now);
  }
  for (const fleet::CacheFree& order : catalog.NextFrees(now))
    FreeParts(order);
}

// Labels under which some upstream still works, those of single customers left
// out.
std::vector<std::string> VoterNode::Parts::LiveLabels() const {
  std::vector<std::string> labels;
  for (const auto& [id, upstream] : roster.all()) {
    if (upstream.last.state == upstreams::UpstreamState::kGone)
      continue;
    for (const upstreams::LoadedModel& loaded : upstream.last.models)
      labels.push_back(
          fleet::CacheLabel(loaded.model, loaded.version, CustomerId()));
  }
  for (const auto& [model, version] : voter->decisions().weights)
    labels.push_back(fleet::CacheLabel(model, version, CustomerId()));
  return labels;
}

void VoterNode::Parts::ReadStore(const fleet::CacheRead& read) {
  const std::uint64_t term = catalog_term;
  Call(read.store, hooks.encode_cache_read(read),
       [this, read, term](int status, const std::string& body) {
         if (term != catalog_term)
           return;
         if (status == 200 && read.is_list) {
           if (const auto list = hooks.decode_cache_list(body)) {
             catalog.OnList(read.store, *list, loop.Now());
             return;
           }
         } else if (status == 200) {
           if (const auto events = hooks.decode_cache_events(body)) {
             catalog.OnEvents(read.store, *events, loop.Now());
             return;
           }
         }
         catalog.OnReadFailed(read.store, loop.Now());
       });
}

void VoterNode::Parts::FreeParts(const fleet::CacheFree& order) {
  LogLine("node.cache_free")
      .Add("store", order.store.ToString())
      .Add("parts", std::uint64_t{order.parts.size()})
      .Info();
  Call(order.store, hooks.encode_cache_free(order),
       [order](int status, const std::string&) {
         if (status < 200 || status >= 300) {
           LogLine("node.cache_free_refused")
               .Add("store", order.store.ToString())
               .Add("status", status)
               .Warn();
         }
       });
}

void VoterNode::Parts::Call(
    const settings::Endpoint& address,
    const net::HttpRequest& request,
    std::function<void(int status, const std::string& body)> done) {
  const std::uint64_t id = next_call++;
  OpenCall& open = calls[id];
  const auto end = [this, id, done = std::move(done)](bool complete) {
    const auto it = calls.find(id);
    if (it == calls.end())
      return;
    const OpenCall ended = std::move(it->second);
    calls.erase(it);
    done(complete ? ended.status : 0, ended.body);
  };
  open.timeout = loop.After(kOrderTimeout, [end](TimePoint) { end(false); });
  open.call = client.Start(
      address, request, net::CallOptions(),
      {[this, id](const net::HttpResponseHead& head) {
         calls.at(id).status = head.status;
       },
       [this, id](std::string_view bytes) { calls.at(id).body += bytes; },
       [end](net::CallEnd result) { end(result == net::CallEnd::kComplete); }});
}

VoterNode::VoterNode() = default;
VoterNode::~VoterNode() = default;

Result<std::unique_ptr<VoterNode>, NodeError> VoterNode::Start(
    net::EventLoop& loop,
    settings::NodeSettings settings,
    VoterNodeHooks hooks) {
  std::unique_ptr<VoterNode> node(new VoterNode);
  node->parts_ =
      std::make_unique<Parts>(loop, std::move(settings), std::move(hooks));
  if (auto opened = node->parts_->Open(); !opened)
    return Fail(opened.error());
  LogLine("node.started")
      .Add("role", "control")
      .Add("member", node->parts_->storage->member().str())
      .Add("decisions", node->parts_->voter->decisions().index)
      .Info();
  return node;
}

void VoterNode::Stop() {
  if (std::exchange(parts_->stopping, true))
    return;
  LogLine("node.stopping").Info();
  parts_->operators->AnnounceClose();
  parts_->operators->StopAccepting();
  parts_->timers.push_back(parts_->loop.After(kStopDelay, [this](TimePoint) {
    LogLine("node.stopped").Info();
    parts_->loop.Stop();
  }));
}

void VoterNode::Reload(const settings::NodeSettings& settings) {
  LogLine("node.reloaded")
      .Add("contacts", std::uint64_t{settings.contacts.size()})
      .Info();
  parts_->settings.bounds = settings.bounds;
  parts_->follower->AddContacts(settings.contacts);
}

}  // namespace endivecart::node
