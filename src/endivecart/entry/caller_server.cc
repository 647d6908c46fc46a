#include "endivecart/entry/caller_server.h"

#include <Poco/URI.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace endivecart::entry {

namespace {

constexpr Millis kBodyReadTimeout{10000};
constexpr Millis kDrainPollInterval{10};
constexpr std::size_t kMaxKeyLength = 200;
constexpr char kServicePrefix[] = "/services/";

CallerError BadRequest(int status, std::string code, std::string message) {
  return {status, std::move(code), std::move(message), RunState::kNotRun,
          Millis(0)};
}

CallerError FromBodyError(const http::HttpError& error) {
  switch (error.code) {
    case http::HttpErrorCode::kTooLarge:
      return BadRequest(413, "body_too_large", error.detail);
    case http::HttpErrorCode::kTooSlow:
      return BadRequest(408, "body_too_slow", error.detail);
    default:
      return BadRequest(400, "bad_request", error.detail);
  }
}

// Counts a request as active during its lifetime.
class ActiveGuard {
 public:
  explicit ActiveGuard(std::atomic<int>& active) : active_(active) {
    ++active_;
  }
  ~ActiveGuard() { --active_; }
  ActiveGuard(const ActiveGuard&) = delete;
  ActiveGuard& operator=(const ActiveGuard&) = delete;

 private:
  std::atomic<int>& active_;
};

}  // namespace

CallerServer::CallerServer(const settings::HostSettings& settings,
                           Dispatcher& dispatcher,
                           CompletionHandler& completions,
                           ServiceHandler& services,
                           MetricsRegistry& metrics,
                           Hooks hooks)
    : settings_(settings),
      dispatcher_(dispatcher),
      completions_(completions),
      services_(services),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      id_prefix_(
          settings.host.str() + "-" +
          std::to_string(
              std::chrono::system_clock::now().time_since_epoch().count() /
              1000) +
          "-") {}

CallerServer::~CallerServer() = default;

Result<std::unique_ptr<CallerServer>, http::HttpError> CallerServer::Start(
    const settings::HostSettings& settings,
    Dispatcher& dispatcher,
    CompletionHandler& completions,
    ServiceHandler& services,
    MetricsRegistry& metrics,
    Hooks hooks) {
  std::unique_ptr<CallerServer> server(new CallerServer(
      settings, dispatcher, completions, services, metrics, std::move(hooks)));
  auto http =
      http::Server::Start(settings.callers, settings.limits,
                          [raw = server.get()](auto& request, auto& response) {
                            raw->Handle(request, response);
                          });
  if (!http)
    return Fail(http.error());
  server->server_ = std::move(*http);
  return server;
}

void CallerServer::SetNotReady() {
  ready_ = false;
}

bool CallerServer::Drain(Millis timeout) {
  server_->StopAccepting();
  const TimePoint end = hooks_.now() + timeout;
  while (active_ > 0 && hooks_.now() < end)
    std::this_thread::sleep_for(kDrainPollInterval);
  return CheckInvariant(active_ == 0, Invariant::kGracefulStop,
                        "requests were cut off by a graceful stop");
}

void CallerServer::Refuse(http::ServerResponse& response,
                          const CallerError& error) {
  metrics_.Add("endivecart_refusals_total", "reason=\"" + error.code + "\"");
  SendCallerError(response, error);
}

std::optional<CallerError> CallerServer::CheckHeader(
    const http::ServerRequest& request) const {
  std::size_t bytes = request.getURI().size();
  for (const auto& [name, value] : request)
    bytes += name.size() + value.size() + 4;
  if (bytes > static_cast<std::size_t>(settings_.limits.max_header_bytes))
    return BadRequest(431, "header_too_large", "the header is too large");
  return std::nullopt;
}

void CallerServer::Handle(http::ServerRequest& request,
                          http::ServerResponse& response) {
  const ActiveGuard guard(active_);
  // While stopping, the host closes connections so that callers reconnect to
  // another host.
  if (!ready_)
    response.setKeepAlive(false);
  if (const auto error = CheckHeader(request)) {
    response.setKeepAlive(false);
    Refuse(response, *error);
    return;
  }
  const std::string path =
      request.getURI().substr(0, request.getURI().find('?'));
  if (!HandlePublic(path, response))
    HandleApi(request, response);
}

bool CallerServer::HandlePublic(const std::string& path,
                                http::ServerResponse& response) {
  if (path == "/health") {
    http::Send(response, 200, "text/plain", "alive\n");
    return true;
  }
  if (path == "/ready") {
    const bool ready = ready_ && dispatcher_.configuration() != nullptr;
    http::Send(response, ready ? 200 : 503, "text/plain",
               ready ? "ready\n" : "not ready\n");
    return true;
  }
  if (path == "/metrics") {
    http::Send(response, 200, "text/plain; version=0.0.4",
               hooks_.metrics_text());
    return true;
  }
  return false;
}

Result<configuration::RequestClass, CallerError> CallerServer::ClassOf(
    const http::ServerRequest& request,
    const configuration::ConfigurationSet& set,
    const configuration::Plan& plan) const {
  const std::string requested = request.get("Endivecart-Class", "");
  const configuration::RequestClass* chosen = nullptr;
  for (const std::string& name : plan.classes) {
    const auto& candidate = set.classes().at(name);
    // By default the class with the longest deadline.
    if (requested.empty()
            ? chosen == nullptr || candidate.deadline > chosen->deadline
            : name == requested) {
      chosen = &candidate;
    }
  }
  if (chosen == nullptr) {
    return Fail(BadRequest(403, "class_not_allowed",
                           "the plan has no such request class"));
  }
  return *chosen;
}

Result<CallerContext, CallerError> CallerServer::Authenticate(
    const http::ServerRequest& request) {
  const auto configuration = dispatcher_.configuration();
  if (configuration == nullptr) {
    return Fail(CallerError{503, "starting", "this host has no configuration",
                            RunState::kNotRun, Millis(1000)});
  }
  const configuration::Customer* customer =
      configuration->set.FindByKey(http::BearerToken(request));
  if (customer == nullptr)
    return Fail(BadRequest(401, "unauthorized", "unknown API key"));
  const auto& plan = configuration->set.PlanOf(*customer);
  const auto request_class = ClassOf(request, configuration->set, plan);
  if (!request_class)
    return Fail(request_class.error());
  return CallerContext{RequestId(id_prefix_ + std::to_string(next_id_++)),
                       customer->id, *request_class, hooks_.now()};
}

void CallerServer::HandleApi(http::ServerRequest& request,
                             http::ServerResponse& response) {
  const std::string path =
      request.getURI().substr(0, request.getURI().find('?'));
  const bool is_service = path.starts_with(kServicePrefix);
  const bool is_inference =
      path == "/v1/completions" || path == "/v1/chat/completions";
  if (!is_service && !is_inference && path != "/v1/models") {
    Refuse(response, BadRequest(404, "not_found", "there is no such path"));
    return;
  }
  const std::string method = is_inference ? "POST" : "GET";
  if (!is_service && request.getMethod() != method) {
    response.set("Allow", method);
    Refuse(response,
           BadRequest(405, "method_not_allowed", "this path takes " + method));
    return;
  }
  const auto caller = Authenticate(request);
  if (!caller) {
    response.setKeepAlive(false);
    Refuse(response, caller.error());
    return;
  }
  if (is_service) {
    HandleService(*caller, path, request, response);
  } else if (is_inference) {
    HandleInference(path == "/v1/completions" ? InferenceKind::kCompletion
                                              : InferenceKind::kChat,
                    *caller, request, response);
  } else {
    HandleModels(*caller, response);
  }
}

std::optional<std::string> CallerServer::ReadBodyOrRefuse(
    http::ServerRequest& request,
    http::ServerResponse& response) {
  auto body = http::ReadBody(
      request, static_cast<std::size_t>(settings_.limits.max_body_bytes),
      kBodyReadTimeout);
  if (body)
    return std::move(*body);
  response.setKeepAlive(false);
  Refuse(response, FromBodyError(body.error()));
  return std::nullopt;
}

void CallerServer::HandleInference(InferenceKind kind,
                                   const CallerContext& caller,
                                   http::ServerRequest& request,
                                   http::ServerResponse& response) {
  const auto body = ReadBodyOrRefuse(request, response);
  if (!body)
    return;
  const auto parsed = ParseInferenceRequest(kind, *body);
  if (!parsed) {
    Refuse(response, parsed.error());
    return;
  }
  const auto configuration = dispatcher_.configuration();
  const auto customer = configuration->set.customers().find(caller.customer);
  if (customer == configuration->set.customers().end() ||
      !configuration->set.PlanOf(customer->second)
           .models.contains(parsed->model)) {
    Refuse(response, BadRequest(404, "unknown-model",
                                "the plan has no model of this name"));
    return;
  }
  completions_.Handle(caller, *parsed, response);
}

void CallerServer::HandleModels(const CallerContext& caller,
                                http::ServerResponse& response) {
  const auto configuration = dispatcher_.configuration();
  const auto& set = configuration->set;
  const auto customer = set.customers().find(caller.customer);
  std::string list;
  if (customer != set.customers().end()) {
    for (const ModelId& model : set.PlanOf(customer->second).models) {
      list += (list.empty() ? "" : ",") + std::string("{\"id\":") +
              JsonQuoted(model.str()) +
              ",\"object\":\"model\",\"owned_by\":\"endivecart\"}";
    }
  }
  http::Send(response, 200, "application/json",
             "{\"object\":\"list\",\"data\":[" + list + "]}");
}

void CallerServer::HandleService(const CallerContext& caller,
                                 const std::string& path,
                                 http::ServerRequest& request,
                                 http::ServerResponse& response) {
  const auto body = ReadBodyOrRefuse(request, response);
  if (!body)
    return;
  const std::string rest = path.substr(sizeof(kServicePrefix) - 1);
  const std::size_t slash = rest.find('/');
  const std::string uri = request.getURI();
  ServiceCall call;
  call.service = rest.substr(0, slash);
  call.method = request.getMethod();
  call.path = uri.substr(sizeof(kServicePrefix) - 1 + call.service.size());
  if (!call.path.starts_with('/'))
    call.path = "/" + call.path;
  call.content_type = request.getContentType();
  call.body = *body;
  call.idempotency_key = request.get("Idempotency-Key", "");
  if (call.idempotency_key.size() > kMaxKeyLength) {
    Refuse(response,
           BadRequest(400, "bad_request", "the Idempotency-Key is too long"));
    return;
  }
  const auto reply = services_.Handle(caller, call);
  if (!reply) {
    Refuse(response, reply.error());
    return;
  }
  response.set("Endivecart-Run", std::string(RunStateName(RunState::kRan)));
  response.set("X-Request-Id", caller.id.str());
  if (reply->headers.contains("Idempotent-Replayed"))
    response.set("Idempotent-Replayed", "true");
  http::Send(response, reply->status, reply->content_type, reply->body);
}

}  // namespace endivecart::entry
