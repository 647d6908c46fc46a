#ifndef ENDIVECART_NET_HTTP_SERVER_H_
#define ENDIVECART_NET_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "endivecart/net/event_loop.h"
#include "endivecart/net/http_message.h"
#include "endivecart/net/net_error.h"
#include "endivecart/settings/settings.h"

namespace endivecart::net {

// Bounds on what a caller may send and on how long it may take.
struct HttpServerLimits {
  std::size_t max_connections = 2000;
  std::size_t max_header_bytes = 16UL << 10;
  std::size_t max_body_bytes = 8UL << 20;
  Millis header_timeout{10000};  // from a request's first byte to its header
  Millis body_timeout{30000};    // from the header to the whole body
  Millis idle_timeout{15000};    // between requests, and for a stalled reader

  bool operator==(const HttpServerLimits&) const = default;
};

// One request that was wholly read, and the way to answer it. Answers go out in
// one of two ways: Answer(), or StartAnswer(), any number of Write() and
// FinishAnswer() or Abort(). Calls after the connection is gone do nothing.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  // When the request's last byte was read.
  virtual TimePoint received_at() const = 0;
  virtual void Answer(const HttpResponse& response) = 0;
  virtual void StartAnswer(const HttpResponseHead& head) = 0;
  virtual void Write(std::string_view bytes) = 0;
  virtual void FinishAnswer() = 0;
  // Closes the connection so that the answer can't be taken for complete.
  virtual void Abort() = 0;
  // Bytes that were written here but not yet taken by the caller's connection.
  virtual std::size_t unsent_bytes() const = 0;
  // Called once, when the caller's connection has ended before the answer was
  // complete.
  virtual void OnCallerGone(std::function<void()> handler) = 0;
  // Called whenever all written bytes have been taken.
  virtual void OnDrained(std::function<void()> handler) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

// Serves HTTP/1.1 on one address. Requests on a connection are handled one
// after the other; what a caller sends ahead waits.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchangePtr)>;

  static Result<std::unique_ptr<HttpServer>, NetError> Listen(
      EventLoop& loop,
      const settings::Endpoint& address,
      HttpServerLimits limits,
      Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // For connections from now on.
  void SetLimits(const HttpServerLimits& limits);
  // From now on every answer announces the end of its connection.
  void AnnounceClose();
  // Closes the connections on which no request is being read or answered.
  void CloseIdle();
  // Takes no new connections.
  void StopAccepting();

  // The port in use; of interest where port 0 was asked for.
  int port() const;
  std::size_t connections() const;
  // Requests that were read and not yet wholly answered.
  std::size_t active() const;

 private:
  class Session;
  struct Data;
  explicit HttpServer(std::shared_ptr<Data> data);
  static void Accept(const std::shared_ptr<Data>& data);

  std::shared_ptr<Data> data_;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_SERVER_H_
