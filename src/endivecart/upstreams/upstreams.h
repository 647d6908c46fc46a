#ifndef ENDIVECART_UPSTREAMS_UPSTREAMS_H_
#define ENDIVECART_UPSTREAMS_UPSTREAMS_H_

// Public header of the upstreams library, which tracks announced upstreams.

#include "endivecart/upstreams/announcement.h"       // IWYU pragma: export
#include "endivecart/upstreams/upstream_registry.h"  // IWYU pragma: export

#endif  // ENDIVECART_UPSTREAMS_UPSTREAMS_H_
