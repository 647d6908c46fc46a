#include "endivecart/node/operator_calls.h"

#include <string>

#include "endivecart/node/connection_room.h"

namespace endivecart::node {

void AnswerOperatorCall(const OperatorCallParts& parts,
                        const net::HttpExchangePtr& exchange) {
  // Held while the call is decoded. Its document isn't kept as JSON.
  const auto document =
      parts.budget.TryReserve(EstimateJsonBytes(exchange->request().body.str()),
                              net::HeldKind::kDocuments);
  if (!document) {
    auto response = net::MakeResponse(503, "text/plain", "");
    response.head.fields.Add("Retry-After", "1");
    exchange->Respond(response);
    return;
  }
  const auto call = parts.hooks.decode_call(exchange->request());
  if (!call) {
    exchange->Respond(parts.hooks.not_found_response());
    return;
  }
  parts.service.Handle(*call, [parts,
                               exchange](const fleet::OperatorReply& reply) {
    const std::string& target = exchange->request().target;
    LogLine line("node.call");
    line.Add("call", target)
        .Add("outcome", fleet::OperatorOutcomeName(reply.outcome))
        .Add("detail", reply.detail)
        .Add("ms", MillisBetween(exchange->received_at(), parts.loop.Now()));
    if (reply.outcome == fleet::OperatorOutcome::kDone) {
      line.Debug();
    } else {
      line.Info();
    }
    parts.metrics.Add(
        "endivecart_calls_total",
        "outcome=\"" + std::string(fleet::OperatorOutcomeName(reply.outcome)) +
            "\"");
    exchange->Respond(
        parts.hooks.encode_reply(reply, exchange->request(), parts.port));
  });
}

}  // namespace endivecart::node
