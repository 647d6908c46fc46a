#include "endivecart/node/duty_wiring.h"

#include <utility>

namespace endivecart::node {

namespace {

constexpr Millis kProposalTimeout{900};

std::optional<std::vector<CustomerId>> CustomersOf(
    const VoterNodeHooks& hooks,
    const std::string& routing_document) {
  const auto routing = hooks.decode_routing(routing_document);
  if (!routing)
    return std::nullopt;
  std::vector<CustomerId> customers;
  for (const routes::Customer& customer : routing->customers)
    customers.push_back(customer.id);
  return customers;
}

}  // namespace

std::unique_ptr<DutyController> MakeDutyController(
    net::EventLoop& loop,
    const settings::NodeSettings& settings,
    const VoterNodeHooks& hooks,
    fleet::FleetVoter& voter,
    const bool& is_stopping,
    MetricsRegistry& metrics) {
  if (!settings.platform_api || settings.platform_api->duties.empty())
    return nullptr;
  DutyController::Options options;
  options.api = *settings.platform_api;
  options.holder = settings.name;
  options.scheduler.lease = settings.bounds.order_lease;
  // At least the margin for clocks that drift and calls in transit.
  options.scheduler.lease_margin =
      std::max(options.scheduler.lease_margin, settings.bounds.thaw_slack);
  options.scheduler.calls_per_s = options.api.calls_per_s;
  options.scheduler.timing = {settings.bounds.usage_window,
                              settings.bounds.usage_delay};
  DutyController::Hooks duty_hooks;
  duty_hooks.is_confirmed_leader = [&voter, &is_stopping] {
    return !is_stopping && voter.IsConfirmedLeader();
  };
  duty_hooks.term = [&voter] { return voter.term(); };
  duty_hooks.usage_log = [&voter]() -> const duties::UsageLog& {
    return voter.usage_log();
  };
  duty_hooks.propose = [&voter](const wire::FleetCommand& command,
                                fleet::FleetVoter::ProposalCallback done) {
    voter.Propose(command, kProposalTimeout, std::move(done));
  };
  duty_hooks.encode_call = hooks.encode_duty_call;
  duty_hooks.decode_result = hooks.decode_duty_result;
  duty_hooks.decode_customers = [&hooks](const std::string& document) {
    return CustomersOf(hooks, document);
  };
  return std::make_unique<DutyController>(loop, std::move(options),
                                          std::move(duty_hooks), metrics);
}

}  // namespace endivecart::node
