#ifndef ENDIVECART_NODE_UPSTREAM_CALLER_H_
#define ENDIVECART_NODE_UPSTREAM_CALLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "endivecart/net/net.h"

namespace endivecart::node {

// Internal. Calls of the system's own to upstreams and stores, with whole
// answers and a time limit.
class UpstreamCaller {
 public:
  // `status` 0: no whole answer came in time.
  using Done = std::function<void(int status, const std::string& body)>;

  explicit UpstreamCaller(net::EventLoop& loop) : loop_(loop), client_(loop) {}
  UpstreamCaller(const UpstreamCaller&) = delete;
  UpstreamCaller& operator=(const UpstreamCaller&) = delete;

  void Call(const settings::Endpoint& address,
            const net::HttpRequest& request,
            Done done);

 private:
  struct Open {
    net::HttpCallPtr call;
    std::unique_ptr<TimerSubscription> timeout;
    int status = 0;
    std::string body;
  };

  net::EventLoop& loop_;
  net::HttpClient client_;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, Open> open_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_UPSTREAM_CALLER_H_
