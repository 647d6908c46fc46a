#ifndef ENDIVECART_NODE_CONTROL_METRICS_H_
#define ENDIVECART_NODE_CONTROL_METRICS_H_

#include "endivecart/fleet/fleet.h"

namespace endivecart::node {

// Internal. Records what a control process sends and receives, by bus, kind of
// message and part of the updates, and which polls it did not answer.
void RecordControlMetrics(const fleet::FleetBus& log_bus,
                          const fleet::FleetBus& fleet_bus,
                          const fleet::FleetFeed& feed,
                          const fleet::PollQueue& polls,
                          MetricsRegistry& metrics);

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_CONTROL_METRICS_H_
