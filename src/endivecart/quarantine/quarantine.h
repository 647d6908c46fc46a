#ifndef ENDIVECART_QUARANTINE_QUARANTINE_H_
#define ENDIVECART_QUARANTINE_QUARANTINE_H_

// Public header of the quarantine library, which judges from what all hosts
// observe: finds prompt parts and requests that crash upstreams, and withholds
// them; finds upstreams that fail; finds hosts that are cut off from upstreams,
// and others that can relay their requests. Does no I/O and reads no clock.

#include "endivecart/quarantine/failure_judge.h"    // IWYU pragma: export
#include "endivecart/quarantine/failure_monitor.h"  // IWYU pragma: export
#include "endivecart/quarantine/failures.h"         // IWYU pragma: export
#include "endivecart/quarantine/findings.h"         // IWYU pragma: export
#include "endivecart/quarantine/part_judge.h"       // IWYU pragma: export
#include "endivecart/quarantine/part_monitor.h"     // IWYU pragma: export
#include "endivecart/quarantine/quarantine_list.h"  // IWYU pragma: export
#include "endivecart/quarantine/reach.h"            // IWYU pragma: export
#include "endivecart/quarantine/reach_monitor.h"    // IWYU pragma: export
#include "endivecart/quarantine/relay_selector.h"   // IWYU pragma: export
#include "endivecart/quarantine/relay_table.h"      // IWYU pragma: export
#include "endivecart/quarantine/sound_parts.h"      // IWYU pragma: export

#endif  // ENDIVECART_QUARANTINE_QUARANTINE_H_
