#ifndef ENDIVECART_NET_HTTP_CONNECTION_H_
#define ENDIVECART_NET_HTTP_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "endivecart/net/http_client.h"
#include "endivecart/net/http_parser.h"

namespace endivecart::net {

class HttpConnection;

// Internal. Gets a call's answer; each function may end the call.
class CallSink {
 public:
  virtual ~CallSink() = default;

  virtual void OnHead(const HttpResponseHead& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnEnd(CallEnd end) = 0;
};

// Internal. A client's connections by address.
struct HttpConnectionPool {
  HttpConnectionPool(EventLoop& event_loop, HttpClientLimits client_limits)
      : loop(event_loop), limits(client_limits) {}

  struct Address {
    std::vector<std::shared_ptr<HttpConnection>> idle;  // oldest use first
    std::size_t open = 0;
  };

  // The idle connection that was used last, if it was used after `since`.
  std::shared_ptr<HttpConnection> TakeIdle(const std::string& address,
                                           TimePoint since);

  EventLoop& loop;
  const HttpClientLimits limits;
  bool closed = false;
  std::map<std::string, Address> addresses;
};

// Internal. One connection; carries one call at a time.
class HttpConnection final
    : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::shared_ptr<HttpConnectionPool> pool, std::string address)
      : pool_(std::move(pool)),
        address_(std::move(address)),
        socket_(pool_->loop.context()) {
    ++pool_->addresses[address_].open;
  }
  ~HttpConnection() { CountClosed(); }

  void Connect(const settings::Endpoint& to, Millis timeout);
  void Carry(CallSink* call, const HttpRequest& request);
  // The call no longer wants its answer.
  void Drop();
  void Close();
  void SetPaused(bool paused);

  TimePoint idle_since() const { return idle_since_; }
  bool request_bytes_out() const { return request_bytes_out_; }
  // Whether an idle connection has neither ended nor received anything.
  bool IsQuiet();

 private:
  void OnConnected(const boost::system::error_code& error);
  void WriteRequest();
  void OnRequestWritten(const boost::system::error_code& error,
                        std::size_t bytes);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void Parse();
  void OnEndOfStream();
  void ResetParser();
  void FinishIfDone();
  void End(CallEnd end);
  void BecomeIdle();
  void CountClosed();

  std::shared_ptr<HttpConnectionPool> pool_;
  const std::string address_;
  boost::asio::ip::tcp::socket socket_;
  std::unique_ptr<TimerSubscription> timer_;
  bool connected_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool counted_closed_ = false;
  CallSink* call_ = nullptr;
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

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_CONNECTION_H_
