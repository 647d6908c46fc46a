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

// Returns the request's body as a JSON object, or nullptr if it isn't one or
// can't be read.
Json::Ptr ReadJson(endivecart::http::ServerRequest& request);
// Sends `json` with status 200.
void SendJson(endivecart::http::ServerResponse& response, const Json& json);
// Sends `status` with an empty JSON object.
void SendStatus(endivecart::http::ServerResponse& response, int status);
// Returns the strings of the array at `key`; empty if there is none.
std::vector<std::string> Strings(const Json& json, const std::string& key);
// Returns the value of a query parameter; empty if it is missing.
std::string QueryValue(const endivecart::http::ServerRequest& request,
                       const std::string& key);
// Returns the request's path without its query.
std::string PathOf(const endivecart::http::ServerRequest& request);

}  // namespace standins

#endif  // STANDINS_JSON_BODY_H_
