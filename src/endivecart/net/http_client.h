#ifndef ENDIVECART_NET_HTTP_CLIENT_H_
#define ENDIVECART_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "endivecart/net/event_loop.h"
#include "endivecart/net/http_message.h"
#include "endivecart/settings/settings.h"

namespace endivecart::net {

// How a call ended.
enum class CallEnd {
  kComplete,   // the whole answer has come
  kNotSent,    // not a byte of the request has left this process
  kBroken,     // the connection ended before the answer was complete
  kBadAnswer,  // what came is not an HTTP answer
};

std::string_view CallEndName(CallEnd end);

struct CallOptions {
  Millis connect_timeout{1000};
  // Whether an idle connection may carry the call; a stale one can lose it.
  bool reuse_connection = true;
  // Idle for longer than this, a connection isn't used for this call.
  Millis max_idle{10000};

  bool operator==(const CallOptions&) const = default;
};

struct CallHooks {
  std::function<void(const HttpResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
  // Called once, unless the call is cancelled. The last call of any hook.
  std::function<void(CallEnd)> on_end;
};

// A call under way. Destroying the handle cancels it.
class HttpCall {
 public:
  virtual ~HttpCall() = default;

  // Stops or resumes reading, to hold back an answer that can't be passed on.
  virtual void SetPaused(bool paused) = 0;
  // Whether any byte of the request may have left this process.
  virtual bool may_have_been_sent() const = 0;
  // Whether a new connection was opened for it.
  virtual bool opened_connection() const = 0;
};

using HttpCallPtr = std::unique_ptr<HttpCall>;

// Bounds on the connections that a client keeps.
struct HttpClientLimits {
  std::size_t max_idle_per_address = 64;
  std::size_t max_answer_header_bytes = 64UL << 10;
  // For servers that announce no idle timeout.
  Millis idle_timeout{15000};

  bool operator==(const HttpClientLimits&) const = default;
};

struct HttpConnectionPool;

// Sends requests and keeps connections for later ones. A connection on which
// anything unexpected comes is closed, never used again.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop, HttpClientLimits limits = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Hooks are called from the event loop, never from inside Start().
  HttpCallPtr Start(const settings::Endpoint& address,
                    const HttpRequest& request,
                    const CallOptions& options,
                    CallHooks hooks);

  // Open connections to the address, idle ones included.
  std::size_t ConnectionsTo(const settings::Endpoint& address) const;
  std::size_t IdleConnectionsTo(const settings::Endpoint& address) const;
  // Closes idle connections to an address that is no longer in use.
  void Forget(const settings::Endpoint& address);

 private:
  class Call;
  std::shared_ptr<HttpConnectionPool> pool_;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_CLIENT_H_
