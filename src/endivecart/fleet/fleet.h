#ifndef ENDIVECART_FLEET_FLEET_H_
#define ENDIVECART_FLEET_FLEET_H_

// Public header of the fleet library: what operators decide is replicated by a
// few voters, and all processes follow them.

#include "endivecart/fleet/cache_catalog.h"      // IWYU pragma: export
#include "endivecart/fleet/decision_log.h"       // IWYU pragma: export
#include "endivecart/fleet/decisions.h"          // IWYU pragma: export
#include "endivecart/fleet/fleet_bus.h"          // IWYU pragma: export
#include "endivecart/fleet/fleet_feed.h"         // IWYU pragma: export
#include "endivecart/fleet/fleet_follower.h"     // IWYU pragma: export
#include "endivecart/fleet/fleet_voter.h"        // IWYU pragma: export
#include "endivecart/fleet/move_conductor.h"     // IWYU pragma: export
#include "endivecart/fleet/operator_desk.h"      // IWYU pragma: export
#include "endivecart/fleet/voter_keeper.h"       // IWYU pragma: export
#include "endivecart/fleet/weights_conductor.h"  // IWYU pragma: export

#endif  // ENDIVECART_FLEET_FLEET_H_
