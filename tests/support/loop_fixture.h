#ifndef TESTS_SUPPORT_LOOP_FIXTURE_H_
#define TESTS_SUPPORT_LOOP_FIXTURE_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>

#include "endivecart/net/net.h"

namespace tests {

// An event loop that a test runs step by step, for use with loopback sockets.
// Its clock stands still while sockets have anything to do, so that a busy
// machine doesn't change what a test sees.
class LoopFixture {
 public:
  // Runs the loop until `done` returns true, for at most kMaxIterations
  // milliseconds. Doesn't fail on the timeout: the test's next check does.
  void RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < kMaxIterations && !done(); ++i)
      RunFor(endivecart::Millis(1));
  }
  void RunFor(endivecart::Millis time) {
    const endivecart::TimePoint end = loop.Now() + time;
    do {
      RunReady();
    } while (loop.Advance(end));
    RunReady();
  }

  endivecart::net::EventLoop loop{endivecart::net::EventLoop::Clock::kManual};

 private:
  static constexpr int kMaxIterations = 5000;
  // What was written to a loopback socket can be read there sooner than this.
  static constexpr std::chrono::microseconds kSocketTime{200};

  void RunReady() {
    do {
      loop.context().restart();
    } while (loop.context().run_one_for(kSocketTime) > 0);
  }
};

// Returns a loopback endpoint whose port is assigned by the system.
inline endivecart::settings::Endpoint AnyPort() {
  return {"127.0.0.1", 0};
}

// A TCP client that sends unmodified bytes and collects what it receives.
class RawCaller {
 public:
  RawCaller(endivecart::net::EventLoop& loop, int port)
      : state_(std::make_shared<State>(loop)) {
    state_->socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                            static_cast<unsigned short>(port)});
    Read(state_);
  }
  ~RawCaller() { Close(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Write(const std::string& bytes) {
    boost::asio::write(state_->socket, boost::asio::buffer(bytes));
  }
  void Close() { state_->socket.close(); }
  const std::string& received() const { return state_->received; }
  bool ended() const { return state_->ended; }

 private:
  // Outlives the caller until a pending read has ended.
  struct State {
    explicit State(endivecart::net::EventLoop& loop) : socket(loop.context()) {}

    boost::asio::ip::tcp::socket socket;
    char buffer[4096];
    std::string received;
    bool ended = false;
  };

  static void Read(const std::shared_ptr<State>& state) {
    state->socket.async_read_some(
        boost::asio::buffer(state->buffer),
        [state](const boost::system::error_code& error, std::size_t bytes) {
          state->received.append(state->buffer, bytes);
          if (error) {
            state->ended = true;
          } else {
            Read(state);
          }
        });
  }

  std::shared_ptr<State> state_;
};

// A TCP server that accepts all connections and passes received bytes to
// `on_bytes`.
class RawUpstream {
 public:
  explicit RawUpstream(endivecart::net::EventLoop& loop)
      : acceptor_(loop.context(),
                  {boost::asio::ip::make_address("127.0.0.1"), 0}),
        port_(acceptor_.local_endpoint().port()) {
    Accept();
  }

  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket s)
        : socket(std::move(s)) {}
    boost::asio::ip::tcp::socket socket;
    char buffer[4096];
    std::string received;
    bool ended = false;
  };

  int port() const { return port_; }
  endivecart::settings::Endpoint address() const {
    return {"127.0.0.1", port()};
  }
  // Refuses further connections and closes all others.
  void Stop() {
    acceptor_.close();
    for (const auto& connection : connections)
      connection->socket.close();
  }

  std::vector<std::shared_ptr<Connection>> connections;
  // Called whenever bytes were received; the connection holds all of them.
  std::function<void(Connection&)> on_bytes;

 private:
  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error)
        return;
      connections.push_back(std::make_shared<Connection>(std::move(socket)));
      Read(connections.back());
      Accept();
    });
  }
  void Read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->buffer),
        [this, connection](const boost::system::error_code& error,
                           std::size_t bytes) {
          connection->received.append(connection->buffer, bytes);
          if (error) {
            connection->ended = true;
            return;
          }
          if (on_bytes)
            on_bytes(*connection);
          if (connection->socket.is_open())
            Read(connection);
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  const int port_;
};

// Sends `bytes` unmodified.
inline void Reply(RawUpstream::Connection& connection,
                  const std::string& bytes) {
  boost::asio::write(connection.socket, boost::asio::buffer(bytes));
}

}  // namespace tests

#endif  // TESTS_SUPPORT_LOOP_FIXTURE_H_
