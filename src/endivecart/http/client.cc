#include "endivecart/http/client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/URI.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

namespace endivecart::http {

namespace {

namespace beast = boost::beast;

constexpr std::size_t kMaxIdlePerServer = 256;
constexpr std::size_t kReadBytes = 16UL << 10;
constexpr std::size_t kMaxHeaderBytes = 64UL << 10;
constexpr std::size_t kMaxReplyBytes = 16UL << 20;
constexpr unsigned kSwitchingProtocols = 101;

// Effectively unlimited: TakeIdle() checks whether a connection is stale.
constexpr Millis kIdleLimit{3600000};

// Reads one response from its bytes; holds no more of it than these limits.
class ResponseReader {
 public:
  explicit ResponseReader(bool is_head) : is_head_(is_head) { BeginResponse(); }

  // Adds received bytes; none means that the server has closed. Returns what is
  // wrong with the response, if anything is.
  std::optional<std::string> Add(std::string_view bytes) {
    beast::error_code error;
    if (bytes.empty()) {
      if (parser_->got_some())
        parser_->put_eof(error);
      if (!error && parser_->is_done())
        return std::nullopt;
      return "response truncated";
    }
    unparsed_ += bytes;
    while (!unparsed_.empty() && !parser_->is_done()) {
      const std::size_t used =
          parser_->put(boost::asio::buffer(unparsed_), error);
      unparsed_.erase(0, used);
      if (error && error != beast::http::error::need_more)
        return "malformed response: " + error.message();
      if (used == 0)
        break;
      if (!parser_->is_header_done())
        continue;
      const auto status = parser_->get().result_int();
      if (status < 100 || status > 599 || status == kSwitchingProtocols)
        return "malformed response: status " + std::to_string(status);
      if (status < 200)
        BeginResponse();  // an interim response
    }
    if (!parser_->is_done() && unparsed_.size() > kMaxHeaderBytes)
      return "malformed response: line too long";
    return std::nullopt;
  }
  bool is_done() const { return parser_->is_done(); }
  CallReply TakeReply() {
    CallReply reply;
    auto message = parser_->release();
    reply.status = static_cast<int>(message.result_int());
    reply.content_type = std::string(message[beast::http::field::content_type]);
    for (const auto& field : message)
      reply.headers[std::string(field.name_string())] =
          std::string(field.value());
    reply.body = std::move(message.body());
    return reply;
  }

 private:
  void BeginResponse() {
    parser_.emplace();
    parser_->skip(is_head_);
    parser_->eager(true);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxReplyBytes);
  }

  const bool is_head_;
  std::optional<beast::http::response_parser<beast::http::string_body>> parser_;
  std::string unparsed_;
};

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

// Sends the request and reads the response with a parser that tells a complete
// response from a cut one, which Poco's doesn't.
Result<CallReply, HttpError> SendAndReceive(Poco::Net::StreamSocket& socket,
                                            const CallRequest& request,
                                            const std::string& path) {
  Poco::Net::HTTPRequest message(request.method, path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  for (const auto& [name, value] : request.headers)
    message.set(name, value);
  message.setHost(socket.peerAddress().toString());
  message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
  std::ostringstream text;
  message.write(text);
  text << request.body;
  ResponseReader reader(request.method == "HEAD");
  const auto deadline = std::chrono::steady_clock::now() + request.timeout;
  try {
    const std::string bytes = text.str();
    for (std::size_t sent = 0; sent < bytes.size();) {
      sent += static_cast<std::size_t>(socket.sendBytes(
          bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
    }
    std::array<char, kReadBytes> buffer;
    while (!reader.is_done()) {
      if (std::chrono::steady_clock::now() > deadline)
        return Fail(HttpError{HttpErrorCode::kMaybeSent, "response too slow"});
      const int received =
          socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (const auto error =
              reader.Add({buffer.data(), static_cast<std::size_t>(received)})) {
        return Fail(HttpError{HttpErrorCode::kMaybeSent, *error});
      }
    }
  } catch (const Poco::Exception& e) {
    return Fail(HttpError{HttpErrorCode::kMaybeSent, e.displayText()});
  }
  return reader.TakeReply();
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
  return SendAndReceive((*session)->socket(), request, url->path);
}

}  // namespace endivecart::http
