#include "endivecart/net/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <charconv>
#include <map>
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
constexpr std::string_view kTimeoutParameter = "timeout=";
// A connection is given up this share of its server's idle timeout early, so
// that a request doesn't cross the server's close.
constexpr double kIdleShare = 0.6;

// The idle timeout that the answer announces, if it does.
std::optional<Millis> AnnouncedIdleTimeout(const HttpFields& fields) {
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

}  // namespace

std::string_view CallEndName(CallEnd end) {
  switch (end) {
    case CallEnd::kComplete:
      return "complete";
    case CallEnd::kNotSent:
      return "not_sent";
    case CallEnd::kBroken:
      return "broken";
    case CallEnd::kBadAnswer:
      return "bad_answer";
  }
  return "";
}

struct HttpClient::Pool {
  Pool(EventLoop& event_loop, HttpClientLimits client_limits)
      : loop(event_loop), limits(client_limits) {}

  struct Address {
    std::vector<std::shared_ptr<Connection>> idle;  // oldest use first
    std::size_t open = 0;
  };

  // The idle connection that was used last, if it was used after `since`.
  std::shared_ptr<Connection> TakeIdle(const std::string& address,
                                       TimePoint since);

  EventLoop& loop;
  const HttpClientLimits limits;
  bool closed = false;
  std::map<std::string, Address> addresses;
};

// One connection; carries one call at a time.
class HttpClient::Connection final
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Pool> pool, std::string address)
      : pool_(std::move(pool)),
        address_(std::move(address)),
        socket_(pool_->loop.context()) {
    ++pool_->addresses[address_].open;
  }
  ~Connection() { CountClosed(); }

  void Connect(const settings::Endpoint& to, Millis timeout);
  void Carry(Call* call, const HttpRequest& request);
  // The call no longer wants its answer.
  void Drop();
  void Close();
  void SetPaused(bool paused);

  TimePoint idle_since() const { return idle_since_; }
  bool request_bytes_out() const { return request_bytes_out_; }
  // Whether an idle connection has neither ended nor received anything.
  bool IsQuiet();

 private:
  void OnConnected(const ErrorCode& error);
  void WriteRequest();
  void OnRequestWritten(const ErrorCode& error, std::size_t bytes);
  void Read();
  void OnRead(const ErrorCode& error, std::size_t bytes);
  void Parse();
  void OnEndOfStream();
  void ResetParser();
  void FinishIfDone();
  void End(CallEnd end);
  void BecomeIdle();
  void CountClosed();

  std::shared_ptr<Pool> pool_;
  const std::string address_;
  tcp::socket socket_;
  std::unique_ptr<TimerSubscription> timer_;
  bool connected_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool counted_closed_ = false;
  Call* call_ = nullptr;
  bool is_head_ = false;
  std::string head_text_;
  std::string body_;
  bool writing_ = false;
  bool request_bytes_out_ = false;
  bool answer_done_ = false;
  bool keep_ = false;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<AnswerParser> parser_;
  TimePoint idle_since_{};
  Millis idle_timeout_{};
};

class HttpClient::Call final : public HttpCall {
 public:
  explicit Call(CallHooks hooks)
      : hooks_(std::make_shared<const CallHooks>(std::move(hooks))) {}
  ~Call() override {
    if (connection_)
      std::exchange(connection_, nullptr)->Drop();
  }

  void Attach(std::shared_ptr<Connection> connection, bool opened) {
    connection_ = std::move(connection);
    opened_ = opened;
  }
  void SetPaused(bool paused) override {
    if (connection_)
      connection_->SetPaused(paused);
  }
  bool may_have_been_sent() const override {
    return connection_ ? connection_->request_bytes_out() : sent_;
  }
  bool opened_connection() const override { return opened_; }

  // Each hook may destroy this call.
  void OnHead(const HttpResponseHead& head) {
    const auto hooks = hooks_;
    hooks->on_head(head);
  }
  void OnBody(std::string_view bytes) {
    const auto hooks = hooks_;
    hooks->on_body(bytes);
  }
  void OnEnd(CallEnd end) {
    const auto hooks = hooks_;
    sent_ = connection_->request_bytes_out();
    connection_ = nullptr;
    hooks->on_end(end);
  }

 private:
  const std::shared_ptr<const CallHooks> hooks_;
  std::shared_ptr<Connection> connection_;
  bool opened_ = false;
  bool sent_ = false;
};

std::shared_ptr<HttpClient::Connection> HttpClient::Pool::TakeIdle(
    const std::string& address,
    TimePoint since) {
  const auto it = addresses.find(address);
  if (it == addresses.end() || it->second.idle.empty() ||
      it->second.idle.back()->idle_since() < since) {
    return nullptr;
  }
  auto connection = it->second.idle.back();
  it->second.idle.pop_back();
  return connection;
}

void HttpClient::Connection::CountClosed() {
  if (std::exchange(counted_closed_, true))
    return;
  const auto it = pool_->addresses.find(address_);
  if (it == pool_->addresses.end())
    return;
  if (--it->second.open == 0 && it->second.idle.empty())
    pool_->addresses.erase(it);
}

void HttpClient::Connection::Connect(const settings::Endpoint& to,
                                     Millis timeout) {
  ErrorCode error;
  const tcp::endpoint endpoint(asio::ip::make_address(to.address, error),
                               static_cast<unsigned short>(to.port));
  if (!error)
    socket_.open(endpoint.protocol(), error);
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

void HttpClient::Connection::OnConnected(const ErrorCode& error) {
  if (closed_ || connected_)
    return;
  timer_.reset();
  if (error) {
    End(CallEnd::kNotSent);
    return;
  }
  connected_ = true;
  SetConnectionOptions(socket_);
  WriteRequest();
  Read();
}

void HttpClient::Connection::Carry(Call* call, const HttpRequest& request) {
  call_ = call;
  is_head_ = request.method == "HEAD";
  head_text_ = RequestHeadText(request);
  body_ = request.body;
  request_bytes_out_ = false;
  answer_done_ = false;
  keep_ = false;
  paused_ = false;
  ResetParser();
  if (connected_)
    WriteRequest();
}

void HttpClient::Connection::ResetParser() {
  parser_ = std::make_unique<AnswerParser>(
      is_head_, pool_->limits.max_answer_header_bytes,
      [this](const HttpResponseHead& head) {
        const bool interim = head.status < 200;
        if (call_ != nullptr && !interim)
          call_->OnHead(head);
      },
      [this](std::string_view bytes) {
        if (call_ != nullptr && !bytes.empty())
          call_->OnBody(bytes);
      });
}

void HttpClient::Connection::WriteRequest() {
  writing_ = true;
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head_text_),
                                                     asio::buffer(body_)};
  // A small request leaves at once; whether it did is known then.
  ErrorCode error;
  socket_.non_blocking(true, error);
  const std::size_t sent = error ? 0 : socket_.write_some(buffers, error);
  if (error == asio::error::would_block)
    error = {};
  request_bytes_out_ = sent > 0;
  const std::size_t total = head_text_.size() + body_.size();
  if (error || sent == total) {
    pool_->loop.Post([self = shared_from_this(), error, sent] {
      self->OnRequestWritten(error, sent);
    });
    return;
  }
  request_bytes_out_ = true;
  std::string rest = head_text_ + body_;
  rest.erase(0, sent);
  body_ = std::move(rest);
  asio::async_write(
      socket_, asio::buffer(body_),
      [self = shared_from_this()](const ErrorCode& result, std::size_t bytes) {
        self->OnRequestWritten(result, bytes);
      });
}

void HttpClient::Connection::OnRequestWritten(const ErrorCode& error,
                                              std::size_t) {
  writing_ = false;
  if (closed_)
    return;
  if (error) {
    // An answer may have come before the connection ended: it is read first.
    if (!request_bytes_out_)
      End(CallEnd::kNotSent);
    return;
  }
  head_text_.clear();
  body_.clear();
  FinishIfDone();
}

void HttpClient::Connection::Read() {
  if (reading_ || closed_ || paused_)
    return;
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const ErrorCode& error, std::size_t bytes) {
        self->reading_ = false;
        self->OnRead(error, bytes);
      });
}

void HttpClient::Connection::OnRead(const ErrorCode& error, std::size_t bytes) {
  if (closed_)
    return;
  if (call_ == nullptr) {
    // An idle connection has ended, or bears bytes that nobody asked for.
    Close();
    return;
  }
  if (error == asio::error::eof) {
    OnEndOfStream();
    return;
  }
  if (error) {
    End(CallEnd::kBroken);
    return;
  }
  buffer_.commit(bytes);
  const auto self = shared_from_this();
  Parse();
  Read();
}

void HttpClient::Connection::Parse() {
  while (call_ != nullptr && buffer_.size() > 0 && !answer_done_) {
    ErrorCode error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more) {
      End(CallEnd::kBadAnswer);
      return;
    }
    if (parser_->is_done() && parser_->head().status < 200) {
      ResetParser();  // an interim answer
      continue;
    }
    if (parser_->is_done()) {
      answer_done_ = true;
      keep_ = parser_->keep_alive();
      break;
    }
    if (used == 0)
      return;
  }
  FinishIfDone();
}

void HttpClient::Connection::OnEndOfStream() {
  ErrorCode error;
  if (parser_->got_some())
    parser_->put_eof(error);
  if (!error && parser_->is_done() && parser_->head().status >= 200) {
    answer_done_ = true;
    keep_ = false;
    End(CallEnd::kComplete);
    return;
  }
  End(CallEnd::kBroken);
}

void HttpClient::Connection::FinishIfDone() {
  // A request that isn't wholly written yet keeps the connection.
  if (!answer_done_ || writing_ || call_ == nullptr)
    return;
  // Bytes after the answer belong to no request.
  keep_ = keep_ && buffer_.size() == 0;
  End(CallEnd::kComplete);
}

void HttpClient::Connection::End(CallEnd end) {
  const auto self = shared_from_this();
  Call* const call = std::exchange(call_, nullptr);
  const HttpFields fields = parser_ ? parser_->head().fields : HttpFields();
  if (end == CallEnd::kComplete && keep_) {
    idle_timeout_ =
        AnnouncedIdleTimeout(fields).value_or(pool_->limits.idle_timeout);
    idle_timeout_ = Millis(static_cast<Millis::rep>(
        static_cast<double>(idle_timeout_.count()) * kIdleShare));
    BecomeIdle();
  } else {
    Close();
  }
  if (call != nullptr)
    call->OnEnd(end);
}

void HttpClient::Connection::BecomeIdle() {
  auto& idle = pool_->addresses[address_].idle;
  if (pool_->closed || idle_timeout_ <= Millis(0) ||
      idle.size() >= pool_->limits.max_idle_per_address) {
    Close();
    return;
  }
  idle_since_ = pool_->loop.Now();
  parser_.reset();
  idle.push_back(shared_from_this());
  timer_ =
      pool_->loop.After(idle_timeout_, [weak = weak_from_this()](TimePoint) {
        if (const auto self = weak.lock(); self && self->call_ == nullptr)
          self->Close();
      });
}

void HttpClient::Connection::Drop() {
  call_ = nullptr;
  Close();
}

void HttpClient::Connection::Close() {
  if (std::exchange(closed_, true))
    return;
  const auto self = shared_from_this();
  timer_.reset();
  ErrorCode ignored;  // closing is all that can be done with it
  socket_.close(ignored);
  const auto it = pool_->addresses.find(address_);
  if (it != pool_->addresses.end())
    std::erase(it->second.idle, self);
  CountClosed();
}

bool HttpClient::Connection::IsQuiet() {
  char byte = 0;
  const auto got = ::recv(socket_.native_handle(), &byte, sizeof byte,
                          MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClient::Connection::SetPaused(bool paused) {
  paused_ = paused;
  if (connected_ && !paused)
    Read();
}

HttpClient::HttpClient(EventLoop& loop, HttpClientLimits limits)
    : pool_(std::make_shared<Pool>(loop, limits)) {}

HttpClient::~HttpClient() {
  pool_->closed = true;
  std::vector<std::shared_ptr<Connection>> idle;
  for (auto& [name, address] : pool_->addresses)
    idle.insert(idle.end(), address.idle.begin(), address.idle.end());
  for (const auto& connection : idle)
    connection->Close();
}

HttpCallPtr HttpClient::Start(const settings::Endpoint& address,
                              const HttpRequest& request,
                              const CallOptions& options,
                              CallHooks hooks) {
  auto call = std::make_unique<Call>(std::move(hooks));
  const std::string name = address.ToString();
  const TimePoint now = pool_->loop.Now();
  while (options.reuse_connection) {
    const auto connection = pool_->TakeIdle(name, now - options.max_idle);
    if (!connection)
      break;
    if (!connection->IsQuiet()) {
      connection->Close();
      continue;
    }
    call->Attach(connection, false);
    connection->Carry(call.get(), request);
    return call;
  }
  const auto connection = std::make_shared<Connection>(pool_, name);
  call->Attach(connection, true);
  connection->Carry(call.get(), request);
  connection->Connect(address, options.connect_timeout);
  return call;
}

std::size_t HttpClient::ConnectionsTo(const settings::Endpoint& address) const {
  const auto it = pool_->addresses.find(address.ToString());
  return it == pool_->addresses.end() ? 0 : it->second.open;
}

std::size_t HttpClient::IdleConnectionsTo(
    const settings::Endpoint& address) const {
  const auto it = pool_->addresses.find(address.ToString());
  return it == pool_->addresses.end() ? 0 : it->second.idle.size();
}

void HttpClient::Forget(const settings::Endpoint& address) {
  const auto it = pool_->addresses.find(address.ToString());
  if (it == pool_->addresses.end())
    return;
  const auto idle = it->second.idle;
  for (const auto& connection : idle)
    connection->Close();
}

}  // namespace endivecart::net
