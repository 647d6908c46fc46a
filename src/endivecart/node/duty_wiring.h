#ifndef ENDIVECART_NODE_DUTY_WIRING_H_
#define ENDIVECART_NODE_DUTY_WIRING_H_

#include <memory>

#include "endivecart/node/duty_controller.h"
#include "endivecart/node/voter_node.h"

namespace endivecart::node {

// Internal. Returns the controller of the duties that the settings name; null
// if there are none. The references must outlive it. `is_stopping`: whether
// this process is about to end.
std::unique_ptr<DutyController> MakeDutyController(
    net::EventLoop& loop,
    const settings::NodeSettings& settings,
    const VoterNodeHooks& hooks,
    fleet::FleetVoter& voter,
    const bool& is_stopping,
    MetricsRegistry& metrics);

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_DUTY_WIRING_H_
