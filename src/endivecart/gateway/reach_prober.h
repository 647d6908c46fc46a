#ifndef ENDIVECART_GATEWAY_REACH_PROBER_H_
#define ENDIVECART_GATEWAY_REACH_PROBER_H_

#include <memory>

#include "endivecart/gateway/upstream_tracker.h"
#include "endivecart/net/net.h"

namespace endivecart::gateway {

// Opens the connections that a ReachMonitor asks for. Those that are
// established are kept for requests.
class ReachProber {
 public:
  // All must outlive the prober.
  ReachProber(net::EventLoop& loop,
              net::HttpClient& client,
              const UpstreamTracker& upstreams,
              quarantine::ReachMonitor& reach);

  // Starts the probes that are due. `random` selects upstreams.
  void Tick(std::uint64_t random);

 private:
  net::EventLoop& loop_;
  net::HttpClient& client_;
  const UpstreamTracker& upstreams_;
  quarantine::ReachMonitor& reach_;
  // Probes that end later than the prober are ignored.
  const std::shared_ptr<ReachProber*> self_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_REACH_PROBER_H_
