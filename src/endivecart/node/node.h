#ifndef ENDIVECART_NODE_NODE_H_
#define ENDIVECART_NODE_NODE_H_

// Public header of the node library: whole processes of a fleet, put together
// from the slices.

#include "endivecart/node/entry_node.h"  // IWYU pragma: export
#include "endivecart/node/voter_node.h"  // IWYU pragma: export

#endif  // ENDIVECART_NODE_NODE_H_
