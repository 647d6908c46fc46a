#include "endivecart/node/weights_duty.h"

#include <utility>

namespace endivecart::node {

WeightsDuty::WeightsDuty(net::EventLoop& loop,
                         UpstreamCaller& caller,
                         const VoterNodeHooks& hooks,
                         std::string name,
                         fleet::WeightsConductor::Options options)
    : loop_(loop),
      caller_(caller),
      hooks_(hooks),
      name_(std::move(name)),
      conductor_(options) {}

bool WeightsDuty::Tick(const fleet::Decisions& decisions,
                       const upstreams::UpstreamRegistry& roster,
                       bool has_office,
                       std::uint64_t term) {
  const TimePoint now = loop_.Now();
  for (const fleet::WeightsOrder& order :
       conductor_.NextOrders(decisions, roster, has_office, term, now)) {
    SendOrder(order);
  }
  for (const fleet::WeightsCheck& check : conductor_.NextChecks(roster, now))
    SendCheck(check);
  auto resting = conductor_.Resting();
  if (resting == told_resting_)
    return false;
  told_resting_ = std::move(resting);
  return true;
}

void WeightsDuty::SendOrder(const fleet::WeightsOrder& order) {
  LogLine("node.weights_order")
      .Add("upstream", order.upstream.str())
      .Add("model", order.model.str())
      .Add("version", order.version)
      .Add("fencing_number", order.fencing_number)
      .Add("orders_before", order.orders_before)
      .Info();
  caller_.Call(order.address, hooks_.encode_order(order, name_),
               [this, order](int status, const std::string&) {
                 const auto end = hooks_.decode_order_end(status);
                 LogLine("node.weights_order_end")
                     .Add("upstream", order.upstream.str())
                     .Add("version", order.version)
                     .Add("status", status)
                     .Add("end", fleet::WeightsOrderEndName(end))
                     .Info();
                 conductor_.OnOrderEnd(order.upstream, end, loop_.Now());
               });
}

void WeightsDuty::SendCheck(const fleet::WeightsCheck& check) {
  caller_.Call(check.address, hooks_.encode_check(check),
               [this, check](int status, const std::string& body) {
                 if (status != 200)
                   return;  // asked again soon
                 const auto report = hooks_.decode_report(check.model, body);
                 if (report) {
                   conductor_.OnReport(check.upstream, check.model, *report,
                                       loop_.Now());
                 }
               });
}

}  // namespace endivecart::node
