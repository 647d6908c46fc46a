#ifndef STANDINS_JSON_BODY_H_
#define STANDINS_JSON_BODY_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <string>
#include <vector>

#include "endivecart/http/http.h"

namespace standins {

using Json = Poco::JSON::Object;

// The request's body as a JSON object; null if it is not one.
Json::Ptr ReadJson(endivecart::http::ServerRequest& request);
void SendJson(endivecart::http::ServerResponse& response, const Json& json);
void SendStatus(endivecart::http::ServerResponse& response, int status);
std::vector<std::string> Strings(const Json& json, const std::string& key);
// The value of a query parameter; empty if it is missing.
std::string QueryValue(const endivecart::http::ServerRequest& request,
                       const std::string& key);
std::string PathOf(const endivecart::http::ServerRequest& request);

}  // namespace standins

#endif  // STANDINS_JSON_BODY_H_
