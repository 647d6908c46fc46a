#ifndef ENDIVECART_NET_HTTP_SESSION_H_
#define ENDIVECART_NET_HTTP_SESSION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <memory>
#include <set>
#include <string>

#include "endivecart/net/http_parser.h"
#include "endivecart/net/http_server.h"

namespace endivecart::net {

class HttpServerExchange;
class HttpSession;

// The kernel keeps no more unread input of a connection than about this, unless
// a larger body was admitted. As much as a client sends in its first round trip
// (ten segments).
inline constexpr int kReceiveBufferBytes = 16 << 10;

// Internal. What a server and its sessions share.
struct HttpServerState {
  HttpServerState(EventLoop& event_loop,
                  HttpServerLimits server_limits,
                  HttpServer::Handler function,
                  ConnectionBudgetPtr connection_budget)
      : loop(event_loop),
        acceptor(event_loop.context()),
        limits(server_limits),
        handler(std::move(function)),
        budget(std::move(connection_budget)) {}

  // Counts a client that was rejected or closed. Returns how many there were
  // since the last log line of this kind if a line is due, else nullopt.
  std::optional<std::uint64_t> Count(const std::string& kind);
  // Counts, and logs a line if one is due.
  void Report(const std::string& kind);

  EventLoop& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint peer;  // of the connection to be accepted
  HttpServerLimits limits;
  const HttpServer::Handler handler;
  const ConnectionBudgetPtr budget;  // may be null
  RejectionLog log;                  // without a budget, which has its own
  bool close_after_response = false;
  bool closed = false;
  std::size_t active = 0;
  std::uint64_t accepted = 0;
  std::set<HttpSession*> sessions;
  std::unique_ptr<TimerSubscription> accept_retry;
  std::unique_ptr<TimerSubscription> stall_check;
  // All sessions read into it, so that one that waits holds no buffer.
  std::array<char, 16UL << 10> read_buffer;
};

// Internal. One client connection of a server.
class HttpSession final : public BudgetedConnection,
                          public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServerState> state,
              boost::asio::ip::tcp::socket socket);
  ~HttpSession() override;
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Start();
  bool idle() const {
    return stage_ == Stage::kIdle && buffer_.size() == 0 && out_.empty() &&
           writing_.empty();
  }
  TimePoint idle_since() const { return stage_since_; }
  // Closes at once and reports the disconnect to the exchange.
  void Close();
  // Closes if the client has read nothing of a response for the idle timeout.
  void CloseIfStalled();

  ConnectionView View() const override;
  void CloseForRoom() override;
  void CloseForRequest() override;
  // Closes at once, so that another connection can be accepted.
  void CloseForSlot();

  // For the exchange.
  void Send(std::string bytes);
  void OnResponseFinished(bool keep_alive);
  bool TryHoldAnswer(std::size_t bytes);
  bool HasPeerClosed();
  std::size_t unsent_bytes() const { return unsent_; }
  HttpServerState& server() { return *server_; }

 private:
  // Lingering close: input is read and discarded for this long, as closing with
  // unread input resets the connection and may lose the response.
  static constexpr Millis kLingerTime{1000};
  enum class Stage { kIdle, kHeader, kBody, kBusy, kLingering, kClosed };

  void SetStage(Stage stage);
  void Read();
  void WatchForClose();
  void OnReadable();
  // Returns whether there may be more to read.
  bool ReadOnce();
  void Discard(std::size_t bytes);
  void Parse();
  void StartRequest();
  void OnHeader();
  Millis BodyTimeout(std::uint64_t length) const;
  void RefuseAndClose(int status);
  void RefuseForRoom();
  // Sends a rejection as far as that is possible without waiting, and closes.
  void RejectAtOnce();
  // Posted, as another request's handler may be running.
  void PostClose();
  void LogBodyRejection();
  void Dispatch();
  // Counts what the connection holds. Returns false if there is no room, or if
  // the connection was closed to make room.
  bool UpdateHeld();
  void UpdateUnsent();
  void SetTimer(Millis timeout);
  void OnTimeout();
  void Flush();
  void OnWriteProgress(std::size_t written);
  void OnWritten(const boost::system::error_code& error);
  void Linger();

  std::shared_ptr<HttpServerState> server_;
  boost::asio::ip::tcp::socket socket_;
  const std::string address_;
  const std::uint64_t number_;
  const HttpServerLimits limits_;
  Stage stage_ = Stage::kIdle;
  TimePoint stage_since_{};
  bool was_answered_ = false;
  TimePoint discard_until_{};      // the rest of a rejected body
  std::size_t discard_bytes_ = 0;  // that may still come
  boost::beast::flat_buffer buffer_;
  bool reading_ = false;
  // Its memory is in use up the stack, so that it can't make room for itself.
  bool in_use_ = false;
  bool is_close_posted_ = false;
  std::unique_ptr<RequestParser> parser_;
  std::size_t counted_fields_ = 0;
  std::size_t request_bytes_ = 0;  // of the fields and their copies
  std::unique_ptr<TimerSubscription> timer_;
  std::unique_ptr<TimerSubscription> close_check_;
  std::deque<std::string> out_;
  std::deque<std::string> writing_;
  std::size_t unsent_ = 0;
  std::size_t written_ = 0;  // of `writing_`
  TimePoint write_progress_at_{};
  bool close_when_written_ = false;
  BudgetReservation held_;
  BudgetReservation held_unsent_;
  BudgetReservation held_answer_;
  std::weak_ptr<HttpServerExchange> exchange_;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_SESSION_H_
