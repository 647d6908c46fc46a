#include "endivecart/net/socket_options.h"

#include <netinet/tcp.h>
#include <poll.h>

namespace endivecart::net {

namespace {

// An unreachable peer is detected after about 5 s: longer than brief packet
// loss, shorter than most request timeouts.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;
// A user timeout also decides when keep-alive probes give up, whatever their
// number. Both give up at the same time.
constexpr int kUserTimeoutMillis =
    1000 *
    (kKeepAliveIdleSeconds + kKeepAliveIntervalSeconds * kKeepAliveProbes);

void SetTcpOption(int descriptor, int option, int value) {
  // Errors are ignored: without the option a dead peer is detected later.
  setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof value);
}

}  // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;  // see SetTcpOption()
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int descriptor = socket.native_handle();
  SetTcpOption(descriptor, TCP_USER_TIMEOUT, kUserTimeoutMillis);
  SetTcpOption(descriptor, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(descriptor, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetTcpOption(descriptor, TCP_KEEPCNT, kKeepAliveProbes);
}

void LimitKernelBuffers(boost::asio::ip::tcp::acceptor& acceptor,
                        int receive_bytes) {
  boost::system::error_code ignored;  // without it, more is kept
  acceptor.set_option(
      boost::asio::socket_base::receive_buffer_size(receive_bytes), ignored);
  SetTcpOption(acceptor.native_handle(), TCP_NOTSENT_LOWAT,
               static_cast<int>(kMaxNotSentBytes));
}

void SetReceiveBuffer(boost::asio::ip::tcp::socket& socket, int bytes) {
  boost::system::error_code ignored;  // see LimitKernelBuffers()
  socket.set_option(boost::asio::socket_base::receive_buffer_size(bytes),
                    ignored);
}

bool HasPeerClosed(boost::asio::ip::tcp::socket& socket) {
  // Unlike a read or a peek, this reports a close that lies behind unread
  // bytes.
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

}  // namespace endivecart::net
