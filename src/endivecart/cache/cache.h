#ifndef ENDIVECART_CACHE_CACHE_H_
#define ENDIVECART_CACHE_CACHE_H_

// Public header of the cache library: pieces of prompts, where they are stored,
// and which to retain.

#include "endivecart/cache/engine_hints.h"  // IWYU pragma: export
#include "endivecart/cache/link_budget.h"   // IWYU pragma: export
#include "endivecart/cache/piece.h"         // IWYU pragma: export
#include "endivecart/cache/retention.h"     // IWYU pragma: export
#include "endivecart/cache/store_client.h"  // IWYU pragma: export
#include "endivecart/cache/store_index.h"   // IWYU pragma: export

#endif  // ENDIVECART_CACHE_CACHE_H_
