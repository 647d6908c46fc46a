#ifndef ENDIVECART_NET_SOCKET_OPTIONS_H_
#define ENDIVECART_NET_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace endivecart::net {

// Internal. No delay for small writes, and an end within seconds for a
// connection whose peer is silent.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_SOCKET_OPTIONS_H_
