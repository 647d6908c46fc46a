#include "json_body.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace standins {

namespace {

constexpr std::size_t kMaxBodyBytes = 64UL << 20;

}  // namespace

using endivecart::Millis;
using endivecart::http::ServerRequest;
using endivecart::http::ServerResponse;

Json::Ptr ReadJson(ServerRequest& request) {
  const auto body =
      endivecart::http::ReadBody(request, kMaxBodyBytes, Millis(30000));
  if (!body)
    return nullptr;
  try {
    Poco::JSON::Parser parser;
    return parser.parse(*body).extract<Json::Ptr>();
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

void SendJson(ServerResponse& response, const Json& json) {
  std::ostringstream out;
  json.stringify(out);
  endivecart::http::Send(response, 200, "application/json", out.str());
}

void SendStatus(ServerResponse& response, int status) {
  endivecart::http::Send(response, status, "application/json", "{}");
}

std::vector<std::string> Strings(const Json& json, const std::string& key) {
  std::vector<std::string> out;
  const auto array = json.getArray(key);
  if (!array.isNull()) {
    for (const auto& element : *array)
      out.push_back(element.convert<std::string>());
  }
  return out;
}

std::string QueryValue(const ServerRequest& request, const std::string& key) {
  for (const auto& [name, value] :
       Poco::URI(request.getURI()).getQueryParameters()) {
    if (name == key)
      return value;
  }
  return {};
}

std::string PathOf(const ServerRequest& request) {
  return request.getURI().substr(0, request.getURI().find('?'));
}

}  // namespace standins
