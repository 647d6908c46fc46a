#ifndef ENDIVECART_HTTP_CLIENT_H_
#define ENDIVECART_HTTP_CLIENT_H_

#include <Poco/Net/HTTPClientSession.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/http/server.h"

namespace endivecart::http {

using ClientSession = Poco::Net::HTTPClientSession;
using Headers = std::map<std::string, std::string>;

// The components of "http://ADDRESS:PORT/PATH".
struct Url {
  std::string host;
  int port = 0;
  std::string path;  // at least "/"

  bool operator==(const Url&) const = default;
};

// Fails with kMalformed unless `text` is an http:// URL.
Result<Url, HttpError> ParseUrl(const std::string& text);

// Pool of idle connections by server. A connection is returned only after a
// complete response was read; otherwise it is closed. Thread-safe.
class ClientPool {
 public:
  // Returns a connected session for `url`. An error proves that nothing was
  // sent.
  Result<std::unique_ptr<ClientSession>, HttpError> Acquire(
      const Url& url,
      Millis connect_timeout);
  // Returns a connection to the pool, after a complete response was read.
  void Release(const Url& url, std::unique_ptr<ClientSession> session);

 private:
  std::unique_ptr<ClientSession> TakeIdle(const Url& url);

  std::mutex mutex_;
  std::map<std::pair<std::string, int>,
           std::vector<std::unique_ptr<ClientSession>>>
      idle_;
};

struct CallRequest {
  std::string method = "GET";
  std::string url;
  std::string body;
  Headers headers;
  Millis connect_timeout{1000};
  Millis timeout{5000};  // between bytes of the response, and for all of it

  bool operator==(const CallRequest&) const = default;
};

struct CallReply {
  int status = 0;
  std::string content_type;
  std::string body;
  Headers headers;

  bool operator==(const CallReply&) const = default;
};

Poco::Timespan ToTimespan(Millis time);

// Makes one call on a new connection. The error tells whether the server may
// have received a part of the request.
Result<CallReply, HttpError> Call(const CallRequest& request);

}  // namespace endivecart::http

#endif  // ENDIVECART_HTTP_CLIENT_H_
