#include "endivecart/fleet/fleet_bus.h"

#include <algorithm>
#include <utility>

namespace endivecart::fleet {

namespace {

// The descriptors of the bus are edge-triggered. Polling at this interval
// receives messages whose notification was missed.
constexpr Millis kSweepInterval{100};

}  // namespace

FleetBus::FleetBus(net::EventLoop& loop,
                   HostId self,
                   int port,
                   Receiver receiver)
    : loop_(loop),
      self_(std::move(self)),
      port_(port),
      receiver_(std::move(receiver)) {}

Result<std::unique_ptr<FleetBus>, transport::TransportError> FleetBus::Open(
    net::EventLoop& loop,
    const HostId& self,
    int port,
    bool is_voter,
    Receiver receiver) {
  transport::BusOptions options;
  options.self = self;
  if (is_voter)
    options.listen = settings::Endpoint{self.str(), port};
  auto bus = transport::MessageBus::Open(options);
  if (!bus)
    return Fail(bus.error());
  std::unique_ptr<FleetBus> fleet_bus(
      new FleetBus(loop, self, port, std::move(receiver)));
  fleet_bus->bus_ = std::move(*bus);
  fleet_bus->WatchDescriptors();
  fleet_bus->sweep_timer_ =
      loop.Every(kSweepInterval,
                 [opened = fleet_bus.get()](TimePoint) { opened->Drain(); });
  return fleet_bus;
}

void FleetBus::ConnectTo(const std::vector<HostId>& hosts) {
  for (const HostId& host : connected_) {
    if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
      bus_->Disconnect(host);
  }
  for (const HostId& host : hosts) {
    if (host != self_)
      bus_->Connect({host, settings::Endpoint{host.str(), port_}, ""});
  }
  connected_ = hosts;
  WatchDescriptors();
}

bool FleetBus::Send(const HostId& to, wire::Envelope envelope) {
  const bool is_queued = bus_->Send(to, std::move(envelope));
  ScheduleDrain();
  return is_queued;
}

void FleetBus::WatchDescriptors() {
  const std::vector<int> wanted = bus_->Descriptors();
  // Renews all watches, since a descriptor may have been closed and its number
  // reused.
  watches_.clear();
  for (const int descriptor : wanted)
    watches_[descriptor] = loop_.WatchReadable(descriptor, [this] { Drain(); });
  ScheduleDrain();
}

void FleetBus::Drain() {
  if (bus_->Poll(Millis(0), receiver_, kMessagesPerTurn))
    ScheduleDrain();
}

void FleetBus::ScheduleDrain() {
  if (scheduled_drain_)
    return;
  scheduled_drain_ = loop_.After(Millis(0), [this](TimePoint) {
    scheduled_drain_.reset();
    Drain();
  });
}

}  // namespace endivecart::fleet
