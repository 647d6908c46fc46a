#ifndef ENDIVECART_FLEET_FLEET_BUS_H_
#define ENDIVECART_FLEET_FLEET_BUS_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "endivecart/net/net.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// The message bus, driven by a process's event loop.
class FleetBus {
 public:
  using Receiver = transport::MessageBus::Receiver;

  // `port`: of every voter's bus; a voter also listens on it at `self`, which
  // is an IP number.
  static Result<std::unique_ptr<FleetBus>, transport::TransportError> Open(
      net::EventLoop& loop,
      const HostId& self,
      int port,
      bool is_voter,
      Receiver receiver);

  // Keeps connections to exactly these hosts.
  void ConnectTo(const std::vector<HostId>& hosts);
  void Send(const HostId& to, wire::Envelope envelope);
  const transport::BusCounters& counters() const { return bus_->counters(); }

 private:
  FleetBus(net::EventLoop& loop, HostId self, int port, Receiver receiver);
  void WatchDescriptors();
  void Drain();
  void DrainSoon();

  net::EventLoop& loop_;
  const HostId self_;
  const int port_;
  const Receiver receiver_;
  std::unique_ptr<transport::MessageBus> bus_;
  std::vector<HostId> connected_;
  std::map<int, std::unique_ptr<TimerSubscription>> watches_;
  std::unique_ptr<TimerSubscription> sweep_;
  std::unique_ptr<TimerSubscription> soon_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_FLEET_BUS_H_
