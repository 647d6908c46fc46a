#ifndef ENDIVECART_ENDIVECART_H_
#define ENDIVECART_ENDIVECART_H_

// Umbrella header of the library. Code that needs a single component includes
// that component's public header instead.

#include "endivecart/admission/admission.h"          // IWYU pragma: export
#include "endivecart/base/base.h"                    // IWYU pragma: export
#include "endivecart/cache/cache.h"                  // IWYU pragma: export
#include "endivecart/configuration/configuration.h"  // IWYU pragma: export
#include "endivecart/control/control.h"              // IWYU pragma: export
#include "endivecart/entry/entry.h"                  // IWYU pragma: export
#include "endivecart/host/host.h"                    // IWYU pragma: export
#include "endivecart/http/http.h"                    // IWYU pragma: export
#include "endivecart/ledger/ledger.h"                // IWYU pragma: export
#include "endivecart/membership/membership.h"        // IWYU pragma: export
#include "endivecart/moves/moves.h"                  // IWYU pragma: export
#include "endivecart/operators/operators.h"          // IWYU pragma: export
#include "endivecart/quarantine/quarantine.h"        // IWYU pragma: export
#include "endivecart/routing/routing.h"              // IWYU pragma: export
#include "endivecart/settings/settings.h"            // IWYU pragma: export
#include "endivecart/transport/transport.h"          // IWYU pragma: export

#endif  // ENDIVECART_ENDIVECART_H_
