#ifndef ENDIVECART_ENTRY_CALLER_SERVER_H_
#define ENDIVECART_ENTRY_CALLER_SERVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "endivecart/base/base.h"
#include "endivecart/entry/completion_handler.h"
#include "endivecart/entry/dispatcher.h"
#include "endivecart/entry/service_handler.h"
#include "endivecart/http/http.h"
#include "endivecart/settings/settings.h"

namespace endivecart::entry {

// HTTP API for callers: authentication, validation, routing of paths and
// graceful stop.
class CallerServer {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    std::function<std::string()> metrics_text;
  };

  static Result<std::unique_ptr<CallerServer>, http::HttpError> Start(
      const settings::HostSettings& settings,
      Dispatcher& dispatcher,
      CompletionHandler& completions,
      ServiceHandler& services,
      MetricsRegistry& metrics,
      Hooks hooks);
  ~CallerServer();

  // Fails readiness checks, so that the load balancer stops sending requests.
  // Requests are still served.
  void SetNotReady();
  // Stops accepting connections and waits up to `timeout` until no request is
  // active. Returns false on timeout.
  bool Drain(Millis timeout);
  int Active() const { return active_; }

 private:
  CallerServer(const settings::HostSettings& settings,
               Dispatcher& dispatcher,
               CompletionHandler& completions,
               ServiceHandler& services,
               MetricsRegistry& metrics,
               Hooks hooks);

  void Handle(http::ServerRequest& request, http::ServerResponse& response);
  void HandleApi(http::ServerRequest& request, http::ServerResponse& response);
  bool HandlePublic(const std::string& path, http::ServerResponse& response);
  Result<CallerContext, CallerError> Authenticate(
      const http::ServerRequest& request);
  Result<configuration::RequestClass, CallerError> ClassOf(
      const http::ServerRequest& request,
      const configuration::ConfigurationSet& set,
      const configuration::Plan& plan) const;
  // Returns the request body, or nullopt after sending an error.
  std::optional<std::string> ReadBodyOrRefuse(http::ServerRequest& request,
                                              http::ServerResponse& response);
  void HandleInference(InferenceKind kind,
                       const CallerContext& caller,
                       http::ServerRequest& request,
                       http::ServerResponse& response);
  void HandleModels(const CallerContext& caller,
                    http::ServerResponse& response);
  void HandleService(const CallerContext& caller,
                     const std::string& path,
                     http::ServerRequest& request,
                     http::ServerResponse& response);
  void Refuse(http::ServerResponse& response, const CallerError& error);
  std::optional<CallerError> CheckHeader(
      const http::ServerRequest& request) const;

  const settings::HostSettings settings_;
  Dispatcher& dispatcher_;
  CompletionHandler& completions_;
  ServiceHandler& services_;
  MetricsRegistry& metrics_;
  const Hooks hooks_;
  const std::string id_prefix_;  // unique to this process start
  std::atomic<std::uint64_t> next_id_{1};
  std::atomic<int> active_{0};
  std::atomic<bool> ready_{true};
  std::unique_ptr<http::Server> server_;
};

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_CALLER_SERVER_H_
