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

// Splits "http://ADDRESS:PORT/PATH".
struct Url {
  std::string host;
  int port = 0;
  std::string path;  // at least "/"

  bool operator==(const Url&) const = default;
};

Result<Url, HttpError> ParseUrl(const std::string& text);

// Keeps idle connections by server. A connection is given back only after a
// whole answer was read; one with an abandoned answer is closed. Thread-safe.
class ClientPool {
 public:
  // A connected session for `url`. An error proves that nothing was sent.
  Result<std::unique_ptr<ClientSession>, HttpError> Take(
      const Url& url,
      Millis connect_timeout);
  void GiveBack(const Url& url, std::unique_ptr<ClientSession> session);

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
  Millis timeout{5000};  // between bytes of the answer

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

// One call on a connection of its own. The error tells whether the other side
// may have got a part of the request.
Result<CallReply, HttpError> Call(const CallRequest& request);

}  // namespace endivecart::http

#endif  // ENDIVECART_HTTP_CLIENT_H_
