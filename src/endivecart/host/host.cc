#include "endivecart/host/host.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <atomic>
#include <cstdlib>
#include <sstream>
#include <thread>
#include <utility>

#include "endivecart/control/control.h"
#include "endivecart/host/claim_client.h"
#include "endivecart/host/control_thread.h"
#include "endivecart/host/move_runner.h"
#include "endivecart/operators/operators.h"

namespace endivecart::host {

namespace {

using Json = Poco::JSON::Object;

constexpr Millis kDispatcherTick{100};
// Longer than the interval of the load balancer's readiness checks, about 1 s.
constexpr Millis kNotReadyGracePeriod{1500};
constexpr Millis kDrainTimeout{60000};
constexpr Millis kChangeTimeout{4000};
constexpr Millis kLeaveTimeout{500};

std::string Text(const Json& json) {
  std::ostringstream out;
  json.stringify(out);
  return out.str();
}

std::uint64_t UnixMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch() / Millis(1));
}

membership::ResourceLimits CustomerLimits(
    const configuration::ConfigurationSet& set) {
  membership::ResourceLimits limits;
  for (const auto& [id, customer] : set.customers()) {
    limits[membership::CustomerResource(id)] = set.PlanOf(customer).concurrent;
  }
  return limits;
}

void StopForDiskFailure(const control::StorageError& error) {
  LogLine("control.disk_failure").Add("detail", error.detail).Error();
  // The contents of the disk are uncertain, so nothing more may be
  // acknowledged.
  std::_Exit(EXIT_FAILURE);
}

operators::ChangeResult ToResult(const wire::ChangeOutcome& outcome) {
  return {outcome.accepted(), outcome.revision(), outcome.conflict_change_id(),
          outcome.conflict_author(), outcome.error()};
}

// Returns the member of `host` to remove from the voters. A host that lost its
// disk is seen as a new member, and its other voter is the one to remove. If it
// has no other voter, it is the one that is seen.
control::MemberId MemberToRemove(const control::RaftCore& core,
                                 const HostId& host,
                                 const control::MemberId& seen) {
  control::MemberId found = seen;
  for (const std::string& voter : core.voters().voters()) {
    control::MemberId listed(voter);
    if (control::HostOf(listed) != host)
      continue;
    if (listed != seen)
      return listed;
    found = listed;
  }
  return found;
}

operators::OperatorError NoQuorum() {
  return {operators::OperatorErrorCode::kNoQuorum,
          "no quorum answered; the outcome is unknown: send the same change "
          "again"};
}

}  // namespace

class Host::Impl {
 public:
  explicit Impl(HostOptions options)
      : options_(std::move(options)), control_(timer_) {}
  ~Impl();

  Result<bool, HostError> Start();
  bool StopGracefully();

 private:
  Result<bool, HostError> OpenStorage();
  Result<bool, HostError> StartControl();
  Result<bool, HostError> StartServers();
  std::unique_ptr<control::ControlNode> MakeNode(transport::MessageBus& bus);
  std::unique_ptr<membership::SlotExchange> MakeExchange(
      transport::MessageBus& bus);
  void MakeDispatcher();
  void MakeHandlers();
  operators::OperatorServer::Hooks OperatorHooks();
  Result<operators::ChangeResult, operators::OperatorError> Change(
      const operators::ChangeRequest& request);
  Result<operators::ForceState, operators::OperatorError> ForceState(
      Revision revision);
  Result<std::vector<operators::HistoryEntry>, operators::OperatorError>
  History();
  Result<std::string, operators::OperatorError> ChangeVoters(
      const std::string& action,
      const HostId& host);
  std::string StatusJson();
  std::string UpstreamsJson();

  const HostOptions options_;
  MetricsRegistry metrics_;
  RealTimerService timer_;
  std::unique_ptr<control::DataFolder> storage_;
  std::string first_document_;
  std::atomic<bool> fresh_{false};
  ControlThread control_;
  std::unique_ptr<ClaimClient> claims_;
  std::unique_ptr<entry::Dispatcher> dispatcher_;
  std::unique_ptr<MoveRunner> moves_;
  http::ClientPool pool_;
  std::unique_ptr<entry::StoredCacheManager> cache_;
  std::unique_ptr<entry::CompletionHandler> completions_;
  std::unique_ptr<entry::ServiceHandler> services_;
  std::unique_ptr<entry::CallerServer> callers_;
  std::unique_ptr<operators::OperatorServer> operators_;
  std::unique_ptr<TimerSubscription> dispatcher_tick_;
  membership::SlotExchange* exchange_ = nullptr;  // owned by control_
};

Host::Impl::~Impl() {
  dispatcher_tick_.reset();
  operators_.reset();
  callers_.reset();
  cache_.reset();
  control_.Stop();
}

Result<bool, HostError> Host::Impl::Start() {
  if (!options_.settings.lists_folder.empty()) {
    const auto lists =
        configuration::LoadListFolder(options_.settings.lists_folder);
    if (!lists) {
      return Fail(HostError{HostErrorCode::kLists,
                            settings::JoinErrors(lists.error())});
    }
    const auto checked = configuration::ParseConfiguration(*lists);
    if (!checked) {
      return Fail(HostError{HostErrorCode::kLists,
                            settings::JoinErrors(checked.error())});
    }
    first_document_ = *lists;
  }
  if (auto ok = OpenStorage(); !ok)
    return ok;
  MakeDispatcher();
  if (auto ok = StartControl(); !ok)
    return ok;
  MakeHandlers();
  return StartServers();
}

Result<bool, HostError> Host::Impl::OpenStorage() {
  const settings::HostSettings& settings = options_.settings;
  if (settings.data_folder.empty())
    return true;
  auto folder = control::DataFolder::Open(settings.data_folder, settings.host,
                                          options_.found_site);
  if (!folder)
    return Fail(HostError{HostErrorCode::kStorage, folder.error().detail});
  storage_ = std::move(*folder);
  return true;
}

void Host::Impl::MakeDispatcher() {
  entry::Dispatcher::Hooks hooks;
  hooks.now = [this] { return timer_.Now(); };
  hooks.fresh = [this] { return fresh_.load(); };
  hooks.choose_version = [this](const auto& model, const auto& class_name,
                                int draw) {
    return moves_->Choose(model, class_name, draw, fresh_);
  };
  hooks.on_demand = [this] {
    control_.Post([this](TimePoint now) { exchange_->OnDemand(now); });
  };
  hooks.on_report = [this](const auto& placement, const auto& class_name,
                           const auto& report) {
    moves_->OnReport(placement, class_name, report);
  };
  dispatcher_ = std::make_unique<entry::Dispatcher>(
      options_.settings, options_.policy, std::move(hooks), metrics_);
  moves_ = std::make_unique<MoveRunner>(options_.settings.host, control_,
                                        *dispatcher_);
}

std::unique_ptr<control::ControlNode> Host::Impl::MakeNode(
    transport::MessageBus& bus) {
  control::ControlOptions options;
  options.self = options_.settings.host;
  options.domain = options_.settings.domain;
  options.hosts = options_.settings.hosts;
  options.first_document = first_document_;
  options.seed = StableHash(options_.settings.host.str(), UnixMillis());
  if (storage_ != nullptr) {
    options.member = storage_->member();
    options.is_founder = storage_->is_founder();
  }
  control::ControlNode::Hooks hooks;
  hooks.send = [&bus](const HostId& to, wire::Envelope envelope) {
    bus.Send(to, std::move(envelope));
  };
  hooks.on_configuration = [this](configuration::ConfigurationPtr config) {
    if (exchange_ != nullptr)
      exchange_->SetLimits(CustomerLimits(config->set));
    LogLine("configuration.in_force").Add("revision", config->revision).Info();
    dispatcher_->SetConfiguration(std::move(config));
  };
  hooks.on_down_hosts = [this](const std::set<HostId>& down,
                               std::uint64_t epoch) {
    if (exchange_ != nullptr)
      exchange_->SetDownHosts(down, epoch, timer_.Now());
  };
  hooks.unix_ms = UnixMillis;
  hooks.on_disk_failure = StopForDiskFailure;
  return std::make_unique<control::ControlNode>(
      std::move(options), storage_.get(), std::move(hooks), timer_.Now());
}

std::unique_ptr<membership::SlotExchange> Host::Impl::MakeExchange(
    transport::MessageBus& bus) {
  membership::SlotExchange::Hooks hooks;
  hooks.send = [&bus](const HostId& to, wire::Envelope envelope) {
    bus.Send(to, std::move(envelope));
  };
  hooks.demands = [this](bool include_idle) {
    return dispatcher_->Demands(include_idle);
  };
  hooks.take_evidence = [this](const HostId& home) {
    return dispatcher_->TakeEvidence(home);
  };
  hooks.on_grants = [this](const auto& grants) {
    dispatcher_->OnGrants(grants);
  };
  hooks.on_upstreams = [this](const HostId& home, const auto& upstreams) {
    dispatcher_->OnUpstreams(home, upstreams);
  };
  return std::make_unique<membership::SlotExchange>(options_.settings,
                                                    std::move(hooks));
}

Result<bool, HostError> Host::Impl::StartControl() {
  auto bus =
      transport::MessageBus::Open(transport::BusOptionsFor(options_.settings));
  if (!bus)
    return Fail(HostError{HostErrorCode::kTransport, bus.error().detail});
  ControlThread::Components components;
  components.exchange = MakeExchange(**bus);
  exchange_ = components.exchange.get();
  components.node = MakeNode(**bus);
  components.bus = std::move(*bus);
  components.on_tick = [this](TimePoint now) {
    fresh_ = control_.node().IsFresh(now);
    moves_->Tick(now);
  };
  components.on_other_message = [this](const wire::Envelope& envelope) {
    moves_->OnEnvelope(envelope);
  };
  claims_ = std::make_unique<ClaimClient>(control_);
  control_.Start(std::move(components));
  dispatcher_tick_ =
      timer_.Every(kDispatcherTick, [this](TimePoint) { dispatcher_->Tick(); });
  return true;
}

void Host::Impl::MakeHandlers() {
  entry::StoredCacheManager::Hooks stored_cache;
  stored_cache.now = [this] { return timer_.Now(); };
  stored_cache.evicts_from = [this](const settings::StoreEntry& store) {
    std::vector<HostId> hosts = options_.settings.HostsOfDomain(store.domain);
    return membership::HomeOf(store.id, hosts, {}) == options_.settings.host;
  };
  cache_ = std::make_unique<entry::StoredCacheManager>(
      options_.settings, *dispatcher_, metrics_, std::move(stored_cache));
  entry::CompletionHandler::Hooks completion;
  completion.now = [this] { return timer_.Now(); };
  completion.lease_pieces = [this](const entry::Placement& placement) {
    return cache_->LeasePieces(placement);
  };
  completion.on_answered = [this](const entry::Placement& placement,
                                  const entry::AttemptReport&) {
    cache_->OnAnswered(placement);
  };
  completions_ = std::make_unique<entry::CompletionHandler>(
      *dispatcher_, pool_, metrics_, std::move(completion));
  entry::ServiceHandler::Hooks service;
  service.now = [this] { return timer_.Now(); };
  service.fresh = [this] { return fresh_.load(); };
  service.configuration = [this] { return dispatcher_->configuration(); };
  service.claims = claims_->Hooks();
  services_ = std::make_unique<entry::ServiceHandler>(
      options_.settings.host, options_.settings.domain, metrics_,
      std::move(service));
}

Result<bool, HostError> Host::Impl::StartServers() {
  entry::CallerServer::Hooks hooks;
  hooks.now = [this] { return timer_.Now(); };
  hooks.metrics_text = [this] { return metrics_.PrometheusText(); };
  auto callers =
      entry::CallerServer::Start(options_.settings, *dispatcher_, *completions_,
                                 *services_, metrics_, std::move(hooks));
  if (!callers)
    return Fail(HostError{HostErrorCode::kListen, callers.error().detail});
  callers_ = std::move(*callers);
  auto operators =
      operators::OperatorServer::Start(options_.settings, OperatorHooks());
  if (!operators)
    return Fail(HostError{HostErrorCode::kListen, operators.error().detail});
  operators_ = std::move(*operators);
  LogLine("host.started")
      .Add("host", options_.settings.host.str())
      .Add("domain", options_.settings.domain.str())
      .Add("callers", options_.settings.callers.ToString())
      .Info();
  return true;
}

operators::OperatorServer::Hooks Host::Impl::OperatorHooks() {
  operators::OperatorServer::Hooks hooks;
  hooks.announce = [this](const membership::Upstream& upstream) {
    control_.Post([this, upstream](TimePoint now) {
      exchange_->Announce(upstream, now);
    });
  };
  hooks.status_json = [this] { return StatusJson(); };
  hooks.upstreams_json = [this] { return UpstreamsJson(); };
  hooks.metrics_text = [this] { return metrics_.PrometheusText(); };
  hooks.configuration = [this] { return dispatcher_->configuration(); };
  hooks.change = [this](const auto& request) { return Change(request); };
  hooks.force_state = [this](Revision revision) {
    return ForceState(revision);
  };
  hooks.history = [this] { return History(); };
  hooks.change_voters = [this](const std::string& action, const HostId& host) {
    return ChangeVoters(action, host);
  };
  hooks.drain = [this] { callers_->SetNotReady(); };
  return hooks;
}

Result<operators::ChangeResult, operators::OperatorError> Host::Impl::Change(
    const operators::ChangeRequest& request) {
  const auto current = dispatcher_->configuration();
  wire::Command command;
  wire::ConfigurationChange* change = command.mutable_change();
  change->set_change_id(request.change_id);
  change->set_author(request.author);
  change->set_patch(request.patch);
  change->set_expected_revision(
      request.expected_revision.value_or(current ? current->revision : 0));
  auto promise = std::make_shared<std::promise<std::optional<wire::Outcome>>>();
  auto future = promise->get_future();
  control_.Post([this, command, promise](TimePoint now) {
    control_.node().Propose(
        command, now + kChangeTimeout,
        [promise](std::optional<wire::Outcome> outcome) {
          promise->set_value(std::move(outcome));
        },
        now);
  });
  const auto outcome = future.get();
  if (!outcome)
    return Fail(NoQuorum());
  return ToResult(outcome->change());
}

Result<operators::ForceState, operators::OperatorError> Host::Impl::ForceState(
    Revision revision) {
  const auto report = control_.RunAndWait([this, revision](TimePoint now) {
    return control_.node().GetInForceStatus(revision, now);
  });
  if (!report) {
    const HostId leader = control_.RunAndWait(
        [this](TimePoint) { return control_.node().LeaderHost(); });
    return Fail(operators::OperatorError{
        operators::OperatorErrorCode::kNotFound,
        "only the leader knows; ask host '" + leader.str() + "'"});
  }
  operators::ForceState state{report->revision, report->in_force, {}};
  for (const control::LaggingHost& lagging : report->lagging)
    state.outstanding.push_back(
        {lagging.host, lagging.revision, lagging.reason});
  return state;
}

Result<std::vector<operators::HistoryEntry>, operators::OperatorError>
Host::Impl::History() {
  const auto records = control_.RunAndWait([this](TimePoint) {
    const control::StateMachine* machine = control_.node().machine();
    return machine == nullptr ? std::optional<std::vector<wire::ChangeRecord>>()
                              : std::optional(machine->History());
  });
  if (!records) {
    return Fail(
        operators::OperatorError{operators::OperatorErrorCode::kNotFound,
                                 "this host keeps no history; ask a voter"});
  }
  std::vector<operators::HistoryEntry> history;
  for (const wire::ChangeRecord& record : *records) {
    history.push_back({record.revision(), record.change_id(), record.author(),
                       record.at_ms(), record.patch()});
  }
  return history;
}

Result<std::string, operators::OperatorError> Host::Impl::ChangeVoters(
    const std::string& action,
    const HostId& host) {
  const auto result = control_.RunAndWait([&](TimePoint now) {
    control::ControlNode& node = control_.node();
    control::MemberId member = node.LastSeenMember(host);
    if (action == "remove" && node.core() != nullptr)
      member = MemberToRemove(*node.core(), host, member);
    return node.ChangeVoters(action, member, now);
  });
  if (!result) {
    return Fail(operators::OperatorError{
        operators::OperatorErrorCode::kBadRequest,
        std::string(control::RaftErrorName(result.error().code))});
  }
  return "accepted as entry " + std::to_string(*result);
}

std::string Host::Impl::StatusJson() {
  return control_.RunAndWait([this](TimePoint now) {
    const control::ControlNode& node = control_.node();
    Json json;
    json.set("host", options_.settings.host.str());
    json.set("domain", options_.settings.domain.str());
    json.set("revision",
             static_cast<Poco::UInt64>(
                 node.configuration() ? node.configuration()->revision : 0));
    json.set("fresh", node.IsFresh(now));
    json.set("leader", node.LeaderHost().str());
    json.set("is_leader", node.IsLeader());
    json.set("term", static_cast<Poco::UInt64>(node.Term()));
    Poco::JSON::Array::Ptr voters = new Poco::JSON::Array;
    if (node.core() != nullptr) {
      for (const std::string& voter : node.core()->voters().voters())
        voters->add(voter);
    }
    json.set("voters", voters);
    Poco::JSON::Array::Ptr down = new Poco::JSON::Array;
    for (const HostId& host : node.down_hosts())
      down->add(host.str());
    json.set("down_hosts", down);
    json.set("running", dispatcher_->Running());
    json.set("stored_pieces",
             static_cast<Poco::UInt64>(dispatcher_->StoredPieces()));
    json.set("control_sent_bytes",
             static_cast<Poco::UInt64>(control_.counters().sent_bytes));
    json.set("control_received_bytes",
             static_cast<Poco::UInt64>(control_.counters().received_bytes));
    json.set(
        "invariant_violations",
        static_cast<Poco::UInt64>(InvariantMonitor::Get().TotalViolations()));
    return Text(json);
  });
}

std::string Host::Impl::UpstreamsJson() {
  Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
  for (const entry::ListedUpstream& listed : dispatcher_->ListUpstreams()) {
    const routing::UpstreamView& view = listed.view;
    Json::Ptr entry = new Json;
    entry->set("id", view.id.str());
    entry->set("domain", view.domain.str());
    entry->set("model", view.model.str());
    Poco::JSON::Array::Ptr versions = new Poco::JSON::Array;
    for (const VersionId& version : view.versions)
      versions->add(version.str());
    entry->set("versions", versions);
    entry->set("free_slots_here", view.free_slots);
    entry->set("queue_ms", view.queue_ms);
    entry->set("leaving", view.leaving);
    entry->set("domain_out", view.domain_out);
    entry->set("breaker_open", view.breaker_open);
    list->add(entry);
  }
  Json json;
  json.set("upstreams", list);
  return Text(json);
}

bool Host::Impl::StopGracefully() {
  LogLine("host.stopping").Add("host", options_.settings.host.str()).Info();
  callers_->SetNotReady();
  std::this_thread::sleep_for(kNotReadyGracePeriod);
  const bool clean = callers_->Drain(kDrainTimeout);
  dispatcher_->StopAdmitting();
  // Reports this host as down, so that homes move at once instead of after a
  // timeout.
  wire::Command command;
  command.mutable_host_state()->set_host(options_.settings.host.str());
  command.mutable_host_state()->set_down(true);
  auto promise = std::make_shared<std::promise<void>>();
  auto decided = promise->get_future();
  control_.Post([this, command, promise](TimePoint now) {
    control_.node().Propose(
        command, now + kLeaveTimeout,
        [promise](const auto&) { promise->set_value(); }, now);
  });
  decided.wait_for(kLeaveTimeout * 2);
  LogLine("host.stopped").Add("cut_requests", clean ? 0 : 1).Info();
  return clean;
}

Host::Host() = default;
Host::~Host() = default;

Result<std::unique_ptr<Host>, HostError> Host::Start(HostOptions options) {
  std::unique_ptr<Host> host(new Host);
  host->impl_ = std::make_unique<Impl>(std::move(options));
  if (const auto ok = host->impl_->Start(); !ok)
    return Fail(ok.error());
  return host;
}

bool Host::StopGracefully() {
  return impl_->StopGracefully();
}

}  // namespace endivecart::host
