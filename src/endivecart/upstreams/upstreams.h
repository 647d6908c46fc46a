#ifndef ENDIVECART_UPSTREAMS_UPSTREAMS_H_
#define ENDIVECART_UPSTREAMS_UPSTREAMS_H_

// Public header of the upstreams library: upstreams that announce themselves.

#include "endivecart/upstreams/announced_roster.h"  // IWYU pragma: export
#include "endivecart/upstreams/announcement.h"      // IWYU pragma: export

#endif  // ENDIVECART_UPSTREAMS_UPSTREAMS_H_
