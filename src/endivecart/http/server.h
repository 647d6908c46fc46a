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
  kNotSent,    // no byte of the request reached the other side
  kMaybeSent,  // it may have; there is no whole answer
  kTooLarge,
  kTooSlow,
  kMalformed,
};

struct HttpError {
  HttpErrorCode code;
  std::string detail;

  bool operator==(const HttpError&) const = default;
};

// An HTTP/1.1 server with one thread for each connection.
class Server {
 public:
  using Handler = std::function<void(ServerRequest&, ServerResponse&)>;

  // Listens at once. `handler` is called from many threads.
  static Result<std::unique_ptr<Server>, HttpError> Start(
      const settings::Endpoint& endpoint,
      const settings::CallerLimits& limits,
      Handler handler);
  // Closes the listener, then waits for the connections' threads.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Takes no more connections; those that are open go on.
  void StopAccepting();
  int Connections() const;

 private:
  Server();
  struct Data;
  std::unique_ptr<Data> data_;
};

// Reads a request's whole body, up to `max_bytes` and within `max_time`.
Result<std::string, HttpError> ReadBody(ServerRequest& request,
                                        std::size_t max_bytes,
                                        Millis max_time);

// Sends a whole answer.
void Send(ServerResponse& response,
          int status,
          const std::string& content_type,
          const std::string& body);

// The token of "Authorization: Bearer TOKEN"; empty if there is none.
std::string BearerToken(const ServerRequest& request);

}  // namespace endivecart::http

#endif  // ENDIVECART_HTTP_SERVER_H_
