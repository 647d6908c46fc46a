#ifndef ENDIVECART_NODE_NODE_H_
#define ENDIVECART_NODE_NODE_H_

// Public header of the node library: the processes of a fleet, assembled from
// the other libraries.

#include "endivecart/node/entry_node.h"  // IWYU pragma: export
#include "endivecart/node/voter_node.h"  // IWYU pragma: export

#endif  // ENDIVECART_NODE_NODE_H_
