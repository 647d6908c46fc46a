#ifndef ENDIVECART_NET_HTTP_CONNECTION_H_
#define ENDIVECART_NET_HTTP_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "endivecart/net/http_client.h"
#include "endivecart/net/response_reader.h"

namespace endivecart::net {

class HttpConnection;

// Internal. A client's connections, grouped by server address.
struct HttpConnectionPool {
  HttpConnectionPool(EventLoop& event_loop, HttpClientLimits client_limits)
      : loop(event_loop), limits(client_limits) {}

  struct Address {
    // Least recently used first.
    std::vector<std::shared_ptr<HttpConnection>> idle;
    std::size_t open = 0;
  };

  // Removes and returns the most recently used idle connection that may carry a
  // request with this id; null if none has been used since `since`.
  std::shared_ptr<HttpConnection> PopIdle(const std::string& address,
                                          TimePoint since,
                                          std::string_view id);

  EventLoop& loop;
  const HttpClientLimits limits;
  bool closed = false;
  std::uint64_t connections_opened = 0;
  std::uint64_t extra_responses = 0;
  std::map<std::string, Address> addresses;
};

// Internal. One client connection; handles one call at a time.
class HttpConnection final
    : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::shared_ptr<HttpConnectionPool> pool, std::string address)
      : pool_(std::move(pool)),
        address_(std::move(address)),
        number_(++pool_->connections_opened),
        socket_(pool_->loop.context()),
        reader_(pool_->limits.max_response_header_bytes, address_) {
    ++pool_->addresses[address_].open;
  }
  ~HttpConnection() { CountClosed(); }

  void Connect(const settings::Endpoint& to, Millis timeout);
  // Connects without a call and returns to the pool; see
  // HttpClient::Preconnect().
  void Preconnect(const settings::Endpoint& to,
                  Millis timeout,
                  std::function<void(bool)> done);
  // See ResponseReader::MayCarry().
  bool MayCarry(std::string_view id) const { return reader_.MayCarry(id); }
  void SendRequest(CallSink* call,
                   const HttpRequest& request,
                   const CallIdentity& identity);
  // Detaches the current call and closes the connection.
  void Cancel();
  void Close();
  void SetPaused(bool paused);

  std::uint64_t number() const { return number_; }
  TimePoint idle_since() const { return idle_since_; }
  bool has_sent_bytes() const { return has_sent_bytes_; }
  // Whether an idle connection is still open and has received no bytes.
  bool IsReusable();

 private:
  void OnConnected(const boost::system::error_code& error);
  void WriteRequest();
  void OnRequestWritten(const boost::system::error_code& error,
                        std::size_t bytes);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void OnEndOfStream();
  void FinishIfComplete();
  void End(CallResult result);
  void ReturnToPool();
  // Waits for the end of an idle connection without reading from it.
  void WatchIdle();
  void OnIdleReadable();
  void CountClosed();

  std::shared_ptr<HttpConnectionPool> pool_;
  const std::string address_;
  const std::uint64_t number_;
  boost::asio::ip::tcp::socket socket_;
  std::unique_ptr<TimerSubscription> timer_;
  bool connected_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool watching_ = false;  // while it is idle
  bool paused_ = false;
  bool counted_closed_ = false;
  std::function<void(bool)> on_preconnected_;
  std::string head_text_;
  Body body_;
  bool writing_ = false;
  bool has_sent_bytes_ = false;
  bool write_failed_ = false;  // of the request, after some of its bytes
  bool input_ended_ = false;   // the server has closed, or reset
  boost::beast::flat_buffer buffer_;
  ResponseReader reader_;
  TimePoint idle_since_{};
  Millis idle_timeout_{};
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_CONNECTION_H_
