#include "endivecart/entry/dispatcher_state.h"

#include <algorithm>

namespace endivecart::entry {

namespace {

constexpr Millis kMinRetryAfter{1000};
constexpr int kShareDraws = 1000;

PlacementErrorCode ErrorAtDeadline(const Waiter& waiter) {
  return waiter.last_error == routing::RoutingErrorCode::kNoFreeSlot
             ? PlacementErrorCode::kDeadline
             : PlacementErrorCode::kUnavailable;
}

std::int64_t ImportedBytes(const Placement& placement,
                           const AttemptReport& report) {
  return placement.stored.tokens == 0
             ? 0
             : placement.stored.bytes * report.imported_tokens /
                   placement.stored.tokens;
}

auto Refuse(PlacementErrorCode code, Millis retry_after = Millis(0)) {
  return Fail(PlacementError{code, retry_after});
}

}  // namespace

std::string_view PlacementErrorName(PlacementErrorCode code) {
  switch (code) {
    case PlacementErrorCode::kUnknownModel:
      return "unknown-model";
    case PlacementErrorCode::kRateLimited:
      return "rate-limited";
    case PlacementErrorCode::kQueueFull:
      return "queue-full";
    case PlacementErrorCode::kDeadline:
      return "deadline";
    case PlacementErrorCode::kUnavailable:
      return "unavailable";
    case PlacementErrorCode::kStopping:
      return "stopping";
  }
  return "unknown";
}

void Dispatcher::State::SetConfiguration(
    configuration::ConfigurationPtr configuration) {
  std::scoped_lock lock(mutex_);
  if (configuration_ != nullptr &&
      !CheckInvariant(configuration->revision >= configuration_->revision,
                      Invariant::kConfigurationMonotone,
                      "dispatcher was given an older revision")) {
    return;
  }
  configuration_ = std::move(configuration);
  table_.SetConfiguration(configuration_->set);
  const int hosts = static_cast<int>(settings_.hosts.size());
  for (const auto& [id, customer] : configuration_->set.customers()) {
    const auto& plan = configuration_->set.PlanOf(customer);
    slots_.SetOwned(membership::CustomerResource(id),
                    plan.concurrent / 2 / hosts);
  }
  ConfigureBuckets(hooks_.now());
  Serve(hooks_.now());
}

// Divides a customer's rate in proportion to the customer's slots on each host,
// so that the rates of all hosts never exceed the plan's rate together.
void Dispatcher::State::ConfigureBuckets(TimePoint now) {
  if (configuration_ == nullptr)
    return;
  for (const auto& [id, customer] : configuration_->set.customers()) {
    const auto& plan = configuration_->set.PlanOf(customer);
    const double part = static_cast<double>(slots_.Slots(
                            membership::CustomerResource(id), now)) /
                        plan.concurrent;
    customers_[id].bucket.Configure(plan.requests_per_s * part,
                                    std::max(1.0, plan.burst * part), now);
  }
}

std::optional<PlacementError> Dispatcher::State::CheckLimits(
    const PlacementRequest& request,
    TimePoint now) {
  const auto customer = configuration_->set.customers().find(request.customer);
  if (customer == configuration_->set.customers().end())
    return PlacementError{PlacementErrorCode::kUnavailable, Millis(0)};
  const auto& plan = configuration_->set.PlanOf(customer->second);
  CustomerState& state = customers_[request.customer];
  if (queue_.SizeOf(request.customer) >= plan.max_queue)
    return PlacementError{PlacementErrorCode::kQueueFull, kMinRetryAfter};
  if (auto too_late = CheckExpectedWait(request, now))
    return too_late;
  if (!state.bucket.TryTake(now)) {
    return PlacementError{PlacementErrorCode::kRateLimited,
                          std::max(kMinRetryAfter, state.bucket.WaitFor(now))};
  }
  return std::nullopt;
}

// Rejects a request early if it would wait beyond its deadline.
std::optional<PlacementError> Dispatcher::State::CheckExpectedWait(
    const PlacementRequest& request,
    TimePoint now) {
  const double rate = service_rate_[request.model].Rate(now);
  if (queue_.Size() == 0 || rate <= 0)
    return std::nullopt;
  const double wait_ms =
      queue_.CostBefore(request.customer, request.priority, request.deadline) /
      rate;
  if (wait_ms <= MillisBetween(now, request.deadline))
    return std::nullopt;
  return PlacementError{
      PlacementErrorCode::kDeadline,
      std::max(kMinRetryAfter, Millis(static_cast<int>(wait_ms)))};
}

Result<Waiter*, PlacementError> Dispatcher::State::Enqueue(
    const PlacementRequest& request,
    bool first,
    Waiter& waiter) {
  const TimePoint now = hooks_.now();
  if (first) {
    if (const auto refusal = CheckLimits(request, now))
      return Fail(*refusal);
  }
  const auto& set = configuration_->set;
  admission::QueuedRequest waiting;
  waiting.ticket = next_ticket_++;
  waiting.customer = request.customer;
  const auto customer = set.customers().find(request.customer);
  waiting.weight = customer == set.customers().end()
                       ? 1
                       : set.PlanOf(customer->second).weight;
  waiting.priority = request.priority;
  waiting.deadline = request.deadline;
  waiting.cost = std::max(1, waiter.pieces.tokens);
  waiter.request = &request;
  waiter.needs_customer_slot = first;
  queue_.Push(waiting);
  waiters_.emplace(waiting.ticket, &waiter);
  Serve(now);
  if (!waiter.placement && !waiter.error)
    UpdateDemand(now);
  return &waiter;
}

Result<Placement, PlacementError> Dispatcher::State::Place(
    const PlacementRequest& request,
    bool first) {
  Waiter waiter;
  {
    std::unique_lock lock(mutex_);
    if (stopping_ && first)
      return Refuse(PlacementErrorCode::kStopping);
    if (configuration_ == nullptr)
      return Refuse(PlacementErrorCode::kUnavailable, kMinRetryAfter);
    const auto model = configuration_->set.models().find(request.model);
    if (model == configuration_->set.models().end())
      return Refuse(PlacementErrorCode::kUnknownModel);
    waiter.chosen_at_revision = configuration_->revision;
    const int draw =
        static_cast<int>(StableHash(request.id.str()) % kShareDraws);
    waiter.version =
        request.pinned_version
            ? *request.pinned_version
            : hooks_.choose_version(model->second, request.class_name, draw);
  }
  // Hashing a long prompt is expensive, so it is done without the lock.
  waiter.pieces = cache::SplitPrompt(
      {request.customer, request.model, waiter.version}, *request.prompt);
  std::unique_lock lock(mutex_);
  const auto queued = Enqueue(request, first, waiter);
  if (!queued)
    return Fail(queued.error());
  while (!waiter.placement && !waiter.error) {
    const TimePoint now = hooks_.now();
    if (now >= request.deadline) {
      waiter.error = PlacementError{ErrorAtDeadline(waiter), kMinRetryAfter};
    } else {
      waiter.changed.wait_for(lock, request.deadline - now);
    }
  }
  std::erase_if(waiters_, [&](const auto& entry) {
    if (entry.second != &waiter)
      return false;
    queue_.Remove(entry.first);
    return true;
  });
  if (waiter.placement)
    return *waiter.placement;
  return Fail(*waiter.error);
}

void Dispatcher::State::Serve(TimePoint now) {
  if (configuration_ == nullptr)
    return;
  queue_.Serve([&](const admission::QueuedRequest& waiting) {
    const auto it = waiters_.find(waiting.ticket);
    if (it == waiters_.end())
      return true;
    if (!TryServe(*it->second, now))
      return false;
    if (it->second->placement)
      service_rate_[it->second->request->model].OnServed(waiting.cost, now);
    it->second->changed.notify_one();
    waiters_.erase(it);
    return true;
  });
}

// Returns true if the waiter got a placement or an error and leaves the queue.
bool Dispatcher::State::TryServe(Waiter& waiter, TimePoint now) {
  const std::string customer =
      membership::CustomerResource(waiter.request->customer);
  if (waiter.needs_customer_slot && slots_.Free(customer, now) == 0)
    return false;
  std::vector<cache::StoredPrefix> stored;
  std::vector<routing::StoreSource> sources;
  stored = index_.Find(waiter.pieces);
  auto decision = DecideFor(waiter, stored, sources, now);
  if (!decision && !waiter.request->pinned_version &&
      decision.error().code != routing::RoutingErrorCode::kNoFreeSlot) {
    FallBackToPromoted(waiter);
    stored = index_.Find(waiter.pieces);
    sources.clear();
    decision = DecideFor(waiter, stored, sources, now);
  }
  if (!decision) {
    waiter.last_error = decision.error().code;
    if (waiter.last_error == routing::RoutingErrorCode::kExhausted) {
      waiter.error =
          PlacementError{PlacementErrorCode::kUnavailable, kMinRetryAfter};
      return true;
    }
    // The waiter stays queued: a slot may become free, or an upstream may
    // announce itself on a site that has just started.
    return false;
  }
  const UpstreamId& id = table_.views()[decision->upstream].id;
  if (!slots_.TryAcquire(membership::UpstreamResource(id), now)) {
    table_.RefreshOne(decision->upstream, slots_, now);
    return false;
  }
  if (waiter.needs_customer_slot)
    slots_.TryAcquire(customer, now);
  waiter.placement = MakePlacement(waiter, *decision, stored, now);
  ++running_;
  return true;
}

void Dispatcher::State::FallBackToPromoted(Waiter& waiter) {
  const auto model = configuration_->set.models().find(waiter.request->model);
  if (model == configuration_->set.models().end() ||
      model->second.version == waiter.version) {
    return;
  }
  waiter.version = model->second.version;
  waiter.pieces = cache::SplitPrompt(
      {waiter.request->customer, waiter.request->model, waiter.version},
      *waiter.request->prompt);
}

Result<routing::Decision, routing::RoutingError> Dispatcher::State::DecideFor(
    const Waiter& waiter,
    const std::vector<cache::StoredPrefix>& stored,
    std::vector<routing::StoreSource>& sources,
    TimePoint now) {
  for (const cache::StoredPrefix& prefix : stored) {
    const auto entry = std::find_if(
        settings_.stores.begin(), settings_.stores.end(),
        [&](const auto& store) { return store.id == prefix.store; });
    const auto link = links_.find(prefix.store);
    if (entry == settings_.stores.end() || link == links_.end())
      continue;
    sources.push_back({prefix.store, entry->domain, prefix.tokens,
                       link->second.ImportMillis(prefix.bytes, now)});
  }
  std::vector<routing::EngineSource> engines;
  for (const cache::EngineHint& hint : hints_.Find(waiter.pieces))
    engines.push_back({hint.upstream, hint.cache_generation, hint.tokens});
  routing::RouteRequest request;
  request.model = waiter.request->model;
  request.version = waiter.version;
  request.prompt_tokens = waiter.pieces.tokens;
  request.home_domain = settings_.domain;
  request.fresh = hooks_.fresh();
  request.affinity = StableHash(waiter.pieces.pieces.empty()
                                    ? waiter.request->id.str()
                                    : waiter.pieces.pieces.front().name);
  request.stores = sources;
  request.engines = engines;
  request.excluded = waiter.request->excluded;
  switch (policy_) {
    case RoutingPolicy::kLeastLoaded:
      return routing::DecideLeastLoaded(request, table_.views());
    case RoutingPolicy::kRoundRobin:
      return routing::DecideRoundRobin(request, table_.views(),
                                       next_placement_);
    case RoutingPolicy::kPredicted:
      break;
  }
  return routing::Decide(request, table_.views());
}

Placement Dispatcher::State::MakePlacement(
    const Waiter& waiter,
    const routing::Decision& decision,
    const std::vector<cache::StoredPrefix>& stored,
    TimePoint now) {
  const membership::Upstream& upstream = table_.upstream(decision.upstream);
  Placement placement;
  placement.upstream = upstream.id;
  placement.url = upstream.url;
  placement.incarnation = upstream.incarnation;
  placement.domain = upstream.domain;
  placement.version = waiter.version;
  placement.loaded = upstream.versions;
  placement.pieces = waiter.pieces;
  placement.source = decision.source;
  placement.cached_tokens = decision.cached_tokens;
  placement.predicted_ms = decision.predicted_ms;
  placement.number = next_placement_++;
  if (decision.store) {
    placement.stored = stored[*decision.store];
    for (const settings::StoreEntry& store : settings_.stores) {
      if (store.id == placement.stored.store)
        placement.store_url = store.url;
    }
    if (decision.source == routing::SourceKind::kStore)
      links_.at(placement.stored.store)
          .ReserveImport(placement.stored.bytes, now);
  }
  table_.OnPlaced(decision.upstream,
                  waiter.pieces.tokens - decision.cached_tokens, now);
  table_.RefreshOne(decision.upstream, slots_, now);
  hints_.RecordPrompt(waiter.pieces, upstream.id,
                      table_.views()[decision.upstream].cache_generation);
  CheckPlacement(waiter, placement);
  LogPlacement(waiter, placement, decision);
  return placement;
}

void Dispatcher::State::CheckPlacement(const Waiter& waiter,
                                       const Placement& placement) const {
  const auto& set = configuration_->set;
  CheckInvariant(!set.DomainIsOut(placement.domain),
                 Invariant::kDomainOutGetsNoWork, placement.domain.str());
  CheckInvariant(!set.UpstreamIsLeaving(placement.upstream),
                 Invariant::kLeavingGetsNoWork, placement.upstream.str());
  CheckInvariant(placement.pieces.owner.customer == waiter.request->customer,
                 Invariant::kCustomerIsolation, placement.upstream.str());
  const auto model = set.models().find(waiter.request->model);
  const bool version_allowed =
      waiter.request->pinned_version || model == set.models().end() ||
      placement.version == model->second.version ||
      (model->second.rollout && model->second.rollout->state !=
                                    configuration::RolloutState::kTakenBack) ||
      // The version was chosen just before the configuration that rolled it
      // back.
      waiter.chosen_at_revision != configuration_->revision;
  CheckInvariant(version_allowed, Invariant::kBadVersionShare,
                 placement.version.str());
  for (const cache::StoredPiece& piece : placement.stored.pieces) {
    CheckInvariant(piece.generation > 0 && !piece.checksum.empty(),
                   Invariant::kCacheBlockSealed, piece.name);
    CheckInvariant(piece.owner.customer == waiter.request->customer,
                   Invariant::kCustomerIsolation, piece.name);
    CheckInvariant(piece.owner.version == placement.version,
                   Invariant::kVersionIsolation, piece.name);
  }
}

void Dispatcher::State::LogPlacement(const Waiter& waiter,
                                     const Placement& placement,
                                     const routing::Decision& decision) const {
  const auto views = table_.views();
  LogLine("routing.decision")
      .Add("request", waiter.request->id.str())
      .Add("customer", waiter.request->customer.str())
      .Add("model", waiter.request->model.str())
      .Add("version", placement.version.str())
      .Add("upstream", placement.upstream.str())
      .Add("domain", placement.domain.str())
      .Add("reason", routing::SourceKindName(decision.source))
      .Add("store", placement.stored.store)
      .Add("prompt_tokens", waiter.pieces.tokens)
      .Add("cached_tokens", decision.cached_tokens)
      .Add("predicted_ms", decision.predicted_ms)
      .Add("candidates", decision.candidates)
      .Add("runner_up", decision.runner_up == decision.upstream
                            ? "-"
                            : views[decision.runner_up].id.str())
      .Add("runner_up_ms", decision.runner_up_ms)
      .Add("attempt", static_cast<std::int64_t>(placement.number))
      .Info();
}

void Dispatcher::State::UpdateDemand(TimePoint now) {
  std::map<ModelId, int> by_model;
  std::map<CustomerId, int> by_customer;
  for (const auto& [ticket, waiter] : waiters_) {
    ++by_model[waiter->request->model];
    if (waiter->needs_customer_slot)
      ++by_customer[waiter->request->customer];
  }
  const auto views = table_.views();
  for (const routing::UpstreamView& view : views) {
    const auto waiting = by_model.find(view.model);
    slots_.SetWaiting(membership::UpstreamResource(view.id),
                      waiting == by_model.end() ? 0 : waiting->second, now);
  }
  for (auto& [customer, state] : customers_) {
    const auto waiting = by_customer.find(customer);
    slots_.SetWaiting(membership::CustomerResource(customer),
                      waiting == by_customer.end() ? 0 : waiting->second, now);
  }
  if (!waiters_.empty())
    hooks_.on_demand();
}

void Dispatcher::State::RefreshAndServe() {
  const TimePoint now = hooks_.now();
  table_.Refresh(slots_, now);
  ConfigureBuckets(now);
  Serve(now);
  UpdateDemand(now);
}

void Dispatcher::State::Finish(const Placement& placement,
                               const std::string& class_name,
                               const AttemptReport& report) {
  {
    std::scoped_lock lock(mutex_);
    const TimePoint now = hooks_.now();
    if (report.first_token_ms == 0) {
      table_.OnPrefillEnded(placement.upstream,
                            placement.pieces.tokens - placement.cached_tokens);
    }
    table_.OnFinished(placement, report, now);
    if (report.imported_tokens > 0 && !placement.stored.pieces.empty()) {
      links_.at(placement.stored.store)
          .Observe(ImportedBytes(placement, report), report.import_ms);
    }
    slots_.Release(membership::UpstreamResource(placement.upstream), now);
    if (const auto index = table_.Find(placement.upstream))
      table_.RefreshOne(*index, slots_, now);
    // The engine's cache did not hold the prefix, so the hints are stale.
    if (report.ok && placement.source == routing::SourceKind::kEngine &&
        report.cached_tokens == 0) {
      hints_.RemoveUpstream(placement.upstream);
    }
    CountEngineHint(placement, report);
    --running_;
    Serve(now);
    if (slots_.ShouldReturn(membership::UpstreamResource(placement.upstream),
                            now)) {
      hooks_.on_demand();
    }
  }
  hooks_.on_report(placement, class_name, report);
}

// Counts whether the upstream's prefix cache held what the hints predicted.
void Dispatcher::State::CountEngineHint(const Placement& placement,
                                        const AttemptReport& report) {
  if (!report.ok || placement.source != routing::SourceKind::kEngine)
    return;
  const bool held =
      report.cached_tokens - report.imported_tokens >= placement.cached_tokens;
  metrics_.Add("endivecart_engine_hints_total",
               held ? "held=\"yes\"" : "held=\"no\"");
}

void Dispatcher::State::ReleaseCustomer(const CustomerId& customer) {
  std::scoped_lock lock(mutex_);
  slots_.Release(membership::CustomerResource(customer), hooks_.now());
  Serve(hooks_.now());
}

}  // namespace endivecart::entry
