#ifndef ENDIVECART_ENTRY_ENTRY_H_
#define ENDIVECART_ENTRY_ENTRY_H_

// Public header of the entry library: the callers' HTTP API and what carries
// out its requests.

#include "endivecart/entry/cache_keeper.h"        // IWYU pragma: export
#include "endivecart/entry/caller_error.h"        // IWYU pragma: export
#include "endivecart/entry/caller_server.h"       // IWYU pragma: export
#include "endivecart/entry/completion_handler.h"  // IWYU pragma: export
#include "endivecart/entry/dispatcher.h"          // IWYU pragma: export
#include "endivecart/entry/service_handler.h"     // IWYU pragma: export

#endif  // ENDIVECART_ENTRY_ENTRY_H_
