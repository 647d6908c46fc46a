#ifndef ENDIVECART_GATEWAY_FOLLOWER_WIRING_H_
#define ENDIVECART_GATEWAY_FOLLOWER_WIRING_H_

#include "endivecart/fleet/fleet.h"

namespace endivecart::gateway {

class Gateway;

// Sets the hooks by which a follower passes updates to `gateway` and reports
// what the gateway has observed. The hooks for messages and decisions stay as
// they are. `gateway` must outlive the hooks.
void SetGatewayHooks(Gateway& gateway, fleet::FleetFollower::Hooks& hooks);

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_FOLLOWER_WIRING_H_
