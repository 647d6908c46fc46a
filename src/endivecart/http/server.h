#ifndef ENDIVECART_HTTP_SERVER_H_
#define ENDIVECART_HTTP_SERVER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <memory>
#include <string>

#include "endivecart/base/base.h"
#include "endivecart/settings/settings.h"

namespace endivecart::http {

using ServerRequest = Poco::Net::HTTPServerRequest;
using ServerResponse = Poco::Net::HTTPServerResponse;

enum class HttpErrorCode {
  kCannotListen,
  kNotSent,    // no byte of the request reached the server
  kMaybeSent,  // some bytes may have; there is no complete response
  kTooLarge,
  kTooSlow,
  kMalformed,
};

struct HttpError {
  HttpErrorCode code;
  std::string detail;

  bool operator==(const HttpError&) const = default;
};

// An HTTP/1.1 server with one thread per connection.
class Server {
 public:
  using Handler = std::function<void(ServerRequest&, ServerResponse&)>;

  // Starts to listen. `handler` is called on many threads.
  static Result<std::unique_ptr<Server>, HttpError> Start(
      const settings::Endpoint& endpoint,
      const settings::CallerLimits& limits,
      Handler handler);
  // Closes the listener, then waits for the threads of open connections.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Accepts no more connections; open ones are still served.
  void StopAccepting();
  int Connections() const;

 private:
  Server();
  struct Data;
  std::unique_ptr<Data> data_;
};

// Reads the request body, up to `max_bytes` and within `max_time`.
Result<std::string, HttpError> ReadBody(ServerRequest& request,
                                        std::size_t max_bytes,
                                        Millis max_time);

// Sends a complete response.
void Send(ServerResponse& response,
          int status,
          const std::string& content_type,
          const std::string& body);

// Returns the token of "Authorization: Bearer TOKEN"; empty if there is none.
std::string BearerToken(const ServerRequest& request);

}  // namespace endivecart::http

#endif  // ENDIVECART_HTTP_SERVER_H_
