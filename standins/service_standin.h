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
  std::string journal;  // file that gets one synced line for each run
};

// A plain service whose calls may not be repeated. It journals each run.
class ServiceStandin {
 public:
  explicit ServiceStandin(ServiceOptions options);
  ~ServiceStandin();
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
