#ifndef ENDIVECART_NODE_UPSTREAM_CLIENT_H_
#define ENDIVECART_NODE_UPSTREAM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "endivecart/net/net.h"

namespace endivecart::node {

// Internal. Sends the system's own requests to upstreams and stores, with
// buffered answers and a time limit.
class UpstreamClient {
 public:
  // `status` is 0 if no complete answer arrived in time.
  using Done = std::function<void(int status, const std::string& body)>;

  explicit UpstreamClient(net::EventLoop& loop) : loop_(loop), client_(loop) {}
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  void Call(const settings::Endpoint& address,
            const net::HttpRequest& request,
            Done done);

 private:
  struct PendingCall {
    net::HttpCallPtr call;
    std::unique_ptr<TimerSubscription> timeout;
    int status = 0;
    std::string body;
  };

  net::EventLoop& loop_;
  net::HttpClient client_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, PendingCall> pending_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_UPSTREAM_CLIENT_H_
