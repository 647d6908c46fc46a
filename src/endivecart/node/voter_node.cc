#include "endivecart/node/voter_node.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "endivecart/node/auxiliary_servers.h"
#include "endivecart/node/cache_store_controller.h"
#include "endivecart/node/connection_room.h"
#include "endivecart/node/control_metrics.h"
#include "endivecart/node/disk_thread.h"
#include "endivecart/node/duty_parts.h"
#include "endivecart/node/incarnation.h"
#include "endivecart/node/operator_calls.h"
#include "endivecart/node/upstream_client.h"
#include "endivecart/node/weights_controller.h"

namespace endivecart::node {

namespace {

constexpr Millis kVoterTick = fleet::PollQueue::kWindow;
constexpr Millis kFollowTick{50};
constexpr Millis kPushTick{50};
constexpr Millis kBusyPush{500};
constexpr Millis kLeaderTaskInterval{50};
constexpr Millis kExpireInterval{1000};
constexpr Millis kStopDelay{300};
constexpr Millis kProposalTimeout{900};
// The port for the log's messages follows that of all others.
constexpr int kLogPortOffset = 1;
constexpr char kQuarantineFile[] = "quarantines";
// Large enough for a routing configuration with thousands of routes.
constexpr std::size_t kMaxCallBytes = 32UL << 20;

std::uint64_t UnixMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

struct VoterNode::Parts {
  Parts(net::EventLoop& event_loop,
        settings::NodeSettings node_settings,
        VoterNodeHooks node_hooks)
      : loop(event_loop),
        settings(std::move(node_settings)),
        hooks(std::move(node_hooks)),
        incarnation(MakeIncarnation(settings.host, loop.Now())),
        upstream_client(loop),
        weights(loop,
                upstream_client,
                hooks,
                settings.name,
                {settings.bounds.order_lease}),
        caches(loop, upstream_client, hooks),
        connection_budget(MakeConnectionBudget(settings.memory_mb)) {}

  Result<bool, NodeError> Open();
  Result<bool, NodeError> OpenStorage();
  Result<bool, NodeError> OpenServers();
  void OpenVoter();
  void OpenFeed();
  void SaveQuarantines(const std::vector<quarantine::Quarantine>& quarantines);
  void OpenFollower();
  void StartTimers();
  void VoterTick(TimePoint now);
  void PushTick(TimePoint now);
  void OnEnvelope(const wire::Envelope& envelope);
  void OnCallerPoll(const HostId& from, const wire::FleetPoll& poll);
  fleet::CacheSaveBatches::Hooks SaveHooks();
  void RunLeaderTasks();
  void EndMoves();

  net::EventLoop& loop;
  settings::NodeSettings settings;
  const VoterNodeHooks hooks;
  const std::uint64_t incarnation;
  MetricsRegistry metrics;
  UpstreamClient upstream_client;
  WeightsController weights;
  CacheStoreController caches;
  std::unique_ptr<control::DataFolder> storage;
  upstreams::UpstreamRegistry roster;
  std::unique_ptr<fleet::FleetBus> bus;
  // For the replicated log only, so that its messages wait behind no others.
  std::unique_ptr<fleet::FleetBus> log_bus;
  std::optional<fleet::FleetVoter> voter;
  std::optional<fleet::FleetFeed> feed;
  std::optional<fleet::PollQueue> polls;
  std::optional<fleet::FleetFollower> follower;
  std::optional<fleet::OperatorService> operator_service;
  fleet::MoveCoordinator moves;
  std::unique_ptr<DutyParts> duties;  // null: there are none
  const net::ConnectionBudgetPtr connection_budget;
  std::unique_ptr<net::HttpServer> operators;
  std::unique_ptr<net::HttpServer> metrics_server;
  std::vector<std::unique_ptr<TimerSubscription>> timers;
  bool stopping = false;
  bool was_leader = false;
  TimePoint last_tick_at{};
  std::chrono::microseconds tick_delay{0};
  TimePoint pushed_at{};
  // Declared last, so that it stops first: its jobs use the storage.
  std::unique_ptr<DiskThread> disk;
};

Result<bool, NodeError> VoterNode::Parts::Open() {
  if (!settings.operators || settings.data_folder.empty()) {
    return Fail(NodeError{NodeErrorCode::kSettings,
                          "listen.operators and data_folder are required"});
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
  opened = fleet::FleetBus::Open(
      loop, settings.host, settings.peer_port + kLogPortOffset, true,
      [this](const wire::Envelope& envelope) {
        if (envelope.has_raft())
          voter->OnRaft(HostId(envelope.from()), envelope.raft());
      });
  if (!opened)
    return Fail(NodeError{NodeErrorCode::kTransport, opened.error().detail});
  log_bus = std::move(*opened);
  duties = DutyParts::Make(loop, settings, hooks, metrics);
  OpenFeed();
  OpenVoter();
  OpenFollower();
  caches.Start(storage->is_founder() && voter->HasEmptyLog(), SaveHooks());
  if (duties)
    duties->Start(*voter, *feed, roster, stopping);
  operator_service.emplace(
      *voter, roster, *feed, [this] { return loop.Now(); }, UnixMillis);
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
  fleet::FleetVoter::Hooks voter_hooks;
  voter_hooks.send = [this](const HostId& to, wire::Envelope envelope) {
    // A voter of an earlier release doesn't listen on the port of the log.
    if (!log_bus->Send(to, envelope))
      bus->Send(to, std::move(envelope));
  };
  voter_hooks.run_on_disk = [this](DiskThread::Job job, DiskThread::Done done) {
    disk->Run(std::move(job), std::move(done));
  };
  voter_hooks.on_decisions = [this](const fleet::Decisions& decisions) {
    LogLine("node.decisions")
        .Add("index", decisions.index)
        .Add("routing_version", decisions.routing_version)
        .Info();
    feed->PushDecisions(decisions);
  };
  voter_hooks.on_disk_failure = [this](const control::StorageError& error) {
    // A restart recovers the actual contents of the disk.
    LogLine("node.disk_failed").Add("detail", error.detail).Error();
    loop.Stop();
  };
  voter_hooks.now = [this] { return loop.Now(); };
  voter.emplace(options, storage.get(), std::move(voter_hooks));
  feed->SetLoadedIndex(voter->loaded_index());
}

void VoterNode::Parts::OpenFeed() {
  fleet::FleetFeed::Hooks feed_hooks;
  feed_hooks.send = [this](const HostId& to, wire::Envelope envelope) {
    bus->Send(to, std::move(envelope));
  };
  feed_hooks.now = [this] { return loop.Now(); };
  feed_hooks.voter_hosts = [this] {
    return voter ? voter->VoterHosts() : std::vector<HostId>();
  };
  feed_hooks.cache_update = [this](const fleet::CachePosition& position) {
    return voter->IsConfirmedLeader() ? caches.UpdateSince(position)
                                      : std::nullopt;
  };
  if (settings.HasDuty(settings::Duty::kUsage)) {
    feed_hooks.true_unix_ms = [this] {
      return voter && voter->IsConfirmedLeader() ? duties->TrueUnixMs() : 0;
    };
  }
  feed_hooks.on_move_report = [this](const HostId& host,
                                     const wire::ServiceMoveReport& report) {
    moves.OnReport(host, report);
  };
  feed_hooks.quiesced = [this] {
    return voter && voter->IsConfirmedLeader() ? weights.QuiescedUpstreams()
                                               : std::vector<UpstreamId>();
  };
  feed_hooks.leader_host = [this] {
    return voter ? voter->LeaderHost() : HostId();
  };
  feed_hooks.on_quarantines =
      [this](const std::vector<quarantine::Quarantine>& quarantines) {
        SaveQuarantines(quarantines);
      };
  feed_hooks.unix_ms = UnixMillis;
  feed_hooks.on_leaving = [this](const upstreams::UpstreamRun& run) {
    if (roster.MarkLeaving(run, loop.Now()) !=
        upstreams::AnnouncementEffect::kChanged) {
      return;
    }
    LogLine("fleet.upstream_leaving").Add("upstream", run.id.str()).Info();
    feed->RequestPush();
  };
  feed.emplace(incarnation, &roster, std::move(feed_hooks));
  polls.emplace(fleet::PollQueue::Hooks{
      [this](const HostId& from, const wire::FleetPoll& poll) {
        feed->OnPoll(from, poll);
      },
      [this] { return loop.Now(); }});
  if (const auto stored = storage->LoadFile(kQuarantineFile)) {
    feed->RestoreQuarantines(
        fleet::FromStored(*stored, loop.Now(), UnixMillis()));
  }
}

void VoterNode::Parts::SaveQuarantines(
    const std::vector<quarantine::Quarantine>& quarantines) {
  const std::string contents =
      fleet::ToStored(quarantines, loop.Now(), UnixMillis());
  disk->Run(
      [this, contents] { return storage->SaveFile(kQuarantineFile, contents); },
      [](const fleet::DiskResult& saved) {
        if (!saved) {
          LogLine("quarantine.not_saved")
              .Add("detail", saved.error().detail)
              .Warn();
        }
      });
}

void VoterNode::Parts::OpenFollower() {
  fleet::FleetFollowerOptions options;
  options.self = settings.host;
  options.incarnation = incarnation;
  options.member = storage->member().str();
  options.contacts = settings.contacts;
  // There are few control hosts, and each needs the others' announcements soon.
  options.secondary_poll_every = 1;
  // The contacts may have changed since the log was created.
  for (const HostId& host : voter->VoterHosts()) {
    if (std::find(options.contacts.begin(), options.contacts.end(), host) ==
        options.contacts.end()) {
      options.contacts.push_back(host);
    }
  }
  fleet::FleetFollower::Hooks follower_hooks;
  follower_hooks.send = [this](const HostId& to, wire::Envelope envelope) {
    bus->Send(to, std::move(envelope));
  };
  follower_hooks.on_control_hosts = [this](const std::vector<HostId>& hosts) {
    bus->ConnectTo(hosts);
    log_bus->ConnectTo(hosts);
  };
  follower_hooks.on_decisions = [](const fleet::DecisionsPtr&) {
    // A voter applies decisions only from its own log.
  };
  follower_hooks.on_weights_ages = [this](const wire::FleetUpdate& update) {
    feed->MergeWeightsAges(update);
  };
  follower_hooks.on_announcement =
      [this](const upstreams::Announcement& announcement,
             TimePoint received_at) {
        const bool was_present = roster.IsPresent(announcement.id);
        const auto effect = roster.Apply(announcement, received_at, loop.Now());
        if (was_present && effect == upstreams::AnnouncementEffect::kChanged) {
          feed->RequestPush();
        }
      };
  follower_hooks.on_heard = [this](const UpstreamId& id, TimePoint heard_at) {
    return roster.Refresh(id, heard_at);
  };
  follower_hooks.local_loads = [] { return std::vector<fleet::LocalLoad>(); };
  follower_hooks.move_reports = [] {
    return std::vector<wire::ServiceMoveReport>();
  };
  follower_hooks.now = [this] { return loop.Now(); };
  bus->ConnectTo(options.contacts);
  log_bus->ConnectTo(options.contacts);
  follower.emplace(options, std::move(follower_hooks));
}

Result<bool, NodeError> VoterNode::Parts::OpenServers() {
  net::HttpServerLimits limits;
  limits.max_connections = OwnConnectionLimits().operators;
  limits.max_body_bytes = kMaxCallBytes;
  auto listening = net::HttpServer::Listen(
      loop, *settings.operators, limits,
      [this](const net::HttpExchangePtr& exchange) {
        AnswerOperatorCall({loop, hooks, *connection_budget, *operator_service,
                            metrics, settings.operators->port},
                           exchange);
      },
      connection_budget);
  if (!listening)
    return Fail(NodeError{NodeErrorCode::kListen, listening.error().detail});
  operators = std::move(*listening);
  if (!settings.metrics)
    return true;
  listening =
      ListenForMetrics(loop, *settings.metrics, metrics, connection_budget);
  if (!listening)
    return Fail(NodeError{NodeErrorCode::kListen, listening.error().detail});
  metrics_server = std::move(*listening);
  return true;
}

void VoterNode::Parts::StartTimers() {
  timers.push_back(
      loop.Every(kVoterTick, [this](TimePoint now) { VoterTick(now); }));
  timers.push_back(
      loop.Every(kPushTick, [this](TimePoint now) { PushTick(now); }));
  timers.push_back(
      loop.Every(kFollowTick, [this](TimePoint) { follower->Tick(); }));
  timers.push_back(
      loop.Every(kLeaderTaskInterval, [this](TimePoint) { RunLeaderTasks(); }));
  timers.push_back(loop.Every(kExpireInterval, [this](TimePoint now) {
    feed->Expire();
    roster.Expire(now);
    RecordControlMetrics(*log_bus, *bus, *feed, *polls, metrics);
    RecordConnectionBudget(*connection_budget, metrics);
    KeepSlotsFree(*operators, OwnConnectionLimits().operators);
  }));
}

void VoterNode::Parts::PushTick(TimePoint now) {
  const auto wait = polls->IsBusy() ? kBusyPush : feed->PushInterval();
  if (wait > kPushTick && now - pushed_at < wait)
    return;
  pushed_at = now;
  feed->PushIfRequested();
}

// A late tick delays heartbeats, so its delay shows an overload before it costs
// leadership.
void VoterNode::Parts::VoterTick(TimePoint now) {
  if (last_tick_at != TimePoint{}) {
    const auto delay = std::max(std::chrono::microseconds(0),
                                now - (last_tick_at + kVoterTick));
    metrics.Observe("endivecart_voter_tick_delay_ms", "",
                    MillisBetween(TimePoint{}, TimePoint(delay)));
    tick_delay = delay;
  }
  last_tick_at = now;
  voter->Tick();
  polls->OnTick(tick_delay);
  if (!std::exchange(was_leader, voter->IsLeader()) && was_leader)
    metrics.Add("endivecart_elections_won_total");
}

void VoterNode::Parts::OnEnvelope(const wire::Envelope& envelope) {
  const HostId from(envelope.from());
  if (envelope.has_raft()) {
    voter->OnRaft(from, envelope.raft());
  } else if (envelope.has_fleet_poll()) {
    const wire::FleetPoll& poll = envelope.fleet_poll();
    if (!poll.member().empty())
      voter->OnMember(control::MemberId(poll.member()));
    OnCallerPoll(from, poll);
    feed->OnPollReceived(from);
    polls->Add(from, poll);
    if (!poll.serves_callers())
      follower->UpdateControlHosts({from});
  } else if (envelope.has_fleet_news()) {
    follower->OnUpdate(from, envelope.fleet_news());
  } else if (envelope.has_routing_receipt()) {
    feed->OnReceipt(from, envelope.routing_receipt());
  } else if (envelope.has_cache_save_claim()) {
    if (voter->IsConfirmedLeader())
      caches.OnSaveClaim(from, envelope.cache_save_claim());
  } else if (envelope.has_cache_save_release()) {
    caches.OnSaveRelease(from, envelope.cache_save_release());
  }
}

// The ledger of saves and the usage table must know of every poll, also of
// those that are answered late or not at all.
void VoterNode::Parts::OnCallerPoll(const HostId& from,
                                    const wire::FleetPoll& poll) {
  if (!poll.serves_callers() ||
      fleet::CountEntries(poll) > fleet::EntryLimit::kMaxPollEntries)
    return;
  caches.OnCallerPoll(from, poll);
  if (duties)
    duties->OnCallerPoll(from, poll);
}

fleet::CacheSaveBatches::Hooks VoterNode::Parts::SaveHooks() {
  fleet::CacheSaveBatches::Hooks save_hooks;
  save_hooks.propose = [this](const wire::FleetCommand& command,
                              std::function<void(bool)> done) {
    voter->Propose(command, kProposalTimeout,
                   [done = std::move(done)](fleet::ProposalResult result) {
                     done(result == fleet::ProposalResult::kDecided);
                   });
  };
  save_hooks.answer = [this](const HostId& host,
                             const wire::CacheSaveGrant& grant) {
    wire::Envelope envelope;
    *envelope.mutable_cache_save_grant() = grant;
    bus->Send(host, std::move(envelope));
  };
  return save_hooks;
}

void VoterNode::Parts::RunLeaderTasks() {
  const bool is_confirmed_leader = !stopping && voter->IsConfirmedLeader();
  if (weights.Tick(voter->decisions(), roster, is_confirmed_leader,
                   voter->term()))
    feed->RequestPush();
  caches.Tick(voter->decisions(), voter->save_grants(), roster,
              is_confirmed_leader, voter->term());
  EndMoves();
  if (duties)
    duties->Tick();
}

void VoterNode::Parts::EndMoves() {
  const auto ends = moves.NextEnds(voter->decisions(), loop.Now());
  if (stopping || !voter->IsConfirmedLeader())
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
    // NextEnds() returns the move again if this proposal is lost.
    voter->Propose(command, kProposalTimeout, [](fleet::ProposalResult) {});
  }
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
  parts_->operators->DisableKeepAlive();
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
