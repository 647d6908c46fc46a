#ifndef ENDIVECART_NET_SOCKET_OPTIONS_H_
#define ENDIVECART_NET_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace endivecart::net {

// Internal. Disables Nagle's algorithm, and sets keep-alive and user timeouts
// that close a connection within seconds if the peer stops responding.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

// Output of an accepted connection that the kernel keeps beyond the peer's
// window. Enough for the next segments while the process writes more.
inline constexpr std::size_t kMaxNotSentBytes = 16UL << 10;

// Internal. Limits what the kernel keeps for accepted connections: unread input
// to `receive_bytes`, and output beyond the peer's window.
void LimitKernelBuffers(boost::asio::ip::tcp::acceptor& acceptor,
                        int receive_bytes);
// Internal. Changes the limit of unread input for one connection.
void SetReceiveBuffer(boost::asio::ip::tcp::socket& socket, int bytes);

// Internal. Returns whether the peer has closed or reset the connection, even
// if bytes that it sent before have not been read yet.
bool HasPeerClosed(boost::asio::ip::tcp::socket& socket);

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_SOCKET_OPTIONS_H_
