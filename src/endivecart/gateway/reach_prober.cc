#include "endivecart/gateway/reach_prober.h"

namespace endivecart::gateway {

using quarantine::ReachMonitor;

ReachProber::ReachProber(net::EventLoop& loop,
                         net::HttpClient& client,
                         const UpstreamTracker& upstreams,
                         ReachMonitor& reach)
    : loop_(loop),
      client_(client),
      upstreams_(upstreams),
      reach_(reach),
      self_(std::make_shared<ReachProber*>(this)) {}

void ReachProber::Tick(std::uint64_t random) {
  const TimePoint now = loop_.Now();
  for (const std::string& service : reach_.ServicesToProbe(now)) {
    const auto targets = upstreams_.ProbeTargets(routes::ServiceId(service),
                                                 ReachMonitor::kProbes, random);
    reach_.BeginProbes(service, targets.size(), now);
    for (const settings::Endpoint& target : targets) {
      client_.Preconnect(
          target, ReachMonitor::kProbeTimeout,
          [weak = std::weak_ptr(self_), service](bool connected) {
            if (const auto self = weak.lock()) {
              (*self)->reach_.OnProbe(service, connected, (*self)->loop_.Now());
            }
          });
    }
  }
}

}  // namespace endivecart::gateway
