#ifndef ENDIVECART_NODE_BODY_ROOM_H_
#define ENDIVECART_NODE_BODY_ROOM_H_

#include "endivecart/base/base.h"
#include "endivecart/net/net.h"

namespace endivecart::node {

// Returns the budget of a process that may use this much memory.
net::BodyBudgetPtr MakeBodyBudget(int memory_mb);

// Updates the metrics of the budget.
void RecordBodyBudget(const net::BodyBudget& budget, MetricsRegistry& metrics);

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_BODY_ROOM_H_
