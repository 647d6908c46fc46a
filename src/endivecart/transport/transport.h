#ifndef ENDIVECART_TRANSPORT_TRANSPORT_H_
#define ENDIVECART_TRANSPORT_TRANSPORT_H_

// Public header of the transport library: authenticated, one-way messages
// between the system's hosts, without delivery guarantee.

#include "endivecart/transport/curve_keys.h"   // IWYU pragma: export
#include "endivecart/transport/message_bus.h"  // IWYU pragma: export
#include "endivecart_wire/messages.pb.h"       // IWYU pragma: export

#endif  // ENDIVECART_TRANSPORT_TRANSPORT_H_
