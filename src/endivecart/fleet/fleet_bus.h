#ifndef ENDIVECART_FLEET_FLEET_BUS_H_
#define ENDIVECART_FLEET_FLEET_BUS_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "endivecart/net/net.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// Drives a transport::MessageBus from an event loop. Handles a bounded number
// of messages at a time, so that a flood of them delays no other bus, timer or
// connection of the loop.
class FleetBus {
 public:
  using Receiver = transport::MessageBus::Receiver;

  // `port` is the bus port of every voter. A voter also listens on it at
  // `self`, which must be an IP address. `loop` must outlive the bus.
  static Result<std::unique_ptr<FleetBus>, transport::TransportError> Open(
      net::EventLoop& loop,
      const HostId& self,
      int port,
      bool is_voter,
      Receiver receiver);

  // Connects to all of `hosts` and disconnects from all others.
  void ConnectTo(const std::vector<HostId>& hosts);
  // Returns false, and drops the message, if `to` can't be reached.
  bool Send(const HostId& to, wire::Envelope envelope);
  const transport::BusCounters& counters() const { return bus_->counters(); }

 private:
  FleetBus(net::EventLoop& loop, HostId self, int port, Receiver receiver);
  void WatchDescriptors();
  void Drain();
  static constexpr std::size_t kMessagesPerTurn = 8;
  void ScheduleDrain();

  net::EventLoop& loop_;
  const HostId self_;
  const int port_;
  const Receiver receiver_;
  std::unique_ptr<transport::MessageBus> bus_;
  std::vector<HostId> connected_;
  std::map<int, std::unique_ptr<TimerSubscription>> watches_;
  std::unique_ptr<TimerSubscription> sweep_timer_;
  std::unique_ptr<TimerSubscription> scheduled_drain_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_FLEET_BUS_H_
