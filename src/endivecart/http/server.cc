#include "endivecart/http/server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <array>
#include <utility>

namespace endivecart::http {

namespace {

constexpr int kListenBacklog = 512;
constexpr int kMaxWaitingConnections = 128;
constexpr int kIdleThreadSeconds = 30;
constexpr int kMinThreads = 8;
constexpr std::size_t kMaxDrainedBytes = 64UL << 20;

class FunctionHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit FunctionHandler(const Server::Handler& handler)
      : handler_(handler) {}

  void handleRequest(ServerRequest& request,
                     ServerResponse& response) override {
    try {
      handler_(request, response);
    } catch (const Poco::Exception& e) {
      LogLine("http.handler").Add("error", e.displayText()).Debug();
      response.setKeepAlive(false);
    } catch (const std::exception& e) {
      LogLine("http.handler").Add("error", e.what()).Error();
      response.setKeepAlive(false);
    }
  }

 private:
  const Server::Handler& handler_;
};

class FunctionHandlerFactory final
    : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit FunctionHandlerFactory(Server::Handler handler)
      : handler_(std::move(handler)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const ServerRequest&) override {
    return new FunctionHandler(handler_);
  }

 private:
  Server::Handler handler_;
};

}  // namespace

struct Server::Data {
  std::unique_ptr<Poco::ThreadPool> pool;
  std::unique_ptr<Poco::Net::HTTPServer> server;
  bool accepting = true;
};

Server::Server() : data_(std::make_unique<Data>()) {}

Result<std::unique_ptr<Server>, HttpError> Server::Start(
    const settings::Endpoint& endpoint,
    const settings::CallerLimits& limits,
    Handler handler) {
  std::unique_ptr<Server> server(new Server);
  try {
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(limits.max_connections);
    params->setMaxQueued(kMaxWaitingConnections);
    params->setThreadIdleTime(Poco::Timespan(kIdleThreadSeconds, 0));
    params->setKeepAlive(true);
    const Poco::Timespan timeout(limits.idle_timeout.count() * 1000);
    params->setTimeout(timeout);
    params->setKeepAliveTimeout(timeout);
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(
                    endpoint.address, static_cast<Poco::UInt16>(endpoint.port)),
                true, false);  // two processes must not share a port
    socket.listen(kListenBacklog);
    server->data_->pool = std::make_unique<Poco::ThreadPool>(
        std::min(kMinThreads, limits.max_connections),
        limits.max_connections + 1);
    server->data_->server = std::make_unique<Poco::Net::HTTPServer>(
        new FunctionHandlerFactory(std::move(handler)), *server->data_->pool,
        socket, params);
    server->data_->server->start();
  } catch (const Poco::Exception& e) {
    server->data_->accepting = false;
    return Fail(HttpError{HttpErrorCode::kCannotListen,
                          endpoint.ToString() + ": " + e.displayText()});
  }
  return server;
}

Server::~Server() {
  if (data_->server == nullptr)
    return;
  StopAccepting();
  data_->server->stopAll(true);
  data_->pool->joinAll();
}

void Server::StopAccepting() {
  if (std::exchange(data_->accepting, false))
    data_->server->stop();
}

int Server::Connections() const {
  return data_->server->currentConnections();
}

Result<std::string, HttpError> ReadBody(ServerRequest& request,
                                        std::size_t max_bytes,
                                        Millis max_time) {
  const auto length = request.getContentLength64();
  const auto start = std::chrono::steady_clock::now();
  if (length > static_cast<std::int64_t>(max_bytes)) {
    // The rest of the body is read, because a caller that is still sending
    // would not read the response.
    if (length <= static_cast<std::int64_t>(kMaxDrainedBytes))
      request.stream().ignore(length);
    return Fail(HttpError{HttpErrorCode::kTooLarge, "body too large"});
  }
  std::string body;
  std::array<char, 16384> buffer;
  std::istream& in = request.stream();
  while (in.read(buffer.data(), buffer.size()) || in.gcount() > 0) {
    body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
    if (body.size() > max_bytes)
      return Fail(HttpError{HttpErrorCode::kTooLarge, "body too large"});
    if (std::chrono::steady_clock::now() - start > max_time)
      return Fail(
          HttpError{HttpErrorCode::kTooSlow, "body was not received in time"});
  }
  if (length >= 0 && static_cast<std::int64_t>(body.size()) != length)
    return Fail(HttpError{HttpErrorCode::kMalformed, "body truncated"});
  return body;
}

void Send(ServerResponse& response,
          int status,
          const std::string& content_type,
          const std::string& body) {
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType(content_type);
  response.sendBuffer(body.data(), body.size());
}

std::string BearerToken(const ServerRequest& request) {
  const std::string& header = request.get("Authorization", "");
  constexpr std::string_view kScheme = "Bearer ";
  return header.starts_with(kScheme) ? header.substr(kScheme.size()) : "";
}

}  // namespace endivecart::http
