#include "endivecart/node/duty_parts.h"

#include <algorithm>
#include <utility>

namespace endivecart::node {

namespace {

constexpr Millis kProposalTimeout{900};
constexpr Millis kPlanInterval{250};

std::uint64_t WallClockMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

std::unique_ptr<DutyParts> DutyParts::Make(
    net::EventLoop& loop,
    const settings::NodeSettings& settings,
    const VoterNodeHooks& hooks,
    MetricsRegistry& metrics) {
  if (!settings.platform_api || settings.platform_api->duties.empty())
    return nullptr;
  return std::unique_ptr<DutyParts>(
      new DutyParts(loop, settings, hooks, metrics));
}

DutyParts::DutyParts(net::EventLoop& loop,
                     const settings::NodeSettings& settings,
                     const VoterNodeHooks& hooks,
                     MetricsRegistry& metrics)
    : loop_(loop),
      settings_(settings),
      hooks_(hooks),
      metrics_(metrics),
      reports_usage_(settings.HasDuty(settings::Duty::kUsage)),
      usage_(settings.bounds.usage_window) {}

void DutyParts::Start(fleet::FleetVoter& voter,
                      const fleet::FleetFeed& feed,
                      const upstreams::UpstreamRegistry& roster,
                      const bool& is_stopping) {
  voter_ = &voter;
  feed_ = &feed;
  roster_ = &roster;
  DutyController::Options options;
  options.api = *settings_.platform_api;
  options.holder = settings_.name;
  options.scheduler.lease = settings_.bounds.order_lease;
  // At least the margin for clocks that drift and calls in transit.
  options.scheduler.lease_margin =
      std::max(options.scheduler.lease_margin, settings_.bounds.thaw_slack);
  options.scheduler.calls_per_s = options.api.calls_per_s;
  options.scheduler.timing = {settings_.bounds.usage_window,
                              settings_.bounds.usage_delay};
  controller_ = std::make_unique<DutyController>(
      loop_, std::move(options), MakeHooks(is_stopping), metrics_);
}

DutyController::Hooks DutyParts::MakeHooks(const bool& is_stopping) {
  DutyController::Hooks hooks;
  hooks.is_confirmed_leader = [this, &is_stopping] {
    return !is_stopping && voter_->IsConfirmedLeader();
  };
  hooks.term = [this] { return voter_->term(); };
  hooks.usage_log = [this]() -> const duties::UsageLog& {
    return voter_->usage_log();
  };
  hooks.propose = [this](const wire::FleetCommand& command,
                         fleet::FleetVoter::ProposalCallback done) {
    voter_->Propose(command, kProposalTimeout, std::move(done));
  };
  hooks.encode_call = hooks_.encode_duty_call;
  hooks.decode_result = hooks_.decode_duty_result;
  hooks.decode_customers =
      [this](const std::string&) -> std::optional<std::vector<CustomerId>> {
    if (!routing_)
      return std::nullopt;
    std::vector<CustomerId> customers;
    for (const routes::Customer& customer : routing_->customers)
      customers.push_back(customer.id);
    return customers;
  };
  hooks.unix_ms = [this](TimePoint now) { return true_time_.UnixMs(now); };
  hooks.usage_counts = [this](std::uint64_t window) {
    return usage_.CountsOf(window);
  };
  hooks.usage_complete = [this](std::uint64_t window, TimePoint now) {
    return usage_.IsComplete(window, now);
  };
  hooks.scale_targets = [this](TimePoint now) { return Targets(now); };
  return hooks;
}

void DutyParts::OnCallerPoll(const HostId& host, const wire::FleetPoll& poll) {
  const TimePoint now = loop_.Now();
  inputs_.OnCallerPoll(host, poll, now);
  if (!reports_usage_)
    return;
  if (poll.unix_ms() > 0)
    true_time_.OnSample(host, poll.unix_ms(), now);
  usage_.OnPoll(host, poll.incarnation(), duties::EntriesOf(poll.usage()),
                poll.usage().complete_until_ms(), now);
}

std::uint64_t DutyParts::TrueUnixMs() const {
  return true_time_.UnixMs(loop_.Now()).value_or(0);
}

void DutyParts::ReadRouting() {
  const fleet::Decisions& decisions = voter_->decisions();
  if (decisions.routing_version == routing_version_)
    return;
  routing_version_ = decisions.routing_version;
  auto routing = hooks_.decode_routing(decisions.routing_document);
  if (routing)
    routing_ = std::move(*routing);
}

void DutyParts::Tick() {
  ReadRouting();
  if (reports_usage_)
    true_time_.OnSample(settings_.host, WallClockMillis(), loop_.Now());
  // Demand is sampled from the first moment of the leadership.
  if (settings_.HasDuty(settings::Duty::kScale) && voter_->IsConfirmedLeader())
    Targets(loop_.Now());
  controller_->Tick(voter_->decisions());
}

const std::vector<duties::ScaleTarget>& DutyParts::Targets(TimePoint now) {
  if (planned_term_ != voter_->term()) {
    planned_term_ = voter_->term();
    planner_.Reset();
    targets_.clear();
    planned_at_ = {};
  }
  if (!routing_ || now < planned_at_ + kPlanInterval)
    return targets_;
  planned_at_ = now;
  targets_ = planner_.Plan(
      inputs_.Collect(
          *routing_, voter_->decisions(), *roster_,
          [this](const UpstreamId& id) { return feed_->TotalLoad(id); }, now),
      now);
  return targets_;
}

}  // namespace endivecart::node
