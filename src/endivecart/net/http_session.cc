#include "endivecart/net/http_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <utility>

#include "endivecart/net/http_exchange.h"
#include "endivecart/net/socket_options.h"

namespace endivecart::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

// Pipelined bytes that are buffered while a request is being handled.
constexpr std::size_t kMaxPipelinedBytes = 16UL << 10;
// Reads in a row on one connection, so that others get their turn.
constexpr int kMaxReads = 4;
// Interval of looking for a close while input isn't read. Well below the time
// in which work for a client that has left must end.
constexpr Millis kCloseCheckInterval{100};
// The session, its timer, and what the event loop and the kernel keep of it.
constexpr std::size_t kConnectionBytes = 4UL << 10;
// A request's fields exist in this many forms while it is served: as received,
// without those for the host only, as sent to the upstream, and as text.
constexpr std::size_t kCopiesOfFields = 4;

int StatusOfParseError(const ErrorCode& error) {
  if (error == http::error::header_limit)
    return 431;
  if (error == http::error::body_limit)
    return 413;
  if (error == boost::system::errc::not_enough_memory)
    return 503;
  return 400;
}

// The kernel may keep as much of a large body as is reserved for it, up to a
// limit that fills a link of 1 Gbit/s at a round-trip time of 1 ms.
int LargeReceiveBuffer(std::uint64_t length) {
  constexpr std::uint64_t kMaxBytes = 128UL << 10;
  return static_cast<int>(std::min(length, kMaxBytes));
}

}  // namespace

std::optional<std::uint64_t> HttpServerState::Count(const std::string& kind) {
  return (budget ? budget->log() : log).Count(kind, loop.Now());
}

void HttpServerState::Report(const std::string& kind) {
  if (const auto count = Count(kind)) {
    LogLine("http.clients_rejected")
        .Add("kind", kind)
        .Add("count", *count)
        .Add("connections", std::uint64_t{sessions.size()})
        .Warn();
  }
}

HttpSession::HttpSession(std::shared_ptr<HttpServerState> state,
                         tcp::socket socket)
    : server_(std::move(state)),
      socket_(std::move(socket)),
      address_(server_->peer.address().to_string()),
      number_(++server_->accepted),
      limits_(server_->limits) {
  server_->sessions.insert(this);
  if (server_->budget)
    server_->budget->Add(this);
}

HttpSession::~HttpSession() {
  server_->sessions.erase(this);
  if (server_->budget)
    server_->budget->Remove(this);
}

void HttpSession::Start() {
  SetStage(Stage::kIdle);
  if (!UpdateHeld()) {
    server_->Report("no_room_for_connection");
    Close();
    return;
  }
  SetTimer(limits_.idle_timeout);
  Read();
}

void HttpSession::SetStage(Stage stage) {
  stage_ = stage;
  stage_since_ = server_->loop.Now();
}

void HttpSession::SetTimer(Millis timeout) {
  timer_ = server_->loop.After(timeout, [weak = weak_from_this()](TimePoint) {
    if (const auto self = weak.lock())
      self->OnTimeout();
  });
}

void HttpSession::OnTimeout() {
  if (stage_ == Stage::kHeader || stage_ == Stage::kBody) {
    server_->Report(stage_ == Stage::kHeader ? "header_timeout"
                                             : "body_timeout");
    RefuseAndClose(408);
  } else if (unsent_ > 0 &&
             server_->loop.Now() - write_progress_at_ < limits_.idle_timeout) {
    SetTimer(kLingerTime);  // the client reads slowly
  } else {
    Close();
  }
}

bool HttpSession::UpdateHeld() {
  if (!server_->budget || stage_ == Stage::kClosed)
    return stage_ != Stage::kClosed;
  if (parser_ && parser_->request().fields.all().size() != counted_fields_) {
    const HttpFields& fields = parser_->request().fields;
    counted_fields_ = fields.all().size();
    request_bytes_ = kCopiesOfFields * fields.MemoryBytes();
  }
  const std::size_t bytes = kConnectionBytes + buffer_.capacity() +
                            request_bytes_ +
                            (close_check_ ? kReceiveBufferBytes : 0);
  if (bytes == held_.bytes())
    return true;
  const bool was_in_use = std::exchange(in_use_, true);
  const bool has_room =
      server_->budget->TryResize(held_, HeldKind::kRequests, bytes);
  in_use_ = was_in_use;
  return has_room;
}

bool HttpSession::TryHoldAnswer(std::size_t bytes) {
  return !server_->budget ||
         server_->budget->TryResize(held_answer_, HeldKind::kAnswers, bytes);
}

bool HttpSession::HasPeerClosed() {
  return net::HasPeerClosed(socket_);
}

void HttpSession::Read() {
  if (reading_ || stage_ == Stage::kClosed)
    return;
  const bool is_waiting = stage_ == Stage::kBusy || unsent_ > 0;
  if (is_waiting && stage_ != Stage::kLingering &&
      buffer_.size() >= kMaxPipelinedBytes) {
    WatchForClose();
    return;
  }
  close_check_.reset();
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const ErrorCode& error) {
                       self->reading_ = false;
                       if (error) {
                         self->Close();
                       } else {
                         self->OnReadable();
                       }
                     });
}

// Nothing is read, so that no read can end.
void HttpSession::WatchForClose() {
  if (close_check_)
    return;
  close_check_ = server_->loop.Every(kCloseCheckInterval,
                                     [weak = weak_from_this()](TimePoint) {
                                       const auto self = weak.lock();
                                       if (self && self->HasPeerClosed())
                                         self->Close();
                                     });
  if (!UpdateHeld()) {
    server_->Report("no_room_for_pipelined_input");
    Close();
  }
}

void HttpSession::OnReadable() {
  for (int i = 0; i < kMaxReads && ReadOnce(); ++i) {
  }
  Read();
}

bool HttpSession::ReadOnce() {
  if (stage_ == Stage::kClosed)
    return false;
  auto& bytes = server_->read_buffer;
  // Without a wait that asio would add.
  const auto got =
      ::recv(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return false;
  if (got <= 0) {
    Close();
    return false;
  }
  const auto count = static_cast<std::size_t>(got);
  if (stage_ == Stage::kLingering) {
    Discard(count);
    return count == bytes.size();
  }
  asio::buffer_copy(buffer_.prepare(count), asio::buffer(bytes), count);
  buffer_.commit(count);
  Parse();
  return count == bytes.size() && buffer_.size() < kMaxPipelinedBytes;
}

void HttpSession::Discard(std::size_t bytes) {
  if (bytes > discard_bytes_) {
    Close();
    return;
  }
  discard_bytes_ -= bytes;
  if (server_->loop.Now() < discard_until_)
    SetTimer(kLingerTime);
}

void HttpSession::Parse() {
  while (buffer_.size() > 0 &&
         ((stage_ == Stage::kIdle && unsent_ == 0) ||
          stage_ == Stage::kHeader || stage_ == Stage::kBody)) {
    if (stage_ == Stage::kIdle)
      StartRequest();
    ErrorCode error;
    in_use_ = true;
    const std::size_t used = parser_->put(buffer_.data(), error);
    in_use_ = false;
    buffer_.consume(used);
    if (error && error != http::error::need_more) {
      RefuseAndClose(StatusOfParseError(error));
      return;
    }
    if (stage_ == Stage::kHeader && parser_->is_header_done())
      OnHeader();
    if (stage_ != Stage::kHeader && stage_ != Stage::kBody)
      return;  // rejected
    if (parser_->is_done()) {
      Dispatch();
    } else if (used == 0) {
      break;  // needs more bytes
    }
  }
  if (buffer_.size() == 0)
    buffer_.shrink_to_fit();
  // The parser waits for the end of a line, which it limits in heads only.
  if (stage_ == Stage::kBody && buffer_.size() > limits_.max_header_bytes) {
    RefuseAndClose(400);
  } else if (stage_ != Stage::kClosed && stage_ != Stage::kLingering &&
             !UpdateHeld()) {
    RefuseForRoom();
  }
}

void HttpSession::StartRequest() {
  SetStage(Stage::kHeader);
  counted_fields_ = 0;
  parser_ = std::make_unique<RequestParser>(
      limits_.max_header_bytes, limits_.max_body_bytes, server_->budget);
  SetTimer(limits_.header_timeout);
}

void HttpSession::OnHeader() {
  stage_ = Stage::kBody;
  const std::uint64_t length = parser_->content_length_remaining().value_or(0);
  SetTimer(BodyTimeout(length));
  if (length > limits_.max_body_bytes) {
    RefuseAndClose(413);
    return;
  }
  ErrorCode no_room;
  in_use_ = true;
  parser_->PrepareBody(no_room);
  in_use_ = false;
  if (no_room) {
    RefuseAndClose(StatusOfParseError(no_room));
    return;
  }
  if (!UpdateHeld()) {
    RefuseForRoom();
    return;
  }
  if (server_->budget && length > ConnectionBudget::kMaxSmallBytes)
    SetReceiveBuffer(socket_, LargeReceiveBuffer(length));
  if (parser_->expects_continue() && !parser_->is_done())
    Send("HTTP/1.1 100 Continue\r\n\r\n");
}

Millis HttpSession::BodyTimeout(std::uint64_t length) const {
  if (limits_.min_body_bytes_per_s == 0)
    return limits_.body_timeout;
  const std::uint64_t bytes =
      parser_->chunked() ? limits_.max_body_bytes : length;
  constexpr std::uint64_t kMillisPerSecond = 1000;
  return std::max(limits_.body_timeout, Millis(kMillisPerSecond * bytes /
                                               limits_.min_body_bytes_per_s));
}

void HttpSession::Dispatch() {
  SetStage(Stage::kBusy);
  timer_.reset();
  const bool keep_alive = parser_->keep_alive();
  const auto exchange = std::make_shared<HttpServerExchange>(
      shared_from_this(), std::move(parser_->request()), server_->loop.Now(),
      keep_alive);
  parser_.reset();
  exchange_ = exchange;
  server_->handler(exchange);
}

}  // namespace endivecart::net
