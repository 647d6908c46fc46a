#ifndef ENDIVECART_ENTRY_SERVICE_HANDLER_H_
#define ENDIVECART_ENTRY_SERVICE_HANDLER_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/entry/caller_error.h"
#include "endivecart/entry/completion_handler.h"
#include "endivecart/http/http.h"
#include "endivecart/ledger/ledger.h"
#include "endivecart/routing/routing.h"

namespace endivecart::entry {

// A call to a service that is not a model engine.
struct ServiceCall {
  std::string service;
  std::string method;
  std::string path;  // after /services/NAME, with the query
  std::string content_type;
  std::string body;
  std::string idempotency_key;  // empty if there is none

  bool operator==(const ServiceCall&) const = default;
};

// Access to the replicated claims. `claim` blocks until the outcome is certain;
// on an error the claim was not granted and this host must not run the request.
struct ClaimHooks {
  std::function<Result<ledger::ClaimResult, ledger::LedgerError>(
      const ledger::ClaimRequest&)>
      claim;
  std::function<void(const ledger::ClaimRequest&, const ledger::StoredAnswer&)>
      finish;
  std::function<void(const ledger::ClaimRequest&)> unknown;
  std::function<void(const ledger::ClaimRequest&)> release;
};

// Calls services that are not model engines. Idempotent calls are retried;
// others are claimed first and run at most once.
class ServiceHandler {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    std::function<bool()> fresh;
    std::function<configuration::ConfigurationPtr()> configuration;
    ClaimHooks claims;
  };

  ServiceHandler(const HostId& host,
                 const DomainId& domain,
                 MetricsRegistry& metrics,
                 Hooks hooks);

  // Makes one call. An error tells whether a backend may have run it.
  Result<http::CallReply, CallerError> Handle(const CallerContext& caller,
                                              const ServiceCall& call);

 private:
  using Backends = std::vector<configuration::ServiceBackend>;

  Result<http::CallReply, CallerError> RunIdempotent(
      const CallerContext& caller,
      const ServiceCall& call,
      const Backends& backends);
  Result<http::CallReply, CallerError> RunAtMostOnce(
      const CallerContext& caller,
      const ServiceCall& call,
      const Backends& backends);
  Result<http::CallReply, CallerError> RunClaimed(
      const CallerContext& caller,
      const ServiceCall& call,
      const Backends& backends,
      const ledger::ClaimRequest& claim);
  Result<http::CallReply, http::HttpError> CallBackend(
      const CallerContext& caller,
      const ServiceCall& call,
      const configuration::ServiceBackend& backend,
      bool idempotent);
  // Returns the backends that are available now, in order of preference.
  Backends UsableBackends(const configuration::Service& service,
                          const configuration::ConfigurationSet& set);
  void RecordResult(const std::string& url, bool ok);

  const HostId host_;
  const DomainId domain_;
  MetricsRegistry& metrics_;
  const Hooks hooks_;
  std::atomic<std::uint64_t> turn_{0};
  std::mutex mutex_;
  std::map<std::string, routing::Breaker> breakers_;  // by URL
};

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_SERVICE_HANDLER_H_
