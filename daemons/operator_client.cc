#include "operator_client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <sstream>
#include <utility>

#include "endivecart/http/http.h"

namespace command_line {

namespace http = endivecart::http;
using endivecart::Fail;
using endivecart::Millis;
using endivecart::Result;

namespace {

constexpr Millis kTimeout{8000};
constexpr int kOk = 200;

std::string ToText(const Json& json) {
  std::ostringstream out;
  json.stringify(out);
  return out.str();
}

Json::Ptr Parse(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Json::Ptr>();
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

}  // namespace

OperatorClient::OperatorClient(std::vector<std::string> urls, std::string token)
    : urls_(std::move(urls)), token_(std::move(token)) {}

Result<Json::Ptr, ClientError> OperatorClient::Call(
    const std::string& method,
    const std::string& url,
    const std::string& body) const {
  http::CallRequest request;
  request.method = method;
  request.url = url;
  request.body = body;
  request.headers["Authorization"] = "Bearer " + token_;
  request.timeout = kTimeout;
  const auto reply = http::Call(request);
  if (!reply)
    return Fail(ClientError{0, url + ": " + reply.error().detail, nullptr});
  Json::Ptr json = Parse(reply->body);
  if (reply->status == kOk && !json.isNull())
    return json;
  const std::string reason =
      json.isNull() ? "unexpected response"
                    : json->optValue<std::string>("error", "refused");
  return Fail(ClientError{reply->status, reason, json});
}

Result<Json::Ptr, ClientError> OperatorClient::GetFrom(
    const std::string& url,
    const std::string& path) const {
  return Call("GET", url + path, "");
}

Result<Json::Ptr, ClientError> OperatorClient::Get(
    const std::string& path) const {
  Result<Json::Ptr, ClientError> result =
      Fail(ClientError{0, "no operators' URL is given", nullptr});
  for (const std::string& url : urls_) {
    result = GetFrom(url, path);
    if (result || result.error().status == 401 || result.error().status == 400)
      return result;
  }
  return result;
}

std::string OperatorClient::LeaderUrl() const {
  for (const std::string& url : urls_) {
    const auto status = GetFrom(url, "/v1/status");
    if (status && (*status)->optValue<bool>("is_leader", false))
      return url;
  }
  return {};
}

Result<Json::Ptr, ClientError> OperatorClient::GetFromLeader(
    const std::string& path) const {
  const std::string leader = LeaderUrl();
  if (leader.empty())
    return Fail(
        ClientError{0, "none of the given hosts is the leader", nullptr});
  return GetFrom(leader, path);
}

Result<Json::Ptr, ClientError> OperatorClient::Post(const std::string& path,
                                                    const Json& body) const {
  Result<Json::Ptr, ClientError> result =
      Fail(ClientError{0, "no operators' URL is given", nullptr});
  for (const std::string& url : urls_) {
    result = Call("POST", url + path, ToText(body));
    const int status = result ? kOk : result.error().status;
    // Retry on another host only if this one did not respond or was
    // unavailable.
    if (status != 0 && status != 503)
      return result;
  }
  return result;
}

Result<Json::Ptr, ClientError> OperatorClient::PostToLeader(
    const std::string& path,
    const Json& body) const {
  const std::string leader = LeaderUrl();
  if (leader.empty())
    return Fail(
        ClientError{0, "none of the given hosts is the leader", nullptr});
  return Call("POST", leader + path, ToText(body));
}

}  // namespace command_line
