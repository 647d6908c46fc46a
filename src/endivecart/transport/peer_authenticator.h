#ifndef ENDIVECART_TRANSPORT_PEER_AUTHENTICATOR_H_
#define ENDIVECART_TRANSPORT_PEER_AUTHENTICATOR_H_

#include <map>
#include <string>
#include <thread>
#include <vector>
#include <zmq.hpp>

#include "endivecart/settings/settings.h"

namespace endivecart::transport {

// Internal. Handles ZeroMQ authentication requests (ZAP, RFC 27): accepts the
// CURVE keys of listed hosts and returns the host's id as user id.
class PeerAuthenticator {
 public:
  PeerAuthenticator(zmq::context_t& context,
                    const std::vector<settings::HostEntry>& hosts);
  ~PeerAuthenticator();
  PeerAuthenticator(const PeerAuthenticator&) = delete;
  PeerAuthenticator& operator=(const PeerAuthenticator&) = delete;

 private:
  void Run();
  void HandleRequest();

  std::map<std::string, std::string> host_by_key_;  // Z85 key -> host id
  zmq::socket_t requests_;
  zmq::socket_t stop_receiver_;
  zmq::socket_t stop_sender_;
  std::thread thread_;
};

}  // namespace endivecart::transport

#endif  // ENDIVECART_TRANSPORT_PEER_AUTHENTICATOR_H_
