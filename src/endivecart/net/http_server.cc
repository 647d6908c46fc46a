#include "endivecart/net/http_server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <deque>
#include <set>
#include <utility>
#include <vector>

#include "endivecart/net/http_parser.h"
#include "endivecart/net/socket_options.h"

namespace endivecart::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 16UL << 10;
// Pipelined bytes that are buffered while a request is being handled.
constexpr std::size_t kMaxPipelinedBytes = 64UL << 10;
// Lingering close: input is read and discarded for this long, as closing with
// unread input resets the connection and may lose the response.
constexpr Millis kLingerTime{1000};
// Interval of looking for a close while input isn't read. Well below the time
// in which work for a client that has left must end.
constexpr Millis kCloseCheckInterval{100};
constexpr Millis kAcceptRetryDelay{50};
// Sent with 503. Most requests end sooner.
constexpr std::string_view kRetryAfterSeconds = "1";
constexpr int kBacklog = 1024;

int StatusOfParseError(const ErrorCode& error) {
  if (error == http::error::header_limit)
    return 431;
  if (error == http::error::body_limit)
    return 413;
  if (error == boost::system::errc::not_enough_memory)
    return 503;
  return 400;
}

}  // namespace

struct HttpServer::Data {
  Data(EventLoop& event_loop,
       HttpServerLimits server_limits,
       Handler function,
       BodyBudgetPtr body_budget)
      : loop(event_loop),
        acceptor(event_loop.context()),
        limits(server_limits),
        handler(std::move(function)),
        budget(std::move(body_budget)) {}

  EventLoop& loop;
  tcp::acceptor acceptor;
  HttpServerLimits limits;
  const Handler handler;
  const BodyBudgetPtr budget;  // may be null
  bool close_after_response = false;
  bool closed = false;
  std::size_t active = 0;
  std::set<Session*> sessions;
  std::unique_ptr<TimerSubscription> accept_retry;
};

class HttpServer::Session final : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<Data> data, tcp::socket socket)
      : data_(std::move(data)),
        socket_(std::move(socket)),
        limits_(data_->limits) {
    data_->sessions.insert(this);
  }
  ~Session() { data_->sessions.erase(this); }

  void Start() {
    idle_since_ = data_->loop.Now();
    SetTimer(limits_.idle_timeout);
    Read();
  }
  bool idle() const {
    return state_ == State::kIdle && buffer_.size() == 0 && out_.empty() &&
           writing_.empty();
  }
  TimePoint idle_since() const { return idle_since_; }
  // Closes at once and reports the disconnect to the exchange.
  void Close();

 private:
  class Exchange;
  enum class State { kIdle, kHeader, kBody, kBusy, kLingering, kClosed };

  void Read();
  void WatchForClose();
  void OnRead(const ErrorCode& error, std::size_t bytes);
  void Parse();
  void StartRequest();
  void RefuseAndClose(int status);
  void LogBodyRejection();
  void Dispatch();
  void SetTimer(Millis timeout);
  void OnTimeout();
  void Send(std::string bytes);
  void Flush();
  void OnWritten(const ErrorCode& error, std::size_t bytes);
  void OnResponseFinished(bool keep_alive);
  void Linger();

  std::shared_ptr<Data> data_;
  tcp::socket socket_;
  const HttpServerLimits limits_;
  State state_ = State::kIdle;
  TimePoint idle_since_{};
  TimePoint discard_until_{};  // the rest of a rejected body
  boost::beast::flat_buffer buffer_;
  bool reading_ = false;
  std::unique_ptr<RequestParser> parser_;
  std::unique_ptr<TimerSubscription> timer_;
  std::unique_ptr<TimerSubscription> close_check_;
  std::deque<std::string> out_;
  std::deque<std::string> writing_;
  std::size_t unsent_ = 0;
  bool close_when_written_ = false;
  std::weak_ptr<Exchange> exchange_;
};

class HttpServer::Session::Exchange final : public HttpExchange {
 public:
  Exchange(std::shared_ptr<Session> session,
           HttpRequest request,
           TimePoint received_at,
           bool keep_alive)
      : session_(std::move(session)),
        request_(std::move(request)),
        received_at_(received_at),
        keep_alive_(keep_alive) {
    ++session_->data_->active;
  }
  ~Exchange() override { Abort(); }

  const HttpRequest& request() const override { return request_; }
  TimePoint received_at() const override { return received_at_; }
  std::size_t unsent_bytes() const override {
    return session_ ? session_->unsent_ : 0;
  }

  void Respond(const HttpResponse& response) override {
    if (!session_ || started_)
      return;
    started_ = true;
    const bool close = ShouldClose();
    const bool has_no_body = response.head.status == 204 ||
                             response.head.status == 304 ||
                             response.head.status < 200;
    std::string text = SerializeResponseHead(
        response.head, has_no_body ? BodyFraming::kNone : BodyFraming::kLength,
        response.body.size(), close);
    if (!has_no_body && request_.method != "HEAD")
      text += response.body;
    session_->Send(std::move(text));
    End(!close);
  }

  void StartResponse(const HttpResponseHead& head) override {
    if (!session_ || started_)
      return;
    started_ = true;
    close_after_ = ShouldClose();
    session_->Send(
        SerializeResponseHead(head, BodyFraming::kChunked, 0, close_after_));
  }

  void Write(std::string_view bytes) override {
    if (session_ && !bytes.empty())
      session_->Send(SerializeChunk(bytes));
  }

  void FinishResponse() override {
    if (!session_)
      return;
    session_->Send(std::string(kLastChunk));
    End(!close_after_);
  }

  void Abort() override {
    if (!session_)
      return;
    const auto session = Detach();
    session->Close();
  }

  bool IsCallerThere() override {
    return session_ && !HasPeerClosed(session_->socket_);
  }
  void OnCallerGone(std::function<void()> handler) override {
    on_caller_gone_ = std::move(handler);
  }
  void OnDrained(std::function<void()> handler) override {
    on_drained_ = std::move(handler);
  }

  void NotifyDisconnected() {
    if (!session_)
      return;
    Detach();
    if (const auto handler = std::exchange(on_caller_gone_, nullptr))
      handler();
  }
  void NotifyDrained() {
    if (session_ && on_drained_)
      on_drained_();
  }

 private:
  bool ShouldClose() const {
    return !keep_alive_ || session_->data_->close_after_response;
  }
  std::shared_ptr<Session> Detach() {
    --session_->data_->active;
    return std::exchange(session_, nullptr);
  }
  void End(bool keep_alive) { Detach()->OnResponseFinished(keep_alive); }

  std::shared_ptr<Session> session_;  // null once the response has ended
  const HttpRequest request_;
  const TimePoint received_at_;
  const bool keep_alive_;
  bool started_ = false;
  bool close_after_ = false;
  std::function<void()> on_caller_gone_;
  std::function<void()> on_drained_;
};

void HttpServer::Session::SetTimer(Millis timeout) {
  timer_ = data_->loop.After(timeout, [weak = weak_from_this()](TimePoint) {
    if (const auto self = weak.lock())
      self->OnTimeout();
  });
}

void HttpServer::Session::OnTimeout() {
  if (state_ == State::kHeader || state_ == State::kBody) {
    RefuseAndClose(408);
  } else {
    Close();
  }
}

void HttpServer::Session::Read() {
  if (reading_ || state_ == State::kClosed)
    return;
  if (state_ == State::kBusy && buffer_.size() >= kMaxPipelinedBytes) {
    WatchForClose();
    return;
  }
  close_check_.reset();
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const ErrorCode& error, std::size_t bytes) {
        self->reading_ = false;
        self->OnRead(error, bytes);
      });
}

// Nothing is read, so that no read can end.
void HttpServer::Session::WatchForClose() {
  close_check_ = data_->loop.Every(kCloseCheckInterval,
                                   [weak = weak_from_this()](TimePoint) {
                                     const auto self = weak.lock();
                                     if (self && HasPeerClosed(self->socket_))
                                       self->Close();
                                   });
}

void HttpServer::Session::OnRead(const ErrorCode& error, std::size_t bytes) {
  if (state_ == State::kClosed)
    return;
  if (error) {
    Close();
    return;
  }
  if (state_ == State::kLingering) {
    if (data_->loop.Now() < discard_until_)
      SetTimer(kLingerTime);
    Read();
    return;
  }
  buffer_.commit(bytes);
  Parse();
  Read();
}

void HttpServer::Session::Parse() {
  while (buffer_.size() > 0 &&
         (state_ == State::kIdle || state_ == State::kHeader ||
          state_ == State::kBody)) {
    if (state_ == State::kIdle)
      StartRequest();
    ErrorCode error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more) {
      RefuseAndClose(StatusOfParseError(error));
      return;
    }
    if (state_ == State::kHeader && parser_->is_header_done()) {
      state_ = State::kBody;
      SetTimer(limits_.body_timeout);
      if (parser_->content_length_remaining().value_or(0) >
          limits_.max_body_bytes) {
        RefuseAndClose(413);
        return;
      }
      ErrorCode no_room;
      parser_->PrepareBody(no_room);
      if (no_room) {
        RefuseAndClose(StatusOfParseError(no_room));
        return;
      }
      if (parser_->expects_continue() && !parser_->is_done())
        Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (parser_->is_done()) {
      Dispatch();
    } else if (used == 0) {
      break;  // needs more bytes
    }
  }
  // The parser waits for the end of a line, which it limits in heads only.
  if (state_ == State::kBody && buffer_.size() > limits_.max_header_bytes)
    RefuseAndClose(400);
}

void HttpServer::Session::StartRequest() {
  state_ = State::kHeader;
  parser_ = std::make_unique<RequestParser>(
      limits_.max_header_bytes, limits_.max_body_bytes, data_->budget);
  SetTimer(limits_.header_timeout);
}

void HttpServer::Session::Dispatch() {
  state_ = State::kBusy;
  timer_.reset();
  const bool keep_alive = parser_->keep_alive();
  const auto exchange = std::make_shared<Exchange>(
      shared_from_this(), std::move(parser_->request()), data_->loop.Now(),
      keep_alive);
  parser_.reset();
  exchange_ = exchange;
  data_->handler(exchange);
}

void HttpServer::Session::RefuseAndClose(int status) {
  LogLine("http.refused").Add("status", status).Debug();
  HttpResponse response = MakeResponse(status, "", "");
  if (parser_ && parser_->rejected_body_bytes() > 0) {
    LogBodyRejection();
    response.head.fields.Add("Retry-After", kRetryAfterSeconds);
  }
  if (status == 413 || status == 503)
    discard_until_ = data_->loop.Now() + limits_.body_timeout;
  Send(SerializeResponseHead(response.head, BodyFraming::kLength, 0, true));
  Linger();
}

void HttpServer::Session::LogBodyRejection() {
  const std::size_t bytes = parser_->rejected_body_bytes();
  const BodyBudget& budget = *data_->budget;
  LogLine("http.body_rejected")
      .Add("reason",
           budget.CanEverHold(bytes) ? "no_room" : "larger_than_budget")
      .Add("bytes", std::uint64_t{bytes})
      .Add("reserved", std::uint64_t{budget.reserved_bytes()})
      .Add("budget", std::uint64_t{budget.bytes()})
      .Warn();
}

void HttpServer::Session::OnResponseFinished(bool keep_alive) {
  if (state_ == State::kClosed)
    return;
  exchange_.reset();
  if (!keep_alive) {
    Linger();
    return;
  }
  state_ = State::kIdle;
  idle_since_ = data_->loop.Now();
  SetTimer(limits_.idle_timeout);
  // Posted, as the handler may respond synchronously.
  data_->loop.Post([self = shared_from_this()] {
    self->Parse();
    self->Read();
  });
}

void HttpServer::Session::Linger() {
  state_ = State::kLingering;
  parser_.reset();
  SetTimer(kLingerTime);
  if (out_.empty() && writing_.empty()) {
    ErrorCode ignored;  // the peer may already have closed
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  } else {
    close_when_written_ = true;
  }
  Read();
}

void HttpServer::Session::Close() {
  if (state_ == State::kClosed)
    return;
  const auto self = shared_from_this();
  state_ = State::kClosed;
  timer_.reset();
  close_check_.reset();
  ErrorCode ignored;  // a failed close can't be handled
  socket_.close(ignored);
  if (const auto exchange = exchange_.lock())
    exchange->NotifyDisconnected();
}

void HttpServer::Session::Send(std::string bytes) {
  if (state_ == State::kClosed)
    return;
  unsent_ += bytes.size();
  out_.push_back(std::move(bytes));
  Flush();
}

void HttpServer::Session::Flush() {
  if (!writing_.empty() || out_.empty() || state_ == State::kClosed)
    return;
  writing_.swap(out_);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const std::string& bytes : writing_)
    buffers.push_back(asio::buffer(bytes));
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const ErrorCode& error, std::size_t bytes) {
        self->OnWritten(error, bytes);
      });
}

void HttpServer::Session::OnWritten(const ErrorCode& error, std::size_t bytes) {
  writing_.clear();
  if (error || state_ == State::kClosed) {
    Close();
    return;
  }
  unsent_ -= std::min(unsent_, bytes);
  Flush();
  if (!writing_.empty())
    return;
  if (close_when_written_) {
    ErrorCode ignored;  // the peer may already have closed
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  if (const auto exchange = exchange_.lock())
    exchange->NotifyDrained();
}

HttpServer::HttpServer(std::shared_ptr<Data> data) : data_(std::move(data)) {}

HttpServer::~HttpServer() {
  data_->closed = true;
  ErrorCode ignored;  // a failed close can't be handled
  data_->acceptor.close(ignored);
  std::vector<std::shared_ptr<Session>> sessions;
  for (Session* session : data_->sessions)
    sessions.push_back(session->shared_from_this());
  for (const auto& session : sessions)
    session->Close();
}

Result<std::unique_ptr<HttpServer>, NetError> HttpServer::Listen(
    EventLoop& loop,
    const settings::Endpoint& address,
    HttpServerLimits limits,
    Handler handler,
    BodyBudgetPtr budget) {
  auto data = std::make_shared<Data>(loop, limits, std::move(handler),
                                     std::move(budget));
  ErrorCode error;
  const tcp::endpoint endpoint(asio::ip::make_address(address.address, error),
                               static_cast<unsigned short>(address.port));
  if (!error)
    data->acceptor.open(endpoint.protocol(), error);
  if (!error)
    data->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    data->acceptor.bind(endpoint, error);
  if (!error)
    data->acceptor.listen(kBacklog, error);
  if (error) {
    return Fail(NetError{NetErrorCode::kCannotListen,
                         address.ToString() + ": " + error.message()});
  }
  Accept(data);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(data)));
}

void HttpServer::Accept(const std::shared_ptr<Data>& data) {
  data->acceptor.async_accept(
      [data](const ErrorCode& error, tcp::socket socket) {
        if (data->closed || !data->acceptor.is_open())
          return;
        if (error) {
          LogLine("http.accept_failed").Add("reason", error.message()).Warn();
          data->accept_retry = data->loop.After(
              kAcceptRetryDelay, [data](TimePoint) { Accept(data); });
          return;
        }
        const HttpServerLimits& limits = data->limits;
        const bool has_room =
            data->sessions.size() < limits.max_connections ||
            (limits.closes_idle_when_full && CloseLongestIdle(*data));
        if (has_room) {
          SetConnectionOptions(socket);
          std::make_shared<Session>(data, std::move(socket))->Start();
        } else {
          LogLine("http.connection_refused")
              .Add("connections", std::uint64_t{data->sessions.size()})
              .Warn();
        }
        Accept(data);
      });
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  data_->limits = limits;
}

void HttpServer::DisableKeepAlive() {
  data_->close_after_response = true;
}

void HttpServer::CloseIdle(Millis min_idle) {
  const TimePoint since = data_->loop.Now() - min_idle;
  std::vector<std::shared_ptr<Session>> idle;
  for (Session* session : data_->sessions) {
    if (session->idle() && session->idle_since() <= since)
      idle.push_back(session->shared_from_this());
  }
  for (const auto& session : idle)
    session->Close();
}

bool HttpServer::CloseLongestIdle(Data& data) {
  Session* longest = nullptr;
  for (Session* session : data.sessions) {
    if (session->idle() &&
        (longest == nullptr || session->idle_since() < longest->idle_since())) {
      longest = session;
    }
  }
  if (longest == nullptr)
    return false;
  longest->shared_from_this()->Close();
  return true;
}

void HttpServer::StopAccepting() {
  ErrorCode ignored;  // the acceptor may already be closed
  data_->acceptor.close(ignored);
}

int HttpServer::port() const {
  ErrorCode error;
  return data_->acceptor.local_endpoint(error).port();
}

std::size_t HttpServer::connections() const {
  return data_->sessions.size();
}

std::size_t HttpServer::active() const {
  return data_->active;
}

}  // namespace endivecart::net
