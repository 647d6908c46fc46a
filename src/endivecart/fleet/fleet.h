#ifndef ENDIVECART_FLEET_FLEET_H_
#define ENDIVECART_FLEET_FLEET_H_

// Public header of the fleet library. A few voters replicate the operators'
// decisions; all other processes follow them.

#include "endivecart/fleet/cache_catalog.h"        // IWYU pragma: export
#include "endivecart/fleet/cache_save_batches.h"   // IWYU pragma: export
#include "endivecart/fleet/cache_save_ledger.h"    // IWYU pragma: export
#include "endivecart/fleet/cache_sharing.h"        // IWYU pragma: export
#include "endivecart/fleet/decision_log.h"         // IWYU pragma: export
#include "endivecart/fleet/decisions.h"            // IWYU pragma: export
#include "endivecart/fleet/document_codec.h"       // IWYU pragma: export
#include "endivecart/fleet/entry_limit.h"          // IWYU pragma: export
#include "endivecart/fleet/fleet_bus.h"            // IWYU pragma: export
#include "endivecart/fleet/fleet_feed.h"           // IWYU pragma: export
#include "endivecart/fleet/fleet_follower.h"       // IWYU pragma: export
#include "endivecart/fleet/fleet_voter.h"          // IWYU pragma: export
#include "endivecart/fleet/heard_upstreams.h"      // IWYU pragma: export
#include "endivecart/fleet/limit_messages.h"       // IWYU pragma: export
#include "endivecart/fleet/load_table.h"           // IWYU pragma: export
#include "endivecart/fleet/move_coordinator.h"     // IWYU pragma: export
#include "endivecart/fleet/operator_service.h"     // IWYU pragma: export
#include "endivecart/fleet/poll_queue.h"           // IWYU pragma: export
#include "endivecart/fleet/quarantine_messages.h"  // IWYU pragma: export
#include "endivecart/fleet/remote_loads.h"         // IWYU pragma: export
#include "endivecart/fleet/routing_transfers.h"    // IWYU pragma: export
#include "endivecart/fleet/save_grant_log.h"       // IWYU pragma: export
#include "endivecart/fleet/voter_set_manager.h"    // IWYU pragma: export
#include "endivecart/fleet/weights_ages.h"         // IWYU pragma: export
#include "endivecart/fleet/weights_coordinator.h"  // IWYU pragma: export

#endif  // ENDIVECART_FLEET_FLEET_H_
