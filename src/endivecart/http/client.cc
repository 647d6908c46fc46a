#include "endivecart/http/client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <utility>

namespace endivecart::http {

namespace {

constexpr std::size_t kMaxIdlePerServer = 256;

// Effectively unlimited: TakeIdle() checks whether a connection is stale.
constexpr Millis kIdleLimit{3600000};

Result<std::unique_ptr<ClientSession>, HttpError> Connect(
    const Url& url,
    Millis connect_timeout) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(
        Poco::Net::SocketAddress(url.host, static_cast<Poco::UInt16>(url.port)),
        ToTimespan(connect_timeout));
    socket.setNoDelay(true);
    auto session = std::make_unique<ClientSession>(socket);
    session->setKeepAlive(true);
    session->setKeepAliveTimeout(ToTimespan(kIdleLimit));
    return session;
  } catch (const Poco::Exception& e) {
    return Fail(HttpError{HttpErrorCode::kNotSent, e.displayText()});
  }
}

Result<CallReply, HttpError> SendAndReceive(ClientSession& session,
                                            const CallRequest& request,
                                            const std::string& path) {
  Poco::Net::HTTPRequest message(request.method, path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  for (const auto& [name, value] : request.headers)
    message.set(name, value);
  message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
  try {
    session.sendRequest(message) << request.body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    CallReply reply;
    reply.status = response.getStatus();
    reply.content_type = response.getContentType();
    for (const auto& [name, value] : response)
      reply.headers[name] = value;
    Poco::StreamCopier::copyToString(in, reply.body);
    const auto length = response.getContentLength64();
    if (length >= 0 && static_cast<std::int64_t>(reply.body.size()) != length)
      return Fail(HttpError{HttpErrorCode::kMaybeSent, "response truncated"});
    return reply;
  } catch (const Poco::Exception& e) {
    return Fail(HttpError{HttpErrorCode::kMaybeSent, e.displayText()});
  }
}

}  // namespace

Poco::Timespan ToTimespan(Millis time) {
  return {static_cast<Poco::Timespan::TimeDiff>(time.count()) * 1000};
}

Result<Url, HttpError> ParseUrl(const std::string& text) {
  try {
    const Poco::URI uri(text);
    if (uri.getScheme() != "http" || uri.getHost().empty())
      return Fail(HttpError{HttpErrorCode::kMalformed, "not an http:// URL"});
    const std::string path = uri.getPathAndQuery();
    return Url{uri.getHost(), uri.getPort(), path.empty() ? "/" : path};
  } catch (const Poco::Exception& e) {
    return Fail(HttpError{HttpErrorCode::kMalformed, e.displayText()});
  }
}

std::unique_ptr<ClientSession> ClientPool::TakeIdle(const Url& url) {
  std::scoped_lock lock(mutex_);
  auto& idle = idle_[{url.host, url.port}];
  while (!idle.empty()) {
    auto session = std::move(idle.back());
    idle.pop_back();
    // An idle connection that is readable has been closed by the server.
    if (session->connected() &&
        !session->socket().poll(Poco::Timespan(0),
                                Poco::Net::Socket::SELECT_READ)) {
      return session;
    }
  }
  return nullptr;
}

Result<std::unique_ptr<ClientSession>, HttpError> ClientPool::Acquire(
    const Url& url,
    Millis connect_timeout) {
  if (auto session = TakeIdle(url))
    return session;
  return Connect(url, connect_timeout);
}

void ClientPool::Release(const Url& url,
                         std::unique_ptr<ClientSession> session) {
  std::scoped_lock lock(mutex_);
  auto& idle = idle_[{url.host, url.port}];
  if (idle.size() < kMaxIdlePerServer)
    idle.push_back(std::move(session));
}

Result<CallReply, HttpError> Call(const CallRequest& request) {
  const auto url = ParseUrl(request.url);
  if (!url)
    return Fail(url.error());
  // Connecting is a separate step, because a failure here proves that nothing
  // was sent.
  auto session = Connect(*url, request.connect_timeout);
  if (!session)
    return Fail(session.error());
  (*session)->socket().setReceiveTimeout(ToTimespan(request.timeout));
  (*session)->socket().setSendTimeout(ToTimespan(request.timeout));
  return SendAndReceive(**session, request, url->path);
}

}  // namespace endivecart::http
