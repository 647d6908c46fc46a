#include "endivecart/operators/operator_server.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <sstream>
#include <utility>

namespace endivecart::operators {

namespace {

using Json = Poco::JSON::Object;

constexpr std::size_t kMaxBodyBytes = 8UL << 20;
constexpr Millis kBodyTimeout{10000};
constexpr int kMaxConnections = 64;
constexpr char kJsonType[] = "application/json";

std::string Text(const Json& json) {
  std::ostringstream out;
  json.stringify(out);
  return out.str();
}

void SendError(http::ServerResponse& response,
               int status,
               const std::string& message) {
  Json json;
  json.set("error", message);
  http::Send(response, status, kJsonType, Text(json));
}

void SendError(http::ServerResponse& response, const OperatorError& error) {
  switch (error.code) {
    case OperatorErrorCode::kNoQuorum:
      return SendError(response, 503, error.detail);
    case OperatorErrorCode::kNotFound:
      return SendError(response, 404, error.detail);
    case OperatorErrorCode::kBadRequest:
      return SendError(response, 400, error.detail);
  }
}

bool TokenMatches(const http::ServerRequest& request,
                  const std::string& digest) {
  return ConstantTimeEqual(Sha256Hex(http::BearerToken(request)), digest);
}

Json::Ptr ParseObject(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Json::Ptr>();
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

std::optional<membership::Upstream> ReadAnnouncement(const std::string& text) {
  const Json::Ptr json = ParseObject(text);
  if (json.isNull())
    return std::nullopt;
  try {
    membership::Upstream upstream;
    upstream.id = UpstreamId(json->getValue<std::string>("id"));
    upstream.url = json->getValue<std::string>("url");
    upstream.domain = DomainId(json->getValue<std::string>("domain"));
    upstream.model = ModelId(json->getValue<std::string>("model"));
    for (const auto& version : *json->getArray("versions"))
      upstream.versions.emplace_back(version.convert<std::string>());
    upstream.incarnation = json->getValue<Poco::UInt64>("incarnation");
    upstream.cache_epoch = json->optValue<Poco::UInt64>("cache_epoch", 0);
    upstream.capacity = json->getValue<int>("capacity");
    upstream.prefill_tokens_per_s = json->getValue<int>("prefill_tokens_per_s");
    upstream.queued_tokens = json->optValue<int>("queued_tokens", 0);
    upstream.running = json->optValue<int>("running", 0);
    upstream.leaving = json->optValue<bool>("leaving", false);
    const bool is_valid = !upstream.id.empty() && upstream.capacity > 0 &&
                          upstream.prefill_tokens_per_s > 0 &&
                          http::ParseUrl(upstream.url).has_value();
    return is_valid ? std::optional(upstream) : std::nullopt;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

std::string QueryValue(const http::ServerRequest& request,
                       const std::string& key) {
  for (const auto& [name, value] :
       Poco::URI(request.getURI()).getQueryParameters()) {
    if (name == key)
      return value;
  }
  return {};
}

}  // namespace

std::string ToJson(const ChangeResult& result) {
  Json json;
  json.set("accepted", result.accepted);
  json.set("revision", static_cast<Poco::UInt64>(result.revision));
  if (!result.conflict_change_id.empty()) {
    json.set("conflict_change_id", result.conflict_change_id);
    json.set("conflict_author", result.conflict_author);
  }
  if (!result.error.empty())
    json.set("error", result.error);
  return Text(json);
}

std::string ToJson(const ForceState& state) {
  Json json;
  json.set("revision", static_cast<Poco::UInt64>(state.revision));
  json.set("in_force", state.in_force);
  Poco::JSON::Array::Ptr hosts = new Poco::JSON::Array;
  for (const OutstandingHost& outstanding : state.outstanding) {
    Json::Ptr host = new Json;
    host->set("host", outstanding.host.str());
    host->set("revision", static_cast<Poco::UInt64>(outstanding.revision));
    host->set("reason", outstanding.reason);
    hosts->add(host);
  }
  json.set("outstanding", hosts);
  return Text(json);
}

std::string ToJson(const std::vector<HistoryEntry>& history) {
  Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
  for (const HistoryEntry& entry : history) {
    Json::Ptr change = new Json;
    change->set("revision", static_cast<Poco::UInt64>(entry.revision));
    change->set("change_id", entry.change_id);
    change->set("author", entry.author);
    change->set("at_ms", static_cast<Poco::UInt64>(entry.at_ms));
    change->set("patch", entry.patch);
    list->add(change);
  }
  Json json;
  json.set("changes", list);
  return Text(json);
}

OperatorServer::OperatorServer(const settings::HostSettings& settings,
                               Hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)) {}

OperatorServer::~OperatorServer() = default;

Result<std::unique_ptr<OperatorServer>, http::HttpError> OperatorServer::Start(
    const settings::HostSettings& settings,
    Hooks hooks) {
  std::unique_ptr<OperatorServer> server(
      new OperatorServer(settings, std::move(hooks)));
  settings::CallerLimits limits;
  limits.max_connections = kMaxConnections;
  auto http =
      http::Server::Start(settings.operators, limits,
                          [raw = server.get()](auto& request, auto& response) {
                            raw->Handle(request, response);
                          });
  if (!http)
    return Fail(http.error());
  server->server_ = std::move(*http);
  return server;
}

void OperatorServer::Handle(http::ServerRequest& request,
                            http::ServerResponse& response) {
  const std::string path =
      request.getURI().substr(0, request.getURI().find('?'));
  if (path == "/metrics") {
    http::Send(response, 200, "text/plain; version=0.0.4",
               hooks_.metrics_text());
    return;
  }
  if (path == "/v1/announce")
    return HandleAnnounce(request, response);
  if (!TokenMatches(request, settings_.operator_token_digest)) {
    response.setKeepAlive(false);
    return SendError(response, 401, "unknown operator token");
  }
  if (request.getMethod() == "GET")
    return HandleGet(path, request, response);
  if (request.getMethod() == "POST")
    return HandlePost(path, request, response);
  SendError(response, 405, "use GET or POST");
}

void OperatorServer::HandleAnnounce(http::ServerRequest& request,
                                    http::ServerResponse& response) {
  if (!TokenMatches(request, settings_.announce_token_digest)) {
    response.setKeepAlive(false);
    return SendError(response, 401, "unknown announcement token");
  }
  const auto body = http::ReadBody(request, kMaxBodyBytes, kBodyTimeout);
  const auto upstream = body ? ReadAnnouncement(*body) : std::nullopt;
  if (!upstream)
    return SendError(response, 400, "malformed announcement");
  hooks_.announce(*upstream);
  http::Send(response, 200, kJsonType, "{}");
}

void OperatorServer::HandleGet(const std::string& path,
                               http::ServerRequest& request,
                               http::ServerResponse& response) {
  if (path == "/v1/status")
    return http::Send(response, 200, kJsonType, hooks_.status_json());
  if (path == "/v1/upstreams")
    return http::Send(response, 200, kJsonType, hooks_.upstreams_json());
  if (path == "/v1/config") {
    const auto configuration = hooks_.configuration();
    if (configuration == nullptr)
      return SendError(response, 503, "this host has no configuration yet");
    return http::Send(
        response, 200, kJsonType,
        "{\"revision\":" + std::to_string(configuration->revision) +
            ",\"document\":" + configuration->document + "}");
  }
  if (path == "/v1/config/history") {
    const auto history = hooks_.history();
    if (!history)
      return SendError(response, history.error());
    return http::Send(response, 200, kJsonType, ToJson(*history));
  }
  if (path == "/v1/config/force") {
    const std::string revision = QueryValue(request, "revision");
    const auto state =
        hooks_.force_state(std::strtoull(revision.c_str(), nullptr, 10));
    if (!state)
      return SendError(response, state.error());
    return http::Send(response, 200, kJsonType, ToJson(*state));
  }
  SendError(response, 404, "there is no such path");
}

void OperatorServer::HandlePost(const std::string& path,
                                http::ServerRequest& request,
                                http::ServerResponse& response) {
  const auto body = http::ReadBody(request, kMaxBodyBytes, kBodyTimeout);
  if (!body)
    return SendError(response, 400, body.error().detail);
  if (path == "/v1/config")
    return HandleChange(*body, response);
  if (path == "/v1/voters")
    return HandleVoters(*body, response);
  if (path == "/v1/drain") {
    hooks_.drain();
    return http::Send(response, 200, kJsonType, "{\"draining\":true}");
  }
  SendError(response, 404, "there is no such path");
}

void OperatorServer::HandleChange(const std::string& body,
                                  http::ServerResponse& response) {
  const Json::Ptr json = ParseObject(body);
  if (json.isNull() || !json->isObject("patch") ||
      json->optValue<std::string>("change_id", "").empty()) {
    return SendError(response, 400, "needs change_id and patch");
  }
  ChangeRequest change;
  change.change_id = json->getValue<std::string>("change_id");
  change.author = json->optValue<std::string>("author", "operator");
  if (json->has("expected_revision"))
    change.expected_revision =
        json->getValue<Poco::UInt64>("expected_revision");
  change.patch = Text(*json->getObject("patch"));
  const auto result = hooks_.change(change);
  if (!result)
    return SendError(response, result.error());
  const int status = result->accepted ? 200 : result->error.empty() ? 409 : 400;
  http::Send(response, status, kJsonType, ToJson(*result));
}

void OperatorServer::HandleVoters(const std::string& body,
                                  http::ServerResponse& response) {
  const Json::Ptr json = ParseObject(body);
  if (json.isNull())
    return SendError(response, 400, "needs action and host");
  const auto result =
      hooks_.change_voters(json->optValue<std::string>("action", ""),
                           HostId(json->optValue<std::string>("host", "")));
  if (!result)
    return SendError(response, result.error());
  Json reply;
  reply.set("result", *result);
  http::Send(response, 200, kJsonType, Text(reply));
}

}  // namespace endivecart::operators
