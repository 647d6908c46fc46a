// Sending, retrying and giving up of a request.

#include "endivecart/gateway/forwarding.h"

#include <algorithm>
#include <utility>

namespace endivecart::gateway {

namespace {

// A connection that takes longer would be established too late to be useful.
constexpr Millis kConnectTimeout{400};
// The upstream may close a connection that was idle for longer just when it is
// used; a non-idempotent request could then not be retried.
constexpr Millis kMaxIdleNonIdempotent{2000};
constexpr Millis kMaxIdle{10000};
// Maximum sends beyond the attempts of the route, for upstreams that refused
// the request or were unreachable and so have not run it.
constexpr int kMaxExtraSends = 3;
// With less time left than this, a retry cannot succeed.
constexpr Millis kMinRetryTime{20};

quarantine::PartList AllParts(quarantine::PartList request_keys,
                              const std::optional<Prompt>& prompt) {
  if (prompt) {
    // First the keys: the number of parts is limited.
    for (std::string& part : SharedPartsOf(*prompt))
      request_keys.push_back(std::move(part));
  }
  return quarantine::PartKeys(request_keys);
}

}  // namespace

Forwarding::Forwarding(Gateway& gateway,
                       net::HttpExchangePtr exchange,
                       CallerRequest request,
                       routes::RouteTablePtr routes,
                       const routes::Route& route,
                       const routes::Customer* customer,
                       std::optional<RelayTicket> ticket_from_relay)
    : gateway_(gateway),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      routes_(std::move(routes)),
      route_(route),
      customer_(customer),
      request_keys_(quarantine::RequestKeys(
          {request_.method, request_.host, request_.target,
           customer_ ? std::string_view(customer_->id.str()) : "",
           request_.body.str()})),
      parts_(AllParts(request_keys_, request_.prompt)),
      accepted_at_(exchange_->received_at()),
      ticket_from_relay_(ticket_from_relay),
      runs_(ticket_from_relay_ ? ticket_from_relay_->runs : 0),
      // The events before were part of a run that was counted.
      usage_counted_(
          !request_.last_event_id.empty() ||
          (ticket_from_relay_ && ticket_from_relay_->usage_counted)) {}

Forwarding::~Forwarding() = default;

void Forwarding::Start() {
  const Millis limit = std::min(
      request_.caller_timeout.value_or(route_.time_limit), route_.time_limit);
  deadline_ = accepted_at_ + limit;
  const auto weak = weak_from_this();
  deadline_timer_ =
      gateway_.loop_.After(std::max(TimeLeft(), Millis(0)), [weak](TimePoint) {
        if (const auto self = weak.lock())
          self->OnDeadline();
      });
  exchange_->OnCallerGone([weak] {
    if (const auto self = weak.lock())
      self->OnCallerGone();
  });
  exchange_->OnDrained([weak] {
    if (const auto self = weak.lock(); self && self->call_)
      self->call_->SetPaused(false);
  });
  service_ = gateway_.ChooseService(route_);
  move_draw_ = std::uniform_real_distribution<double>(0, 1)(gateway_.random_);
  // The host that sends it to an upstream counts it.
  if (!ChooseRelay())
    gateway_.retry_limiter_.CountRequest(service_, gateway_.loop_.Now());
  Send();
}

Millis Forwarding::TimeLeft() const {
  return std::chrono::duration_cast<Millis>(deadline_ - gateway_.loop_.Now());
}

Millis Forwarding::Age() const {
  return std::chrono::duration_cast<Millis>(gateway_.loop_.Now() -
                                            accepted_at_);
}

std::int64_t Forwarding::PromptTokens() const {
  return request_.prompt ? request_.prompt->input_tokens : 0;
}

bool Forwarding::MayRepeat() const {
  return route_.kind == routes::RequestKind::kIdempotent ||
         (IsStream() && route_.resumable);
}

void Forwarding::Send() {
  if (!KeepForCaller())
    return;
  if (!ChooseRelay() && ClaimSaves())
    return;
  if (!AdmitParts())
    return;
  if (const auto relay = ChooseRelay()) {
    StartRelayedCall(*relay);
    return;
  }
  const auto upstream = ChooseUpstream();
  if (upstream) {
    StartCall(*upstream);
  } else if (is_full_) {
    Wait();
  } else {
    LogLine("gateway.no_upstream")
        .Add("request", request_.id.str())
        .Add("route", route_.name)
        .Add("service", service_.str())
        .Add("upstreams", upstream_counts_.ToString())
        .Warn();
    GiveUp(upstream_counts_.waiting > 0 ? "asked_to_wait"
           : time_to_permit_            ? "limited"
                                        : kReasonNoUpstream);
  }
}

bool Forwarding::KeepForCaller() {
  caller_was_there_ = exchange_->IsCallerThere();
  if (caller_was_there_)
    return true;
  exchange_->Abort();
  OnCallerGone();
  return false;
}

UpstreamRequest Forwarding::MakeUpstreamRequest(const UpstreamId& upstream) {
  UpstreamRequest out;
  out.caller = &request_;
  out.upstream = upstream;
  out.time_left = TimeLeft();
  out.urgency = Urgency();
  if (customer_ != nullptr)
    out.customer = customer_->id;
  out.last_event_id = LastEventIdToSend();
  if (request_.prompt)
    PlanCache(out);
  return out;
}

std::string Forwarding::LastEventIdToSend() const {
  return last_event_id_ ? std::to_string(*last_event_id_)
                        : request_.last_event_id;
}

bool Forwarding::SatisfiesInvariants(const Chosen& chosen,
                                     const UpstreamRequest& request) const {
  SendContext context;
  context.request = &request;
  context.upstream = &gateway_.upstreams_.Find(chosen.upstream)->last;
  context.decisions = gateway_.decisions_.get();
  context.service = service_;
  context.cache_scope = CacheScopeNow();
  context.may_repeat = MayRepeat();
  context.may_have_run = MayHaveRun();
  context.is_cold = gateway_.upstreams_.IsCold(chosen.upstream);
  context.has_cold_start_permit = chosen.has_cold_start_permit;
  context.is_limited =
      gateway_.limits_.IsLimited(gateway_.upstreams_.RunOf(chosen.upstream));
  context.has_limit_permit = chosen.has_limit_permit;
  context.is_brittle =
      gateway_.limits_.RefusalLimit(gateway_.upstreams_.RunOf(chosen.upstream))
          .has_value();
  context.has_room = chosen.has_room;
  context.is_waiting =
      gateway_.named_waits_.TimeLeft(gateway_.upstreams_.RunOf(chosen.upstream),
                                     gateway_.loop_.Now()) > Millis(0);
  context.is_quarantined = gateway_.part_monitor_.IsQuarantined(parts_);
  context.is_trial = is_trial_;
  context.caller_was_there = caller_was_there_;
  context.fetches = FetchContexts(request);
  context.permitted_saves = save_permits_.parts.size();
  return CheckSendInvariants(context);
}

void Forwarding::LogSend(const Chosen& chosen,
                         const UpstreamRequest& request) const {
  LogLine line("gateway.send");
  line.Add("request", request_.id.str())
      .Add("route", route_.name)
      .Add("upstream", chosen.upstream.str())
      .Add("send", sends_)
      .Add("connection", connection_)
      .Add("expected_ms", chosen.expected_ms)
      .Add("requests_there", chosen.requests_there)
      .Add("upstreams", chosen.counts)
      .Add("left_ms", request.time_left.count());
  if (request_.prompt) {
    const auto count = [](const auto& addresses) {
      return std::count_if(addresses.begin(), addresses.end(),
                           [](const auto& a) { return a.has_value(); });
    };
    line.Add("at_home", home_ ? "no" : "yes")
        .Add("prompt_tokens", PromptTokens())
        .Add("shared_parts", SharedPartsText(*request_.prompt))
        .Add("label", request.cache_label)
        .Add("parts_fetched", std::int64_t{count(request.fetch_cache_from)})
        .Add("parts_saved", std::int64_t{count(request.save_cache_to)});
    AddSources(request, line);
    if (!request.fetch_cache_from.empty()) {
      const fleet::CachePosition& position = gateway_.cache_.position();
      line.Add("cache_term", position.term)
          .Add("cache_cursor", position.cursor)
          .Add("cache_age_ms",
               gateway_.cache_.Age(gateway_.loop_.Now()).count())
          .Add("fetch_until_ms", request.fetch_until_ms.value_or(0));
    }
  }
  if (!request.last_event_id.empty())
    line.Add("after_event", request.last_event_id);
  line.Info();
}

void Forwarding::ResetSend() {
  ++sends_;
  sent_at_ = gateway_.loop_.Now();
  data_at_ = TimePoint{};
  leaving_.reset();
  head_ = {};
  head_received_ = false;
  on_used_connection_ = false;
  forwards_events_ = false;
  first_event_of_send_at_.reset();
  last_step_at_.reset();
  events_of_send_ = 0;
  outcome_recorded_ = false;
  body_.clear();
  splitter_ = EventSplitter();
  cache_label_.clear();
  fetch_task_.reset();
  fetches_.clear();
}

void Forwarding::StartCall(const Chosen& chosen) {
  const UpstreamId& id = chosen.upstream;
  const auto* upstream = gateway_.upstreams_.Find(id);
  ResetSend();
  upstream_ = id;
  upstream_started_ms_ = upstream->last.start_time_ms;
  tried_.insert(id);
  requests_there_ = chosen.requests_there;
  weights_version_ = request_.prompt ? gateway_.upstreams_.WeightsOf(
                                           *upstream, request_.prompt->model)
                                     : 0;
  if (weights_version_ != 0)
    gateway_.last_weights_[request_.prompt->model] = weights_version_;
  gateway_.upstreams_.StartWork(id, pending_prefill_tokens_, HeldTokens());
  const UpstreamRequest request = MakeUpstreamRequest(id);
  MarkSavesSent(request);
  may_wait_for_cache_ = std::any_of(
      request.fetch_cache_from.begin(), request.fetch_cache_from.end(),
      [](const auto& address) { return address.has_value(); });
  if (!SatisfiesInvariants(chosen, request)) {
    EndSend(SendResult::kAbandoned);
    GiveUp("promise");
    return;
  }
  RecordFetches(request);
  net::CallOptions options;
  options.connect_timeout =
      std::min(kConnectTimeout, std::max(TimeLeft(), Millis(1)));
  options.max_idle = MayRepeat() ? kMaxIdle : kMaxIdleNonIdempotent;
  call_ = StartCallTo(upstream->last.address, gateway_.dialect_.encode(request),
                      options);
  connection_ = call_->connection_number();
  LogSend(chosen, request);
  candidates_ = {};  // not to be kept for as long as the answer takes
}

net::HttpCallPtr Forwarding::StartCallTo(const settings::Endpoint& address,
                                         const net::HttpRequest& request,
                                         net::CallOptions options) {
  caller_was_there_ = false;  // the next send needs another look
  effect_ = SendEffect::kMayHaveRun;
  // After an answer to an unknown request, one that may be repeated goes to
  // another upstream; the own answer to any other may still follow.
  options.identity = {request_.id.str(), !MayRepeat()};
  const auto weak = weak_from_this();
  return gateway_.client_.Start(address, request, options,
                                {[weak](const net::HttpResponseHead& head) {
                                   if (const auto self = weak.lock())
                                     self->OnHead(head);
                                 },
                                 [weak](std::string_view bytes) {
                                   if (const auto self = weak.lock())
                                     self->OnBody(bytes);
                                 },
                                 [weak](net::CallResult end) {
                                   if (const auto self = weak.lock())
                                     self->OnEnd(end);
                                 },
                                 [read_answer = gateway_.dialect_.read_answer](
                                     const net::HttpResponseHead& head) {
                                   return read_answer(head).request_id.str();
                                 }});
}

SendEffect Forwarding::EndCall(net::CallResult end) {
  if (!call_)
    return effect_;
  SendEvidence evidence;
  evidence.end = end;
  evidence.bytes_sent = call_->may_have_been_sent();
  evidence.has_own_id = call_->has_own_id();
  if (head_received_) {
    const AnswerMetadata answer = gateway_.dialect_.read_answer(head_);
    evidence.answered = answer.request_id;
    evidence.states_not_run =
        relay_ ? head_.fields.Has(kRelayNotRunField) : answer.not_run;
  }
  call_.reset();
  effect_ = EffectOf(evidence, request_.id);
  return effect_;
}

bool Forwarding::MayRetry(SendEffect effect) const {
  const bool was_run = effect == SendEffect::kMayHaveRun;
  if (TimeLeft() < kMinRetryTime)
    return false;
  if (was_run && (!MayRepeat() || runs_ >= route_.max_attempts))
    return false;
  if (!was_run && sends_ >= route_.max_attempts + kMaxExtraSends)
    return false;
  // What reached no upstream gives none of them more to do.
  return effect == SendEffect::kNotReached ||
         gateway_.retry_limiter_.TryAcquire(service_, gateway_.loop_.Now());
}

void Forwarding::RetryOrGiveUp(const char* reason, SendEffect effect) {
  if (!CheckInvariant(effect != SendEffect::kMayHaveRun,
                      Invariant::kNotRunIsTrue, request_.id.str())) {
    GiveUp(reason);
    return;
  }
  // A relay's send is no retry if none has reached an upstream.
  const bool is_first_arrival =
      effect == SendEffect::kNotReached && run_state_ == RunState::kNotRun;
  if ((is_first_arrival && ChooseRelay()) || MayRetry(effect)) {
    Send();
  } else {
    GiveUp(reason);
  }
}

void Forwarding::EndSend(SendResult result) {
  call_.reset();
  if (std::exchange(effect_, SendEffect::kNotReached) ==
      SendEffect::kMayHaveRun) {
    run_state_ = RunState::kMayHaveRun;
  }
  if (relay_) {
    gateway_.relays_.OnDone(*relay_);
    relay_.reset();
  }
  if (upstream_.empty())
    return;
  RecordMoveOutcome(result);
  EndSaves(result);
  if (pending_prefill_tokens_ > 0)
    gateway_.upstreams_.FinishPrefill(upstream_, pending_prefill_tokens_);
  pending_prefill_tokens_ = 0;
  gateway_.upstreams_.EndWork(
      upstream_,
      {result, MillisBetween(sent_at_, gateway_.loop_.Now()),
       on_used_connection_ && !head_received_ && result == SendResult::kBroken},
      HeldTokens());
  upstream_ = UpstreamId();
  gateway_.AdmitSoon();
}

void Forwarding::OnDeadline() {
  EndNow("time_limit");
}

void Forwarding::AnswerForShutdown() {
  if (!started_)
    EndNow("stopping");
}

void Forwarding::LogCutByStop() const {
  const TimePoint now = gateway_.loop_.Now();
  const auto longest = gateway_.durations_.Longest(
      route_.name, request_.prompt ? request_.prompt->max_output_tokens : 0);
  LogLine line("gateway.cut_by_stop");
  line.Add("request", request_.id.str())
      .Add("route", route_.name)
      .Add("ms", MillisBetween(accepted_at_, now))
      .Add("expected_ms", longest.value_or(route_.time_limit).count())
      .Add("events", std::uint64_t{events_});
  if (started_)
    line.Add("since_event_ms", MillisBetween(last_event_at_, now));
  line.Warn();
}

void Forwarding::EndNow(const char* reason) {
  StopWaiting();
  const bool reached =
      EndCall(net::CallResult::kBroken) != SendEffect::kNotReached;
  EndSend(reached && !started_ ? SendResult::kSilent : SendResult::kAbandoned);
  if (started_) {
    exchange_->Abort();
    Finish(0, reason);
  } else if (run_state_ == RunState::kNotRun) {
    Refuse(503, reason, kDefaultRetryAfter);
  } else {
    Refuse(504, reason, std::nullopt);
  }
}

void Forwarding::OnCallerGone() {
  LogCallerGone();
  StopWaiting();
  EndSend(SendResult::kAbandoned);
  Finish(0, "caller_gone");
}

void Forwarding::LogCallerGone() const {
  const char* const state = started_  ? "answering"
                            : call_   ? "sent"
                            : ticket_ ? "waiting"
                                      : "unsent";
  gateway_.metrics_.Add("endivecart_callers_gone_total",
                        "state=\"" + std::string(state) + "\"");
  LogLine line("gateway.caller_gone");
  line.Add("request", request_.id.str()).Add("state", state);
  if (call_) {
    line.Add(relay_ ? "host" : "upstream",
             relay_ ? relay_->str() : upstream_.str())
        .Add("since_send_ms", MillisBetween(sent_at_, gateway_.loop_.Now()));
  }
  line.Info();
}

void Forwarding::Finish(int status, const char* outcome) {
  if (std::exchange(finished_, true))
    return;
  deadline_timer_.reset();
  ReleaseSaves();
  const double elapsed = MillisBetween(accepted_at_, gateway_.loop_.Now());
  if (status >= 200 && status < 300) {
    AnswerTiming timing;
    timing.duration = Age();
    if (IsStream() && started_) {
      timing.first_event =
          std::chrono::duration_cast<Millis>(first_event_at_ - accepted_at_);
      timing.events = events_;
    }
    gateway_.durations_.Add(route_.name, timing);
  }
  LogLine line("gateway.done");
  line.Add("request", request_.id.str())
      .Add("route", route_.name)
      .Add("customer", customer_ ? customer_->id.str() : "")
      .Add("status", status)
      .Add("outcome", outcome)
      .Add("sends", sends_)
      .Add("ms", elapsed);
  if (ticket_from_relay_)
    line.Add("relayed", "yes");
  if (IsStream()) {
    line.Add("events", std::uint64_t{events_})
        .Add("first_event_ms",
             started_ ? MillisBetween(accepted_at_, first_event_at_) : 0.0);
  }
  line.Info();
  gateway_.metrics_.Add("endivecart_requests_total",
                        "outcome=\"" + std::string(outcome) + "\"");
  gateway_.metrics_.Observe("endivecart_request_ms",
                            MetricLabel("route", route_.name), elapsed);
  gateway_.Remove(shared_from_this());
}

}  // namespace endivecart::gateway
