#ifndef ENDIVECART_CONTROL_CONTROL_H_
#define ENDIVECART_CONTROL_CONTROL_H_

// Public header of the control library: the Raft log, its durable storage, and
// the distribution of the configuration to all hosts.

#include "endivecart/control/control_node.h"   // IWYU pragma: export
#include "endivecart/control/data_folder.h"    // IWYU pragma: export
#include "endivecart/control/raft_core.h"      // IWYU pragma: export
#include "endivecart/control/state_machine.h"  // IWYU pragma: export
#include "endivecart/control/storage.h"        // IWYU pragma: export

#endif  // ENDIVECART_CONTROL_CONTROL_H_
