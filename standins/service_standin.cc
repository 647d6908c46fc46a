#include "service_standin.h"

#include <Poco/Exception.h>
#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <thread>

namespace standins {

namespace http = endivecart::http;

ServiceStandin::ServiceStandin(ServiceOptions options)
    : options_(std::move(options)) {}

ServiceStandin::~ServiceStandin() {
  server_.reset();
  if (journal_ >= 0)
    ::close(journal_);
}

std::string ServiceStandin::Start() {
  journal_ = ::open(options_.journal.c_str(),
                    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (journal_ < 0)
    return "cannot open journal " + options_.journal;
  endivecart::settings::CallerLimits limits;
  auto server = http::Server::Start(
      options_.listen, limits,
      [this](auto& request, auto& response) { Handle(request, response); });
  if (!server)
    return server.error().detail;
  server_ = std::move(*server);
  return {};
}

void ServiceStandin::Journal(const std::string& line) {
  std::scoped_lock lock(mutex_);
  const std::string text = line + "\n";
  if (::write(journal_, text.data(), text.size()) < 0 ||
      ::fdatasync(journal_) != 0) {
    throw Poco::Exception("cannot write the journal");
  }
}

void ServiceStandin::Handle(http::ServerRequest& request,
                            http::ServerResponse& response) {
  if (PathOf(request) == "/control") {
    const Json::Ptr body = ReadJson(request);
    std::scoped_lock lock(mutex_);
    if (body->optValue<bool>("clear_faults", false))
      faults_.clear();
    if (body->has("fault"))
      faults_[body->getValue<std::string>("fault")] =
          body->optValue<int>("value", 1);
    return SendStatus(response, 200);
  }
  const auto body =
      http::ReadBody(request, 8UL << 20, endivecart::Millis(10000));
  std::map<std::string, int> faults;
  {
    std::scoped_lock lock(mutex_);
    faults = faults_;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(faults["slow_ms"]));
  if (faults["fail_before"] > 0)
    throw Poco::Exception("injected failure before execution");
  Journal(request.getMethod() + " " + request.get("X-Customer", "-") + " " +
          request.get("Idempotency-Key", "-") + " " + PathOf(request));
  if (faults["fail_after"] > 0)
    throw Poco::Exception("injected failure after execution");
  response.set("X-Request-Id", request.get("X-Request-Id", ""));
  http::Send(response, 200, "application/json",
             "{\"ran\":true,\"digest\":\"" +
                 endivecart::Sha256Hex(body ? *body : "") + "\"}");
}

}  // namespace standins
