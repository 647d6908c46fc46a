#include "endivecart/gateway/gateway.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

namespace {

constexpr Millis kRetryAfterStart{500};
// Another host can serve the request at once.
constexpr Millis kRetryAfterStop{100};
// Capacity may also become free through updates on other hosts' load.
constexpr Millis kAdmitInterval{40};
constexpr Millis kReachInterval{100};
constexpr Millis kBadServerLoadLogInterval{60000};

}  // namespace

Gateway::Gateway(GatewayOptions options,
                 Dialect dialect,
                 net::EventLoop& loop,
                 net::HttpClient& client,
                 MetricsRegistry& metrics)
    : options_(std::move(options)),
      dialect_(std::move(dialect)),
      loop_(loop),
      client_(client),
      metrics_(metrics),
      upstreams_(options_.domain, [&loop] { return loop.Now(); }),
      save_claims_(options_.seed, loop),
      named_waits_(StableHash(options_.host.str(), options_.seed)),
      prober_(loop, client, upstreams_, reach_),
      relay_port_(options_.relay_port),
      retry_limiter_(options_.retry_ratio, options_.retry_window),
      random_(options_.seed),
      usage_(options_.usage_window),
      admit_timer_(loop.Every(kAdmitInterval,
                              [this](TimePoint) {
                                if (!request_queue_.empty())
                                  Admit();
                              })),
      reach_timer_(
          loop.Every(kReachInterval, [this](TimePoint) { ReachTick(); })) {}

Gateway::~Gateway() = default;

void Gateway::SetDecisions(fleet::DecisionsPtr decisions,
                           routes::RouteTablePtr routes) {
  const TimePoint now = loop_.Now();
  for (const auto& [model, version] : decisions->weights)
    weights_ages_.Record(model, version, now);
  moves_.SetDecisions(*decisions, now);
  decisions_ = decisions;
  upstreams_.SetDecisions(std::move(decisions));
  if (!routes)
    return;
  routes_ = std::move(routes);
  cache_generation_ = decisions_->cache_generation;
  std::unordered_set<std::string_view> names;
  for (const routes::Route& route : routes_->configuration().routes)
    names.insert(route.name);
  durations_.KeepOnly(
      [&names](const std::string& name) { return names.contains(name); });
}

bool Gateway::CanFinish(const routes::Route& route,
                        const CallerRequest& request) const {
  if (!stop_at_)
    return true;
  const Millis limit = std::min(
      request.caller_timeout.value_or(route.time_limit), route.time_limit);
  const TimePoint now = loop_.Now();
  const Millis longest =
      now < callers_know_at_ ? ExpectedDuration(route, request, limit) : limit;
  return now + longest <= *stop_at_;
}

Millis Gateway::ExpectedDuration(const routes::Route& route,
                                 const CallerRequest& request,
                                 Millis limit) const {
  auto expected = durations_.Longest(
      route.name, request.prompt ? request.prompt->max_output_tokens : 0);
  if (!expected)
    return limit;
  for (const auto& forwarding : active_) {
    if (forwarding->IsOn(route))
      expected = std::max(*expected, forwarding->Age());
  }
  return std::min(*expected, limit);
}

std::uint64_t Gateway::MinWeights(const ModelId& model) const {
  return weights_ages_.NewestNamedBefore(model, options_.old_weights_grace,
                                         loop_.Now());
}

void Gateway::RespondWithRefusal(net::HttpExchange& exchange,
                                 const Refusal& refusal,
                                 bool tells_not_run) {
  auto response = dialect_.refusal(refusal.status, refusal.reason,
                                   refusal.retry_after, refusal.id);
  if (tells_not_run)
    response.head.fields.Add(kRelayNotRunField, refusal.reason);
  exchange.Respond(response);
}

void Gateway::Refuse(net::HttpExchange& exchange,
                     const Refusal& refusal,
                     bool is_relayed) {
  LogLine("gateway.refused")
      .Add("request", refusal.id.str())
      .Add("status", refusal.status)
      .Add("reason", refusal.reason)
      .Add("routing_version", decisions_ ? decisions_->routing_version : 0)
      .Info();
  metrics_.Add("endivecart_requests_total",
               "outcome=\"" + refusal.reason + "\"");
  RespondWithRefusal(exchange, refusal, is_relayed);
}

Gateway::Refusal Gateway::RoutingRefusal(int status,
                                         std::string_view reason,
                                         const RequestId& id) const {
  if (follower_ != nullptr && follower_->HasOutdatedRouting())
    return {503, kReasonOlderConfiguration, kRetryAfterStart, id};
  return {status, std::string(reason), std::nullopt, id};
}

void Gateway::Handle(net::HttpExchangePtr exchange) {
  const net::HttpRequest& received = exchange->request();
  Accept(std::move(exchange), received, std::nullopt);
}

void Gateway::HandleRelayed(net::HttpExchangePtr exchange) {
  net::HttpRequest received = exchange->request();
  const auto text = received.fields.Find(kRelayedField);
  auto ticket = text ? ParseRelayTicket(*text) : std::nullopt;
  if (!ticket) {
    Refuse(*exchange, {400, "malformed", std::nullopt, RequestId()}, true);
    return;
  }
  if (decisions_ && decisions_->routing_version < ticket->routing_version) {
    const auto request = dialect_.decode(received);
    Refuse(*exchange,
           {503, kReasonOlderConfiguration, kRetryAfterStart,
            request ? request->id : RequestId()},
           true);
    return;
  }
  received.fields.Remove(kRelayedField);
  ticket->usage_counted = received.fields.Has(kUsageCountedField);
  received.fields.Remove(kUsageCountedField);
  Accept(std::move(exchange), received, ticket);
}

void Gateway::Accept(net::HttpExchangePtr exchange,
                     const net::HttpRequest& received,
                     std::optional<RelayTicket> ticket) {
  auto request = dialect_.decode(received);
  const bool is_relayed = ticket.has_value();
  if (!request) {
    Refuse(*exchange, {400, "malformed", std::nullopt, RequestId()},
           is_relayed);
    return;
  }
  if (!routes_) {
    Refuse(*exchange,
           {503, kReasonNoConfiguration, kRetryAfterStart, request->id},
           is_relayed);
    return;
  }
  const routes::Route* route = routes_->Match(request->host, request->path);
  if (route == nullptr) {
    Refuse(*exchange, RoutingRefusal(404, "no_route", request->id), is_relayed);
    return;
  }
  const routes::Customer* customer = nullptr;
  if (routes_->NeedsKey(*route)) {
    customer = routes_->FindCustomer(request->key);
    if (customer == nullptr) {
      Refuse(*exchange, RoutingRefusal(401, "unknown_key", request->id),
             is_relayed);
      return;
    }
  }
  if (!CanFinish(*route, *request)) {
    Refuse(*exchange, {503, "stopping", kRetryAfterStop, request->id},
           is_relayed);
    return;
  }
  const auto forwarding = std::make_shared<Forwarding>(
      *this, std::move(exchange), std::move(*request), routes_, *route,
      customer, ticket);
  active_.insert(forwarding);
  forwarding->Start();
}

quarantine::HostReach Gateway::ReachReport() const {
  return {options_.domain, relay_port_, static_cast<int>(active_.size()),
          reach_.Report(loop_.Now())};
}

routes::ServiceId Gateway::ChooseService(const routes::Route& route) {
  int total = 0;
  for (const routes::WeightedService& target : route.services)
    total += target.weight;
  std::uniform_int_distribution<int> pick(0, std::max(total - 1, 0));
  int at = pick(random_);
  for (const routes::WeightedService& target : route.services) {
    at -= target.weight;
    if (at < 0)
      return target.service;
  }
  return route.services.front().service;
}

void Gateway::CountBadServerLoad(const UpstreamId& upstream) {
  metrics_.Add("endivecart_bad_server_loads_total", "");
  const TimePoint now = loop_.Now();
  if (bad_server_load_logged_at_ &&
      now - *bad_server_load_logged_at_ < kBadServerLoadLogInterval) {
    return;
  }
  bad_server_load_logged_at_ = now;
  LogLine("gateway.bad_server_load").Add("upstream", upstream.str()).Warn();
}

HostRank Gateway::Rank() const {
  return follower_ ? follower_->Place() : HostRank();
}

void Gateway::OnRequestLimit(const UpstreamId& upstream,
                             const AnswerMetadata& metadata,
                             TimePoint sent_at) {
  if (metadata.has_bad_limits) {
    metrics_.Add("endivecart_bad_request_limits_total");
    LogLine("gateway.bad_request_limit").Add("upstream", upstream.str()).Warn();
    return;
  }
  limits_.OnAnswer(upstreams_.RunOf(upstream), metadata.limits, sent_at,
                   loop_.Now());
}

void Gateway::OnNamedWait(const UpstreamId& upstream,
                          const AnswerMetadata& metadata) {
  if (metadata.has_bad_wait) {
    metrics_.Add("endivecart_bad_named_waits_total");
    LogLine("gateway.bad_named_wait").Add("upstream", upstream.str()).Warn();
    return;
  }
  if (!metadata.wait_s)
    return;
  metrics_.Add("endivecart_named_waits_total");
  LogLine("gateway.named_wait")
      .Add("upstream", upstream.str())
      .Add("wait_s", *metadata.wait_s)
      .Info();
  if (!named_waits_.OnNamed(upstreams_.RunOf(upstream), *metadata.wait_s,
                            loop_.Now())) {
    metrics_.Add("endivecart_bad_named_waits_total");
    LogLine("gateway.bad_named_wait")
        .Add("upstream", upstream.str())
        .Add("wait_s", *metadata.wait_s)
        .Warn();
  }
  // Other requests that wait for a connection would still arrive.
  for (const auto& forwarding : active_) {
    loop_.Post([weak = std::weak_ptr(forwarding), upstream] {
      if (const auto self = weak.lock())
        self->LeaveWaitingUpstream(upstream);
    });
  }
}

void Gateway::OnLeaving(const upstreams::UpstreamRun& run, TimePoint sent_at) {
  if (!upstreams_.RecordLeaving(run, sent_at))
    return;
  metrics_.Add("endivecart_upstreams_leaving_total");
  LogLine("gateway.upstream_leaving").Add("upstream", run.id.str()).Info();
}

void Gateway::Remove(const std::shared_ptr<Forwarding>& forwarding) {
  active_.erase(forwarding);
}

void Gateway::AdmitSoon() {
  if (request_queue_.empty() || admit_soon_)
    return;
  admit_soon_ = loop_.After(Millis(0), [this](TimePoint) {
    admit_soon_.reset();
    Admit();
  });
}

void Gateway::Admit() {
  request_queue_.Admit(
      [this](RequestQueue::Ticket ticket) {
        const auto forwarding = waiting_.at(ticket).lock();
        return forwarding != nullptr && forwarding->TryDispatch();
      },
      loop_.Now());
}

void Gateway::ReachTick() {
  const auto active = active_;  // active_ changes as requests end
  for (const auto& forwarding : active) {
    forwarding->ReportWaiting();
    if (reach_.IsCutOff())
      forwarding->FailOverFromCutLink();
  }
  prober_.Tick(random_());
}

void Gateway::AnswerAll() {
  const auto active = active_;  // active_ changes as requests end
  for (const auto& forwarding : active)
    forwarding->AnswerForShutdown();
}

void Gateway::LogCutRequests() const {
  for (const auto& forwarding : active_)
    forwarding->LogCutByStop();
}

void Gateway::Tick() {
  metrics_.Set("endivecart_quarantines", "",
               static_cast<double>(part_monitor_.quarantines()));
  upstreams_.Expire();
  ReportSpeeds();
  limits_.Expire(loop_.Now());
  transfer_lines_.Expire(loop_.Now());
  cache_hits_.Expire(loop_.Now());
  if (follower_ != nullptr)
    capacity_estimator_.SetUpdateDelay(follower_->PollInterval());
  named_waits_.Expire(loop_.Now());
  reach_.Expire(loop_.Now());
  metrics_.Set("endivecart_cut_off", "", reach_.IsCutOff() ? 1 : 0);
  metrics_.Set("endivecart_limited_upstreams", "",
               static_cast<double>(limits_.limited()));
  metrics_.Set("endivecart_waiting_upstreams", "",
               static_cast<double>(named_waits_.size()));
  metrics_.Set("endivecart_extra_answers", "",
               static_cast<double>(client_.extra_responses()));
  const auto active = active_;  // active_ changes as requests end
  for (const auto& forwarding : active) {
    forwarding->RecordSpeedOfRun();
    forwarding->FailOverFromSilentUpstream();
  }
}

}  // namespace endivecart::gateway
