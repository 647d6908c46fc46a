#ifndef ENDIVECART_NET_NET_H_
#define ENDIVECART_NET_NET_H_

// Public header of the net library: an event loop, and a non-blocking HTTP/1.1
// server and client that run on it.

#include "endivecart/net/body.h"               // IWYU pragma: export
#include "endivecart/net/connection_budget.h"  // IWYU pragma: export
#include "endivecart/net/event_loop.h"         // IWYU pragma: export
#include "endivecart/net/http_client.h"        // IWYU pragma: export
#include "endivecart/net/http_message.h"       // IWYU pragma: export
#include "endivecart/net/http_server.h"        // IWYU pragma: export
#include "endivecart/net/net_error.h"          // IWYU pragma: export

#endif  // ENDIVECART_NET_NET_H_
