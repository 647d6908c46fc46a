#ifndef DAEMONS_OPERATOR_CLIENT_H_
#define DAEMONS_OPERATOR_CLIENT_H_

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace command_line {

using Json = Poco::JSON::Object;

struct ClientError {
  int status = 0;  // HTTP status; 0 if no host responded
  std::string detail;
  Json::Ptr body;  // of an error response; may be null

  bool operator==(const ClientError& other) const {
    return status == other.status && detail == other.detail;
  }
};

// Client of the operators' API; tries the hosts in order until one responds.
class OperatorClient {
 public:
  OperatorClient(std::vector<std::string> urls, std::string token);

  endivecart::Result<Json::Ptr, ClientError> Get(const std::string& path) const;
  // Like Get(), but from the leader.
  endivecart::Result<Json::Ptr, ClientError> GetFromLeader(
      const std::string& path) const;
  endivecart::Result<Json::Ptr, ClientError> Post(const std::string& path,
                                                  const Json& body) const;
  endivecart::Result<Json::Ptr, ClientError> PostToLeader(
      const std::string& path,
      const Json& body) const;
  const std::vector<std::string>& urls() const { return urls_; }
  endivecart::Result<Json::Ptr, ClientError> GetFrom(
      const std::string& url,
      const std::string& path) const;

 private:
  endivecart::Result<Json::Ptr, ClientError> Call(
      const std::string& method,
      const std::string& url,
      const std::string& body) const;
  std::string LeaderUrl() const;

  std::vector<std::string> urls_;
  std::string token_;
};

}  // namespace command_line

#endif  // DAEMONS_OPERATOR_CLIENT_H_
