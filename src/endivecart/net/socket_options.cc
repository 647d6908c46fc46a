#include "endivecart/net/socket_options.h"

#include <netinet/tcp.h>

namespace endivecart::net {

namespace {

// A peer that is cut off is given up after about five seconds: longer than
// short losses of packets, shorter than most time limits of requests.
constexpr int kUnacknowledgedMillis = 5000;
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;

void SetTcpOption(int descriptor, int option, int value) {
  // Best effort: without it a dead peer is noticed later.
  setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof value);
}

}  // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;  // as in SetTcpOption()
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int descriptor = socket.native_handle();
  SetTcpOption(descriptor, TCP_USER_TIMEOUT, kUnacknowledgedMillis);
  SetTcpOption(descriptor, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(descriptor, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetTcpOption(descriptor, TCP_KEEPCNT, kKeepAliveProbes);
}

}  // namespace endivecart::net
