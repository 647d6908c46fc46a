// Cache of a prompt that a send fetches and saves.

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

namespace {

constexpr char kStoreGroup[] = "stores";
// A first event tells how long a transfer waited only if the time of all else
// is known better than this.
constexpr double kMaxSlackMs = 100;
// The share of the expected time of queue and prefill that a first event may be
// late without a transfer having waited.
constexpr double kSlackShare = 0.5;
// A first event tells how long a transfer waited only if the transfer has taken
// place with at least this probability.
constexpr double kSurelyFetched = 0.9;

int CountStores(const routes::RoutingConfiguration& configuration) {
  return static_cast<int>(std::count_if(configuration.services.begin(),
                                        configuration.services.end(),
                                        [](const routes::Service& service) {
                                          return service.store.has_value();
                                        }));
}

const routes::CacheStore* FindStore(
    const routes::RoutingConfiguration& configuration,
    const settings::Endpoint& address) {
  for (const routes::Service& service : configuration.services) {
    if (service.store && service.store->address == address)
      return &*service.store;
  }
  return nullptr;
}

}  // namespace

void Forwarding::PlanCache(UpstreamRequest& out) {
  if (weights_version_ == 0) {
    // Cache of an unknown weights version must not be shared.
    out.cache_label = request_.id.str();
    return;
  }
  out.weights_version = weights_version_;
  out.cache_label = fleet::CacheLabel(request_.prompt->model, weights_version_,
                                      CacheScopeNow());
  cache_label_ = out.cache_label;
  CachePlan plan = PlanForLabel(out.cache_label);
  KeepPermittedSaves(plan);
  out.save_cache_to = std::move(plan.save);
  fetch_task_ = MakeFetchTask(plan);
  if (fetch_task_) {
    ChooseSources(plan);
    out.fetch_cache_from = std::move(plan.fetch);
    out.fetch_until_ms = plan.fetch_until_ms;
    return;
  }
  out.fetch_cache_from = std::move(plan.fetch);
  out.fetch_until_ms = plan.fetch_until_ms;
  if (!home_ || !out.fetch_cache_from.empty())
    return;
  const auto engines = FetchableEngines();
  const bool may_fetch =
      std::any_of(engines.begin(), engines.end(),
                  [&](const Candidate* engine) { return engine->id == home_; });
  const auto* home = gateway_.upstreams_.Find(*home_);
  if (!may_fetch || home == nullptr)
    return;
  // The home may have evicted parts from its memory; these are prefilled.
  out.fetch_cache_from.resize(request_.prompt->parts.size());
  for (std::size_t i = 0; i + 1 < out.fetch_cache_from.size(); ++i)
    out.fetch_cache_from[i] = home->last.address;
}

CachePlan Forwarding::PlanForLabel(const std::string& label) const {
  const TimePoint now = gateway_.loop_.Now();
  return gateway_.cache_.Plan(
      *request_.prompt, label,
      [this](const DomainId& domain) { return IsAllowedIn(domain); },
      FetchTimeout(std::chrono::duration_cast<Millis>(now - accepted_at_),
                   route_.latency_target, PrefillTime()),
      now);
}

Millis Forwarding::PrefillTime() const {
  return Millis(static_cast<std::int64_t>(
      static_cast<double>(SharedTokensOf(*request_.prompt)) /
      gateway_.prefill_rates_.EstimateFor(service_).prompt_tokens_per_ms));
}

std::uint64_t Forwarding::CacheKeyOf(std::size_t part) const {
  return fleet::CacheKey({cache_label_, request_.prompt->parts[part].id});
}

CacheLink Forwarding::LinkOf(const UpstreamId& engine,
                             const routes::EngineLimits& limits) const {
  const auto* upstream = gateway_.upstreams_.Find(engine);
  return {upstream->last.address,
          upstream->last.domain,
          limits.link_mbps,
          Millis(0),
          {service_.str(), gateway_.Rank().hosts,
           static_cast<int>(candidates_.size())}};
}

bool Forwarding::MayFetchFrom(const Candidate& engine) const {
  const auto* upstream = gateway_.upstreams_.Find(engine.id);
  return upstream != nullptr && engine.id != upstream_ && !engine.is_suspect &&
         upstream->last.state == upstreams::UpstreamState::kReady &&
         !gateway_.upstreams_.IsCold(engine.id) &&
         !gateway_.upstreams_.IsSilent(engine.id) &&
         IsAllowedIn(engine.domain) &&
         gateway_.upstreams_.WeightsOf(*upstream, request_.prompt->model) ==
             weights_version_;
}

std::vector<const Candidate*> Forwarding::FetchableEngines() const {
  std::set<UpstreamId> ids;
  if (home_)
    ids.insert(*home_);
  for (std::size_t i = 0; i + 1 < request_.prompt->parts.size(); ++i) {
    for (const estimates::EngineRun& user :
         gateway_.cache_hits_.UsersOf(CacheKeyOf(i), gateway_.loop_.Now()))
      ids.insert(user.engine);
  }
  std::vector<const Candidate*> engines;
  for (const Candidate& candidate : candidates_) {
    if (ids.contains(candidate.id) && MayFetchFrom(candidate))
      engines.push_back(&candidate);
  }
  return engines;
}

estimates::EngineRun Forwarding::RunOf(const UpstreamId& engine) const {
  const auto* upstream = gateway_.upstreams_.Find(engine);
  return {engine, upstream == nullptr ? 0 : upstream->last.start_time_ms};
}

std::vector<CacheSource> Forwarding::StoresWith(
    const std::vector<CacheHolder>& holders) const {
  const routes::RoutingConfiguration& configuration = routes_->configuration();
  std::vector<CacheSource> sources;
  for (const CacheHolder& holder : holders) {
    const routes::CacheStore* store = FindStore(configuration, holder.address);
    CacheSource& source = sources.emplace_back();
    source.link = {
        holder.address,
        holder.domain,
        store == nullptr ? 0 : store->link_mbps,
        store == nullptr ? Millis(0) : store->transfer_delay,
        {kStoreGroup, gateway_.Rank().hosts, CountStores(configuration)}};
  }
  return sources;
}

std::vector<CacheSource> Forwarding::EnginesWith(
    std::uint64_t part,
    const std::vector<const Candidate*>& engines,
    const routes::EngineLimits& limits) const {
  const TimePoint now = gateway_.loop_.Now();
  std::vector<CacheSource> sources;
  for (const Candidate* engine : engines) {
    const bool is_home = home_ == engine->id;
    const auto evidence =
        gateway_.cache_hits_.EvidenceFor(part, RunOf(engine->id), is_home, now);
    if (!is_home && evidence > estimates::CacheEvidence::kUsedLately)
      continue;
    CacheSource& source = sources.emplace_back();
    source.link = LinkOf(engine->id, limits);
    source.is_store = false;
    source.is_home = is_home;
    source.evidence = evidence;
    source.probability =
        gateway_.cache_hits_.Rate(service_, source.evidence, now);
  }
  return sources;
}

std::optional<FetchTask> Forwarding::MakeFetchTask(
    const CachePlan& plan) const {
  const routes::Service* service =
      routes_->configuration().FindService(service_);
  if (service == nullptr || !service->engine ||
      service->engine->link_mbps <= 0 || service->engine->bytes_per_token <= 0)
    return std::nullopt;
  const TimePoint now = gateway_.loop_.Now();
  FetchTask task;
  task.engine = LinkOf(upstream_, *service->engine);
  task.bytes_per_token = service->engine->bytes_per_token;
  // The rate of all prompts is too high if parts were fetched, but better than
  // none: with too low a rate, misses would be taken for hits.
  SpeedEstimate speed = gateway_.unfetched_prefill_rates_.EstimateFor(service_);
  if (speed == SpeedEstimate())
    speed = gateway_.prefill_rates_.EstimateFor(service_);
  task.prompt_tokens_per_ms = speed.prompt_tokens_per_ms;
  task.elapsed = Age();
  task.latency_target = route_.latency_target;
  task.own_tokens = PromptTokens();
  const auto chosen = std::find_if(
      candidates_.begin(), candidates_.end(),
      [this](const Candidate& candidate) { return candidate.id == upstream_; });
  if (chosen != candidates_.end()) {
    task.queue_ms =
        static_cast<double>(chosen->prompt_tokens) / task.prompt_tokens_per_ms;
  }
  const auto engines = FetchableEngines();
  const estimates::EngineRun run = RunOf(upstream_);
  for (std::size_t i = 0; i + 1 < request_.prompt->parts.size(); ++i) {
    const std::uint64_t key = CacheKeyOf(i);
    FetchablePart& part = task.parts.emplace_back();
    part.index = i;
    part.tokens = request_.prompt->parts[i].tokens;
    task.own_tokens -= part.tokens;
    part.memory_evidence =
        gateway_.cache_hits_.EvidenceFor(key, run, !home_, now);
    part.memory_probability =
        gateway_.cache_hits_.Rate(service_, part.memory_evidence, now);
    if (i < plan.holders.size())
      part.sources = StoresWith(plan.holders[i]);
    for (CacheSource& source : EnginesWith(key, engines, *service->engine))
      part.sources.push_back(std::move(source));
  }
  task.own_tokens = std::max<std::int64_t>(task.own_tokens, 0);
  return task;
}

void Forwarding::ChooseSources(CachePlan& plan) {
  fetches_ = ChooseFetches(*fetch_task_, gateway_.transfer_lines_,
                           gateway_.loop_.Now());
  plan.fetch.assign(request_.prompt->parts.size(), std::nullopt);
  bool has_fetch = false;
  bool has_store = false;
  for (const PlannedFetch& fetch : fetches_) {
    if (!fetch.source)
      continue;
    plan.fetch[fetch.index] = fetch.source->link.address;
    has_fetch = true;
    has_store |= fetch.source->is_store;
  }
  if (!has_fetch)
    plan.fetch.clear();
  // Engines have the parts in their memory until they have sent them.
  if (!has_store)
    plan.fetch_until_ms.reset();
}

std::vector<std::string_view> Forwarding::SourceKinds(
    const UpstreamRequest& request) const {
  std::vector<std::string_view> kinds;
  for (const PlannedFetch& fetch : fetches_)
    kinds.push_back(SourceKind(fetch, fetch_task_->engine.domain));
  if (fetch_task_)
    return kinds;
  for (const auto& address : request.fetch_cache_from) {
    if (address)
      kinds.emplace_back(gateway_.cache_.DomainOf(*address) ? "store" : "home");
  }
  return kinds;
}

void Forwarding::RecordFetches(const UpstreamRequest& request) {
  const TimePoint now = gateway_.loop_.Now();
  for (const std::string_view kind : SourceKinds(request)) {
    gateway_.metrics_.Add("endivecart_cache_parts_total",
                          "source=\"" + std::string(kind) + "\"");
  }
  for (const PlannedFetch& fetch : fetches_) {
    if (!fetch.source)
      continue;
    const double transfer_ms = fetch.transfer_ms * fetch.probability;
    for (const CacheLink& link : {fetch.source->link, fetch_task_->engine}) {
      gateway_.transfer_lines_.Add(link.address.ToString(), link.group,
                                   transfer_ms, now);
    }
  }
}

void Forwarding::AddSources(const UpstreamRequest& request,
                            LogLine& line) const {
  std::map<std::string_view, int> counts;
  for (const std::string_view kind : SourceKinds(request))
    ++counts[kind];
  std::string text;
  for (const auto& [kind, count] : counts) {
    text += (text.empty() ? "" : ",") + std::string(kind) + ":" +
            std::to_string(count);
  }
  line.Add("sources", text);
  if (!fetch_task_)
    return;
  double expected_ms = 0;
  for (const PlannedFetch& fetch : fetches_)
    expected_ms = std::max(expected_ms, fetch.wait_ms + fetch.transfer_ms);
  line.Add("expected_fetch_ms", expected_ms);
}

void Forwarding::LearnFromFirstEvent() {
  if (relay_ || !fetch_task_)
    return;
  const FetchTask& task = *fetch_task_;
  const TimePoint now = gateway_.loop_.Now();
  const double observed_ms = MillisBetween(sent_at_, now);
  const estimates::EngineRun run = RunOf(upstream_);
  const PlannedFetch* longest = nullptr;  // from a store
  estimates::CacheEvidence evidence = estimates::CacheEvidence::kNone;
  std::int64_t uncertain_tokens = 0;
  std::int64_t largest_tokens = 0;
  std::int64_t prefill_tokens = task.own_tokens;
  double fetched_ms = 0;
  double transfers_ms = 0;
  bool has_fetch = false;
  for (std::size_t i = 0; i < fetches_.size(); ++i) {
    const PlannedFetch& fetch = fetches_[i];
    const FetchablePart& part = task.parts[i];
    gateway_.cache_hits_.RecordUse(CacheKeyOf(part.index), run, now);
    const bool is_from_engine = fetch.source && !fetch.source->is_store;
    if (fetch.decision == FetchDecision::kMemory || is_from_engine) {
      uncertain_tokens += part.tokens;
      if (part.tokens > largest_tokens) {
        largest_tokens = part.tokens;
        evidence =
            is_from_engine ? fetch.source->evidence : part.memory_evidence;
      }
    } else if (fetch.source) {
      if (longest == nullptr || fetch.transfer_ms > longest->transfer_ms)
        longest = &fetch;
    } else if (part.memory_evidence == estimates::CacheEvidence::kNone) {
      prefill_tokens += part.tokens;
    }
    has_fetch |= fetch.source.has_value();
    fetched_ms = std::max(fetched_ms, fetch.wait_ms + fetch.transfer_ms);
    transfers_ms += fetch.transfer_ms;
  }
  if (!has_fetch) {
    gateway_.unfetched_prefill_rates_.Add(service_, prefill_tokens, observed_ms,
                                          requests_there_);
  }
  const double prefill_ms =
      static_cast<double>(prefill_tokens) / task.prompt_tokens_per_ms;
  if (uncertain_tokens > 0) {
    const double hit_ms = std::max(task.queue_ms, fetched_ms) + prefill_ms;
    gateway_.cache_hits_.Add(service_, evidence, observed_ms, hit_ms,
                             hit_ms + static_cast<double>(uncertain_tokens) /
                                          task.prompt_tokens_per_ms,
                             now);
    return;
  }
  const double slack_ms = kSlackShare * (task.queue_ms + prefill_ms);
  if (longest != nullptr && longest->probability >= kSurelyFetched &&
      slack_ms < kMaxSlackMs) {
    gateway_.transfer_lines_.AddObservedWait(
        longest->source->link.address.ToString(),
        observed_ms - task.queue_ms - prefill_ms - slack_ms - transfers_ms,
        now);
  }
}

std::vector<FetchContext> Forwarding::FetchContexts(
    const UpstreamRequest& request) const {
  std::vector<FetchContext> contexts;
  for (std::size_t i = 0; i < request.fetch_cache_from.size(); ++i) {
    const auto& address = request.fetch_cache_from[i];
    if (!address)
      continue;
    FetchContext& context = contexts.emplace_back();
    if (const auto domain = gateway_.cache_.DomainOf(*address)) {
      context.is_known = true;
      context.is_store = true;
      context.is_complete = gateway_.cache_.Holds(
          *address, {request.cache_label, request_.prompt->parts[i].id});
      context.may_hold = IsAllowedIn(*domain);
      continue;
    }
    for (const Candidate& candidate : candidates_) {
      const auto* engine = gateway_.upstreams_.Find(candidate.id);
      if (engine == nullptr || engine->last.address != *address)
        continue;
      context.is_known = true;
      context.may_hold = IsAllowedIn(engine->last.domain);
      context.is_ready = engine->last.state == upstreams::UpstreamState::kReady;
      context.is_cold = gateway_.upstreams_.IsCold(candidate.id);
      context.is_silent = gateway_.upstreams_.IsSilent(candidate.id);
      context.weights_version =
          gateway_.upstreams_.WeightsOf(*engine, request_.prompt->model);
      break;
    }
  }
  return contexts;
}

}  // namespace endivecart::gateway
