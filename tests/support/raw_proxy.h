#ifndef TESTS_SUPPORT_RAW_PROXY_H_
#define TESTS_SUPPORT_RAW_PROXY_H_

#include <memory>
#include <optional>
#include <vector>

#include "support/loop_fixture.h"

namespace tests {

// A TCP proxy before one server, whose link can be cut in several ways.
class RawProxy {
 public:
  enum class Cut {
    kHang,       // connections fall silent, new ones are not established
    kReset,      // connections are reset, new ones are refused
    kRefuseNew,  // connections live on, new ones are refused
  };

  RawProxy(endivecart::net::EventLoop& loop,
           const endivecart::settings::Endpoint& server);
  ~RawProxy();
  RawProxy(const RawProxy&) = delete;
  RawProxy& operator=(const RawProxy&) = delete;

  endivecart::settings::Endpoint address() const { return address_; }
  void CutLink(Cut cut);
  // Later connections pass again. Bytes that were held up are lost.
  void Restore();

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Link {
    Link(Socket client, Socket server)
        : ends{std::move(client), std::move(server)} {}
    Socket ends[2];
    char buffers[2][4096];
    bool silent = false;
  };

  void Listen(int backlog);
  void Accept();
  void Forward(const std::shared_ptr<Link>& link, int from);
  static void Close(Link& link);

  endivecart::net::EventLoop& loop_;
  const boost::asio::ip::tcp::endpoint server_;
  endivecart::settings::Endpoint address_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  std::vector<std::shared_ptr<Link>> links_;
  // Fill the queue of connections, so that further ones are not established.
  std::vector<Socket> fillers_;
};

}  // namespace tests

#endif  // TESTS_SUPPORT_RAW_PROXY_H_
