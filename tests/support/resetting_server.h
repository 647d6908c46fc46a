#ifndef TESTS_SUPPORT_RESETTING_SERVER_H_
#define TESTS_SUPPORT_RESETTING_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "endivecart/settings/settings.h"

namespace tests {

// Answers each connection's first bytes with a text and, while the rest of the
// request is still being written, resets the connection. Has a thread of its
// own, so that the client sees the reset at any point.
class ResettingServer {
 public:
  explicit ResettingServer(std::string answer)
      : answer_(std::move(answer)), acceptor_(context_) {
    using boost::asio::ip::tcp;
    const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any.protocol());
    // The kernel would take a whole upload otherwise.
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.bind(any);
    acceptor_.listen();
    address_ = {"127.0.0.1", acceptor_.local_endpoint().port()};
    thread_ = std::thread([this] { Run(); });
  }
  ~ResettingServer() {
    stopping_ = true;
    boost::asio::ip::tcp::socket wake(context_);
    wake.connect({boost::asio::ip::make_address("127.0.0.1"),
                  static_cast<unsigned short>(address_.port)});
    wake.close();
    thread_.join();
  }
  ResettingServer(const ResettingServer&) = delete;
  ResettingServer& operator=(const ResettingServer&) = delete;

  const endivecart::settings::Endpoint& address() const { return address_; }
  // Requests that have arrived.
  int requests() const { return requests_; }

 private:
  static constexpr int kReceiveBufferBytes = 8 << 10;
  // The client has read the answer by then.
  static constexpr std::chrono::milliseconds kResetDelay{20};

  void Run() {
    while (!stopping_) {
      boost::system::error_code error;
      auto socket = acceptor_.accept(error);
      char buffer[1024];
      if (error || socket.read_some(boost::asio::buffer(buffer), error) == 0)
        continue;
      ++requests_;
      boost::asio::write(socket, boost::asio::buffer(answer_), error);
      std::this_thread::sleep_for(kResetDelay);
      socket.set_option(boost::asio::socket_base::linger(true, 0), error);
      socket.close(error);
    }
  }

  const std::string answer_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  endivecart::settings::Endpoint address_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

}  // namespace tests

#endif  // TESTS_SUPPORT_RESETTING_SERVER_H_
