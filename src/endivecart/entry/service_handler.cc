#include "endivecart/entry/service_handler.h"

#include <algorithm>
#include <utility>

namespace endivecart::entry {

namespace {

constexpr int kServerError = 500;
constexpr Millis kRetryAfter{1000};

CallerError NotRun(int status, std::string code, std::string message) {
  return {status, std::move(code), std::move(message), RunState::kNotRun,
          status == 503 ? kRetryAfter : Millis(0)};
}

std::string DigestOf(const ServiceCall& call) {
  return Sha256HexOfFields(
      {call.service, call.method, call.path, call.content_type, call.body});
}

bool IsSafeMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// Returns the result of a call whose key was already claimed.
Result<http::CallReply, CallerError> AnswerForState(
    const ledger::ClaimResult& claimed) {
  switch (claimed.state) {
    case ledger::ClaimState::kFinished:
      return http::CallReply{claimed.answer.status,
                             claimed.answer.content_type,
                             claimed.answer.body,
                             {{"Idempotent-Replayed", "true"}}};
    case ledger::ClaimState::kMismatch:
      return Fail(CallerError{422, "idempotency_key_reused",
                              "the key belongs to another request",
                              RunState::kNotRun, Millis(0)});
    case ledger::ClaimState::kUnknown:
      return Fail(CallerError{409, "outcome_unknown",
                              "an earlier call with this key may have run",
                              RunState::kUnknown, Millis(0)});
    case ledger::ClaimState::kRunning:
    case ledger::ClaimState::kGranted:
      break;
  }
  return Fail(CallerError{409, "still_running",
                          "an earlier call with this key is still running",
                          RunState::kUnknown, kRetryAfter});
}

}  // namespace

ServiceHandler::ServiceHandler(const HostId& host,
                               const DomainId& domain,
                               MetricsRegistry& metrics,
                               Hooks hooks)
    : host_(host),
      domain_(domain),
      metrics_(metrics),
      hooks_(std::move(hooks)) {}

ServiceHandler::Backends ServiceHandler::UsableBackends(
    const configuration::Service& service,
    const configuration::ConfigurationSet& set) {
  const bool fresh = hooks_.fresh();
  const TimePoint now = hooks_.now();
  Backends usable;
  {
    std::scoped_lock lock(mutex_);
    for (const configuration::ServiceBackend& backend : service.backends) {
      const bool reachable = fresh || backend.domain == domain_;
      if (!set.DomainIsOut(backend.domain) && reachable &&
          !breakers_[backend.url].IsOpen(now)) {
        usable.push_back(backend);
      }
    }
  }
  if (usable.empty())
    return usable;
  const auto turn = static_cast<std::ptrdiff_t>(turn_++ % usable.size());
  std::rotate(usable.begin(), usable.begin() + turn, usable.end());
  std::stable_partition(usable.begin(), usable.end(),
                        [&](const configuration::ServiceBackend& backend) {
                          return backend.domain == domain_;
                        });
  return usable;
}

void ServiceHandler::RecordResult(const std::string& url, bool ok) {
  std::scoped_lock lock(mutex_);
  routing::Breaker& breaker = breakers_[url];
  if (ok) {
    breaker.OnSuccess();
  } else {
    breaker.OnFailure(hooks_.now());
  }
}

Result<http::CallReply, CallerError> ServiceHandler::Handle(
    const CallerContext& caller,
    const ServiceCall& call) {
  const auto configuration = hooks_.configuration();
  const auto& set = configuration->set;
  const auto customer = set.customers().find(caller.customer);
  const auto service = set.services().find(call.service);
  if (service == set.services().end() || customer == set.customers().end() ||
      !set.PlanOf(customer->second).services.contains(call.service)) {
    return Fail(
        NotRun(404, "unknown_service", "the plan has no service of this name"));
  }
  const bool repeatable =
      service->second.idempotent || IsSafeMethod(call.method);
  if (!repeatable && call.idempotency_key.empty()) {
    return Fail(NotRun(400, "idempotency_key_required",
                       "calls to this service need an Idempotency-Key"));
  }
  const Backends backends = UsableBackends(service->second, set);
  if (backends.empty())
    return Fail(NotRun(503, "unavailable", "no backend is available"));
  return repeatable ? RunIdempotent(caller, call, backends)
                    : RunAtMostOnce(caller, call, backends);
}

Result<http::CallReply, http::HttpError> ServiceHandler::CallBackend(
    const CallerContext& caller,
    const ServiceCall& call,
    const configuration::ServiceBackend& backend,
    bool idempotent) {
  http::CallRequest request;
  request.method = call.method;
  request.url = backend.url + call.path;
  request.body = call.body;
  request.headers["X-Request-Id"] = caller.id.str();
  request.headers["X-Customer"] = caller.customer.str();
  if (!call.content_type.empty())
    request.headers["Content-Type"] = call.content_type;
  if (!call.idempotency_key.empty())
    request.headers["Idempotency-Key"] = call.idempotency_key;
  request.timeout = std::max(
      Millis(1),
      std::chrono::duration_cast<Millis>(
          caller.arrived + caller.request_class.deadline - hooks_.now()));
  auto reply = http::Call(request);
  if (reply) {
    // The backend echoes the id; a different one means that the response
    // belongs to another request.
    const auto echo = reply->headers.find("X-Request-Id");
    if (echo == reply->headers.end() || echo->second != caller.id.str()) {
      reply = Fail(http::HttpError{http::HttpErrorCode::kMaybeSent,
                                   "response to another request"});
    }
  }
  const bool ok = reply && reply->status < kServerError;
  RecordResult(backend.url, ok);
  LogLine("service.attempt")
      .Add("request", caller.id.str())
      .Add("customer", caller.customer.str())
      .Add("service", call.service)
      .Add("upstream", backend.url)
      .Add("domain", backend.domain.str())
      .Add("idempotent", idempotent ? 1 : 0)
      .Add("result",
           reply ? std::to_string(reply->status) : reply.error().detail)
      .Info();
  return reply;
}

Result<http::CallReply, CallerError> ServiceHandler::RunIdempotent(
    const CallerContext& caller,
    const ServiceCall& call,
    const Backends& backends) {
  bool bytes_sent = false;
  for (const configuration::ServiceBackend& backend : backends) {
    if (hooks_.now() >= caller.arrived + caller.request_class.deadline)
      break;
    auto reply = CallBackend(caller, call, backend, true);
    bytes_sent |= reply || reply.error().code != http::HttpErrorCode::kNotSent;
    if (reply && reply->status < kServerError)
      return *reply;
  }
  CallerError error{502, "upstream_failed", "no backend returned a response",
                    bytes_sent ? RunState::kUnknown : RunState::kNotRun,
                    kRetryAfter};
  return Fail(error);
}

Result<http::CallReply, CallerError> ServiceHandler::RunAtMostOnce(
    const CallerContext& caller,
    const ServiceCall& call,
    const Backends& backends) {
  const ledger::ClaimRequest claim{
      {caller.customer, call.service + "/" + call.idempotency_key},
      DigestOf(call),
      host_,
      caller.id.str()};
  const TimePoint before = hooks_.now();
  const auto claimed = hooks_.claims.claim(claim);
  metrics_.Observe("endivecart_claim_ms", "",
                   MillisBetween(before, hooks_.now()));
  LogLine("service.claim")
      .Add("request", caller.id.str())
      .Add("customer", caller.customer.str())
      .Add("service", call.service)
      .Add("state", claimed ? ledger::ClaimStateName(claimed->state)
                            : std::string_view("no-quorum"))
      .Info();
  if (!claimed) {
    return Fail(NotRun(503, "no_quorum",
                       "no quorum to claim the call; it was not run"));
  }
  if (claimed->state != ledger::ClaimState::kGranted)
    return AnswerForState(*claimed);
  return RunClaimed(caller, call, backends, claim);
}

Result<http::CallReply, CallerError> ServiceHandler::RunClaimed(
    const CallerContext& caller,
    const ServiceCall& call,
    const Backends& backends,
    const ledger::ClaimRequest& claim) {
  for (const configuration::ServiceBackend& backend : backends) {
    auto reply = CallBackend(caller, call, backend, false);
    if (reply) {
      hooks_.claims.finish(claim,
                           {reply->status, reply->content_type, reply->body});
      return *reply;
    }
    if (reply.error().code != http::HttpErrorCode::kNotSent) {
      hooks_.claims.unknown(claim);
      return Fail(CallerError{504, "outcome_unknown",
                              "the backend may have run the call",
                              RunState::kUnknown, Millis(0)});
    }
  }
  // No backend received a byte, and this host makes no further attempt.
  hooks_.claims.release(claim);
  return Fail(NotRun(503, "unavailable", "no backend could be reached"));
}

}  // namespace endivecart::entry
