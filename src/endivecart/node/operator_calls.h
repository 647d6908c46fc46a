#ifndef ENDIVECART_NODE_OPERATOR_CALLS_H_
#define ENDIVECART_NODE_OPERATOR_CALLS_H_

#include "endivecart/fleet/fleet.h"
#include "endivecart/net/net.h"
#include "endivecart/node/voter_node.h"

namespace endivecart::node {

// Internal. The parts of a control process that answer operators' calls. All
// must outlive the calls.
struct OperatorCallParts {
  net::EventLoop& loop;
  const VoterNodeHooks& hooks;
  net::ConnectionBudget& budget;
  fleet::OperatorService& service;
  MetricsRegistry& metrics;
  int port = 0;  // at which operators call
};

// Answers the call, now or later, and logs and counts its outcome.
void AnswerOperatorCall(const OperatorCallParts& parts,
                        const net::HttpExchangePtr& exchange);

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_OPERATOR_CALLS_H_
