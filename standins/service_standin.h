#ifndef STANDINS_SERVICE_STANDIN_H_
#define STANDINS_SERVICE_STANDIN_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "endivecart/http/http.h"
#include "json_body.h"

namespace standins {

struct ServiceOptions {
  endivecart::settings::Endpoint listen;
  std::string journal;  // file; one synced line per executed call
};

// A plain HTTP service with non-idempotent calls. Each execution is written to
// the journal, so that tests can count executions per idempotency key.
class ServiceStandin {
 public:
  explicit ServiceStandin(ServiceOptions options);
  ~ServiceStandin();
  // Starts listening. Returns an error text, empty on success.
  std::string Start();

 private:
  void Handle(endivecart::http::ServerRequest& request,
              endivecart::http::ServerResponse& response);
  void Journal(const std::string& line);

  const ServiceOptions options_;
  std::unique_ptr<endivecart::http::Server> server_;
  std::mutex mutex_;
  std::map<std::string, int> faults_;
  int journal_ = -1;  // file descriptor
};

}  // namespace standins

#endif  // STANDINS_SERVICE_STANDIN_H_
