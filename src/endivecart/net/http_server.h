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

// Limits on connections, message sizes and timeouts.
struct HttpServerLimits {
  std::size_t max_connections = 2000;
  std::size_t max_header_bytes = 16UL << 10;
  std::size_t max_body_bytes = 8UL << 20;
  Millis header_timeout{10000};  // from first byte to complete header
  Millis body_timeout{30000};    // from the header to the complete body
  Millis idle_timeout{15000};    // between requests, and for a stalled reader
  // Whether the connection that has been idle for longest makes room for a new
  // one beyond max_connections, which is refused otherwise. Only for clients
  // that may repeat their requests.
  bool closes_idle_when_full = false;

  bool operator==(const HttpServerLimits&) const = default;
};

// A completely received request and its response. To respond, call either
// Respond(), or StartResponse(), Write() any number of times, and
// FinishResponse() or Abort(). Calls after the connection has closed are
// no-ops.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  // When the last byte of the request was received.
  virtual TimePoint received_at() const = 0;
  virtual void Respond(const HttpResponse& response) = 0;
  virtual void StartResponse(const HttpResponseHead& head) = 0;
  virtual void Write(std::string_view bytes) = 0;
  virtual void FinishResponse() = 0;
  // Closes the connection so that the client can't mistake the response for
  // complete.
  virtual void Abort() = 0;
  // Returns the number of response bytes not yet written to the socket.
  virtual std::size_t unsent_bytes() const = 0;
  // Returns whether the client's connection is still open. Costs a system call.
  // The client may have closed it before its request was read: the close lies
  // behind the request, and OnCallerGone() reports it only later.
  virtual bool IsCallerThere() = 0;
  // `handler` is called once if the client's connection ends before the
  // response is complete.
  virtual void OnCallerGone(std::function<void()> handler) = 0;
  // `handler` is called whenever all response bytes were written to the socket.
  virtual void OnDrained(std::function<void()> handler) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

// Serves HTTP/1.1 on one address. Requests on a connection are handled one at a
// time; pipelined requests wait. If there is a budget, requests whose bodies
// have no room in it are rejected: 503, not run.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchangePtr)>;

  static Result<std::unique_ptr<HttpServer>, NetError> Listen(
      EventLoop& loop,
      const settings::Endpoint& address,
      HttpServerLimits limits,
      Handler handler,
      BodyBudgetPtr budget = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Applies to new connections.
  void SetLimits(const HttpServerLimits& limits);
  // Sends "Connection: close" with every further response.
  void DisableKeepAlive();
  // Closes the connections on which no request has been in progress for this
  // long: a caller that has just got its answer may be sending its next
  // request.
  void CloseIdle(Millis min_idle = Millis(0));
  // Stops accepting new connections.
  void StopAccepting();

  // Returns the bound port, also if port 0 was requested.
  int port() const;
  std::size_t connections() const;
  // Returns the number of requests whose response is not yet complete.
  std::size_t active() const;

 private:
  class Session;
  struct Data;
  // Closes the connection that has been idle for longest. Returns false if none
  // is idle.
  static bool CloseLongestIdle(Data& data);
  explicit HttpServer(std::shared_ptr<Data> data);
  static void Accept(const std::shared_ptr<Data>& data);

  std::shared_ptr<Data> data_;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_SERVER_H_
