#ifndef ENDIVECART_ENTRY_ENTRY_H_
#define ENDIVECART_ENTRY_ENTRY_H_

// Public header of the entry library: the HTTP API for callers and the handling
// of its requests.

#include "endivecart/entry/caller_error.h"          // IWYU pragma: export
#include "endivecart/entry/caller_server.h"         // IWYU pragma: export
#include "endivecart/entry/completion_handler.h"    // IWYU pragma: export
#include "endivecart/entry/dispatcher.h"            // IWYU pragma: export
#include "endivecart/entry/service_handler.h"       // IWYU pragma: export
#include "endivecart/entry/stored_cache_manager.h"  // IWYU pragma: export

#endif  // ENDIVECART_ENTRY_ENTRY_H_
