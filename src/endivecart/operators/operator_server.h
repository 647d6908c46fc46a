#ifndef ENDIVECART_OPERATORS_OPERATOR_SERVER_H_
#define ENDIVECART_OPERATORS_OPERATOR_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/http/http.h"
#include "endivecart/membership/membership.h"
#include "endivecart/operators/operator_values.h"
#include "endivecart/settings/settings.h"

namespace endivecart::operators {

// HTTP API for operators and for the announcements of upstreams. Operators
// authenticate with one token, upstreams with another.
class OperatorServer {
 public:
  struct Hooks {
    std::function<void(const membership::Upstream&)> announce;
    std::function<std::string()> status_json;
    std::function<std::string()> upstreams_json;
    std::function<std::string()> metrics_text;
    std::function<configuration::ConfigurationPtr()> configuration;
    std::function<Result<ChangeResult, OperatorError>(const ChangeRequest&)>
        change;
    std::function<Result<ForceState, OperatorError>(Revision)> force_state;
    std::function<Result<std::vector<HistoryEntry>, OperatorError>()> history;
    // Promotes, adds or removes one host as a voter.
    std::function<Result<std::string, OperatorError>(const std::string& action,
                                                     const HostId&)>
        change_voters;
    // Stops new work on this host; cannot be undone.
    std::function<void()> drain;
  };

  static Result<std::unique_ptr<OperatorServer>, http::HttpError> Start(
      const settings::HostSettings& settings,
      Hooks hooks);
  ~OperatorServer();

 private:
  OperatorServer(const settings::HostSettings& settings, Hooks hooks);

  void Handle(http::ServerRequest& request, http::ServerResponse& response);
  void HandleAnnounce(http::ServerRequest& request,
                      http::ServerResponse& response);
  void HandleGet(const std::string& path,
                 http::ServerRequest& request,
                 http::ServerResponse& response);
  void HandlePost(const std::string& path,
                  http::ServerRequest& request,
                  http::ServerResponse& response);
  void HandleChange(const std::string& body, http::ServerResponse& response);
  void HandleVoters(const std::string& body, http::ServerResponse& response);

  const settings::HostSettings settings_;
  const Hooks hooks_;
  std::unique_ptr<http::Server> server_;
};

// Responses of the API as JSON, for the server and its client.
std::string ToJson(const ChangeResult& result);
std::string ToJson(const ForceState& state);
std::string ToJson(const std::vector<HistoryEntry>& history);

}  // namespace endivecart::operators

#endif  // ENDIVECART_OPERATORS_OPERATOR_SERVER_H_
