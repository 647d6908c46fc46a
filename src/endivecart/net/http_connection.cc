#include "endivecart/net/http_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <charconv>
#include <optional>

#include "endivecart/net/socket_options.h"

namespace endivecart::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 16UL << 10;
// The kernel keeps no more unread input of an upstream than this.
constexpr int kReceiveBufferBytes = 32 << 10;
constexpr std::string_view kTimeoutParameter = "timeout=";
// An idle connection is closed after this fraction of the server's idle
// timeout, so that a request isn't sent while the server closes it.
constexpr double kIdleTimeoutFraction = 0.6;

// Returns the idle timeout announced in Keep-Alive, or nullopt if there is
// none.
std::optional<Millis> KeepAliveTimeout(const HttpFields& fields) {
  const auto value = fields.Find("Keep-Alive");
  if (!value)
    return std::nullopt;
  const auto at = value->find(kTimeoutParameter);
  if (at == std::string_view::npos)
    return std::nullopt;
  const std::string_view digits = value->substr(at + kTimeoutParameter.size());
  long seconds = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0)
    return std::nullopt;
  return Millis(seconds * 1000);
}

// Returns for how long an idle connection may be used.
Millis UsableTimeOf(Millis idle_timeout) {
  return Millis(static_cast<Millis::rep>(
      static_cast<double>(idle_timeout.count()) * kIdleTimeoutFraction));
}

}  // namespace

std::shared_ptr<HttpConnection> HttpConnectionPool::PopIdle(
    const std::string& address,
    TimePoint since,
    std::string_view id) {
  const auto it = addresses.find(address);
  if (it == addresses.end())
    return nullptr;
  auto& idle = it->second.idle;
  const auto found = std::find_if(
      idle.rbegin(), idle.rend(),
      [id](const auto& connection) { return connection->MayCarry(id); });
  if (found == idle.rend() || (*found)->idle_since() < since)
    return nullptr;
  auto connection = *found;
  idle.erase(std::next(found).base());
  return connection;
}

void HttpConnection::CountClosed() {
  if (std::exchange(counted_closed_, true))
    return;
  const auto it = pool_->addresses.find(address_);
  if (it == pool_->addresses.end())
    return;
  if (--it->second.open == 0 && it->second.idle.empty())
    pool_->addresses.erase(it);
}

void HttpConnection::Connect(const settings::Endpoint& to, Millis timeout) {
  ErrorCode error;
  const tcp::endpoint endpoint(asio::ip::make_address(to.address, error),
                               static_cast<unsigned short>(to.port));
  if (!error)
    socket_.open(endpoint.protocol(), error);
  if (!error)
    SetReceiveBuffer(socket_, kReceiveBufferBytes);
  if (error) {
    pool_->loop.Post(
        [self = shared_from_this(), error] { self->OnConnected(error); });
    return;
  }
  timer_ = pool_->loop.After(timeout, [weak = weak_from_this()](TimePoint) {
    if (const auto self = weak.lock())
      self->OnConnected(asio::error::timed_out);
  });
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](const ErrorCode& result) {
                          self->OnConnected(result);
                        });
}

void HttpConnection::OnConnected(const ErrorCode& error) {
  if (closed_ || connected_)
    return;
  timer_.reset();
  const auto on_preconnected = std::exchange(on_preconnected_, nullptr);
  if (error && on_preconnected) {
    Close();
    on_preconnected(false);
    return;
  }
  if (error) {
    End(CallResult::kNotSent);
    return;
  }
  connected_ = true;
  SetConnectionOptions(socket_);
  if (on_preconnected) {
    idle_timeout_ = UsableTimeOf(pool_->limits.idle_timeout);
    ReturnToPool();
    on_preconnected(true);
    return;
  }
  WriteRequest();
  Read();
}

void HttpConnection::Preconnect(const settings::Endpoint& to,
                                Millis timeout,
                                std::function<void(bool)> done) {
  on_preconnected_ = std::move(done);
  Connect(to, timeout);
}

void HttpConnection::SendRequest(CallSink* call,
                                 const HttpRequest& request,
                                 const CallIdentity& identity) {
  reader_.Begin(call, request.method == "HEAD", identity);
  head_text_ = SerializeRequestHead(request);
  body_ = request.body;
  has_sent_bytes_ = false;
  write_failed_ = false;
  paused_ = false;
  if (connected_) {
    WriteRequest();
    Read();
  }
}

void HttpConnection::WriteRequest() {
  writing_ = true;
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head_text_),
                                                     asio::buffer(body_.str())};
  // A small request is written synchronously, so that it is known at once
  // whether any byte was sent.
  ErrorCode error;
  socket_.non_blocking(true, error);
  const std::size_t sent = error ? 0 : socket_.write_some(buffers, error);
  if (error == asio::error::would_block)
    error = {};
  has_sent_bytes_ = sent > 0;
  const std::size_t total = head_text_.size() + body_.size();
  if (error || sent == total) {
    pool_->loop.Post([self = shared_from_this(), error, sent] {
      self->OnRequestWritten(error, sent);
    });
    return;
  }
  has_sent_bytes_ = true;
  const std::size_t head_sent = std::min(sent, head_text_.size());
  const std::array<asio::const_buffer, 2> rest = {
      buffers[0] + head_sent, buffers[1] + (sent - head_sent)};
  asio::async_write(
      socket_, rest,
      [self = shared_from_this()](const ErrorCode& result, std::size_t bytes) {
        self->OnRequestWritten(result, bytes);
      });
}

void HttpConnection::OnRequestWritten(const ErrorCode& error, std::size_t) {
  writing_ = false;
  if (closed_)
    return;
  if (error && !has_sent_bytes_) {
    End(CallResult::kNotSent);
    return;
  }
  write_failed_ = bool(error);
  if (!error) {
    head_text_.clear();
    body_ = Body();
  }
  if (input_ended_) {
    OnEndOfStream();
  } else {
    // After an error a response may already be buffered; the read path reports
    // the result.
    FinishIfComplete();
  }
}

void HttpConnection::Read() {
  // What follows a complete response belongs to no request.
  const bool awaits_response =
      reader_.sink() != nullptr && !reader_.is_complete();
  if (reading_ || closed_ || paused_ || input_ended_ || !awaits_response)
    return;
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const ErrorCode& error, std::size_t bytes) {
        self->reading_ = false;
        self->OnRead(error, bytes);
      });
}

void HttpConnection::OnRead(const ErrorCode& error, std::size_t bytes) {
  if (closed_)
    return;
  if (error == asio::error::eof) {
    OnEndOfStream();
    return;
  }
  if (error) {
    End(CallResult::kBroken);
    return;
  }
  buffer_.commit(bytes);
  const auto self = shared_from_this();
  const std::size_t extra_before = reader_.extra_responses();
  reader_.Read(buffer_);
  pool_->extra_responses += reader_.extra_responses() - extra_before;
  if (reader_.is_malformed()) {
    End(CallResult::kMalformedResponse);
    return;
  }
  FinishIfComplete();
  Read();
}

void HttpConnection::OnEndOfStream() {
  input_ended_ = true;
  // A socket reports a reset once: if to the write, then the next read shows an
  // orderly end. So the end of a response is judged after the write's.
  if (writing_)
    return;
  const bool is_complete = !write_failed_ && reader_.ReadEnd();
  End(is_complete ? CallResult::kComplete : CallResult::kBroken);
}

void HttpConnection::FinishIfComplete() {
  // The connection can't be reused until the request is completely written.
  if (reader_.is_complete() && !writing_ && reader_.sink() != nullptr)
    End(CallResult::kComplete);
}

void HttpConnection::End(CallResult result) {
  const auto self = shared_from_this();
  CallSink* const call = reader_.Detach();
  // Surplus bytes after the response belong to no request.
  if (result == CallResult::kComplete && reader_.may_continue() &&
      !write_failed_ && !input_ended_ && buffer_.size() == 0) {
    idle_timeout_ = UsableTimeOf(KeepAliveTimeout(reader_.fields())
                                     .value_or(pool_->limits.idle_timeout));
    ReturnToPool();
  } else {
    Close();
  }
  if (call != nullptr)
    call->OnEnd(result);
}

void HttpConnection::ReturnToPool() {
  auto& idle = pool_->addresses[address_].idle;
  if (pool_->closed || idle_timeout_ <= Millis(0) ||
      idle.size() >= pool_->limits.max_idle_per_address) {
    Close();
    return;
  }
  idle_since_ = pool_->loop.Now();
  reader_.Reset();
  idle.push_back(shared_from_this());
  timer_ =
      pool_->loop.After(idle_timeout_, [weak = weak_from_this()](TimePoint) {
        if (const auto self = weak.lock();
            self && self->reader_.sink() == nullptr) {
          self->Close();
        }
      });
  WatchIdle();
}

void HttpConnection::WatchIdle() {
  if (std::exchange(watching_, true))
    return;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const ErrorCode&) {
                       self->watching_ = false;
                       self->OnIdleReadable();
                     });
}

void HttpConnection::OnIdleReadable() {
  if (closed_ || reader_.sink() != nullptr)
    return;
  // The cause may be a response that was read since.
  if (IsReusable()) {
    WatchIdle();
  } else {
    Close();
  }
}

void HttpConnection::Cancel() {
  reader_.Detach();
  Close();
}

void HttpConnection::Close() {
  if (std::exchange(closed_, true))
    return;
  const auto self = shared_from_this();
  timer_.reset();
  ErrorCode ignored;  // a failed close can't be handled
  // Otherwise the kernel would go on sending the rest of the request, which may
  // arrive long after it has been repeated elsewhere.
  const bool is_under_way =
      has_sent_bytes_ && (!reader_.is_complete() || writing_);
  if (is_under_way)
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  const auto it = pool_->addresses.find(address_);
  if (it != pool_->addresses.end())
    std::erase(it->second.idle, self);
  CountClosed();
}

bool HttpConnection::IsReusable() {
  char byte = 0;
  const auto got = ::recv(socket_.native_handle(), &byte, sizeof byte,
                          MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::SetPaused(bool paused) {
  paused_ = paused;
  if (connected_ && !paused)
    Read();
}

}  // namespace endivecart::net
