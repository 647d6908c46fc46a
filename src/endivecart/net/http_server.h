#ifndef ENDIVECART_NET_HTTP_SERVER_H_
#define ENDIVECART_NET_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "endivecart/net/connection_budget.h"
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
  // A body gets more time than `body_timeout` if it would be complete at this
  // rate; 0: it doesn't.
  std::size_t min_body_bytes_per_s = 0;
  Millis idle_timeout{15000};  // between requests, and for a stalled reader

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
  // Counts bytes that are collected for the response, in place of those given
  // before. Returns false if there is no room for them.
  virtual bool TryHold(std::size_t bytes) = 0;
  // `handler` is called once if the client's connection ends before the
  // response is complete.
  virtual void OnCallerGone(std::function<void()> handler) = 0;
  // `handler` is called whenever all response bytes were written to the socket.
  virtual void OnDrained(std::function<void()> handler) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

struct HttpServerState;

// Serves HTTP/1.1 on one address. Requests on a connection are handled one at a
// time; pipelined requests wait. If there is a budget, requests that have no
// room in it are rejected: 503, not run.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchangePtr)>;

  static Result<std::unique_ptr<HttpServer>, NetError> Listen(
      EventLoop& loop,
      const settings::Endpoint& address,
      HttpServerLimits limits,
      Handler handler,
      ConnectionBudgetPtr budget = nullptr);
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
  explicit HttpServer(std::shared_ptr<HttpServerState> state);
  static void Accept(const std::shared_ptr<HttpServerState>& state);
  // Returns whether one more connection may be accepted, after closing another
  // if that is necessary.
  static bool HasSlot(HttpServerState& state);

  std::shared_ptr<HttpServerState> state_;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_SERVER_H_
