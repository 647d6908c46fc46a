#include "endivecart/node/weights_controller.h"

#include <utility>

namespace endivecart::node {

WeightsController::WeightsController(net::EventLoop& loop,
                                     UpstreamClient& client,
                                     const VoterNodeHooks& hooks,
                                     std::string name,
                                     fleet::WeightsCoordinator::Options options)
    : loop_(loop),
      client_(client),
      hooks_(hooks),
      name_(std::move(name)),
      coordinator_(options) {}

bool WeightsController::Tick(const fleet::Decisions& decisions,
                             const upstreams::UpstreamRegistry& roster,
                             bool is_confirmed_leader,
                             std::uint64_t term) {
  const TimePoint now = loop_.Now();
  for (const fleet::WeightsOrder& order : coordinator_.NextOrders(
           decisions, roster, is_confirmed_leader, term, now)) {
    SendOrder(order);
  }
  for (const fleet::WeightsCheck& check : coordinator_.NextChecks(roster, now))
    SendCheck(check);
  auto quiesced = coordinator_.QuiescedUpstreams();
  if (quiesced == last_quiesced_)
    return false;
  last_quiesced_ = std::move(quiesced);
  return true;
}

void WeightsController::SendOrder(const fleet::WeightsOrder& order) {
  LogLine("node.weights_order")
      .Add("upstream", order.upstream.str())
      .Add("model", order.model.str())
      .Add("version", order.version)
      .Add("fencing_number", order.fencing_number)
      .Add("orders_before", order.orders_before)
      .Info();
  client_.Call(order.address, hooks_.encode_order(order, name_),
               [this, order](int status, const std::string&) {
                 const auto result = hooks_.decode_order_result(status);
                 LogLine("node.weights_order_end")
                     .Add("upstream", order.upstream.str())
                     .Add("version", order.version)
                     .Add("status", status)
                     .Add("end", fleet::WeightsOrderResultName(result))
                     .Info();
                 coordinator_.OnOrderResult(order.upstream, result,
                                            loop_.Now());
               });
}

void WeightsController::SendCheck(const fleet::WeightsCheck& check) {
  client_.Call(check.address, hooks_.encode_check(check),
               [this, check](int status, const std::string& body) {
                 if (status != 200)
                   return;  // the next check is due soon
                 const auto report = hooks_.decode_report(check.model, body);
                 if (report) {
                   coordinator_.OnReport(check.upstream, check.model, *report,
                                         loop_.Now());
                 }
               });
}

}  // namespace endivecart::node
