#ifndef ENDIVECART_NET_SOCKET_OPTIONS_H_
#define ENDIVECART_NET_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace endivecart::net {

// Internal. Disables Nagle's algorithm, and sets keep-alive and user timeouts
// that close a connection within seconds if the peer stops responding.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

// Internal. Returns whether the peer has closed or reset the connection, even
// if bytes that it sent before have not been read yet.
bool HasPeerClosed(boost::asio::ip::tcp::socket& socket);

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_SOCKET_OPTIONS_H_
