#ifndef ENDIVECART_NODE_DUTY_PARTS_H_
#define ENDIVECART_NODE_DUTY_PARTS_H_

#include <memory>
#include <optional>
#include <vector>

#include "endivecart/node/duty_controller.h"
#include "endivecart/node/duty_inputs.h"
#include "endivecart/node/voter_node.h"

namespace endivecart::node {

// Internal. The parts of a control process that perform duties, if its settings
// name any.
class DutyParts {
 public:
  // Returns null if there are no duties. The references must outlive the parts.
  // `settings` are those at the start.
  static std::unique_ptr<DutyParts> Make(net::EventLoop& loop,
                                         const settings::NodeSettings& settings,
                                         const VoterNodeHooks& hooks,
                                         MetricsRegistry& metrics);
  // Must be called before Tick(). `is_stopping`: whether this process is about
  // to end.
  void Start(fleet::FleetVoter& voter,
             const fleet::FleetFeed& feed,
             const upstreams::UpstreamRegistry& roster,
             const bool& is_stopping);

  // Records a poll of a process that serves callers.
  void OnCallerPoll(const HostId& host, const wire::FleetPoll& poll);
  // Returns the time that processes should use for usage windows; 0 if it isn't
  // known yet.
  std::uint64_t TrueUnixMs() const;
  void Tick();

 private:
  DutyParts(net::EventLoop& loop,
            const settings::NodeSettings& settings,
            const VoterNodeHooks& hooks,
            MetricsRegistry& metrics);

  DutyController::Hooks MakeHooks(const bool& is_stopping);
  void ReadRouting();
  const std::vector<duties::ScaleTarget>& Targets(TimePoint now);

  net::EventLoop& loop_;
  const settings::NodeSettings settings_;
  const VoterNodeHooks& hooks_;
  MetricsRegistry& metrics_;
  const bool reports_usage_;
  fleet::FleetVoter* voter_ = nullptr;
  const fleet::FleetFeed* feed_ = nullptr;
  const upstreams::UpstreamRegistry* roster_ = nullptr;
  duties::TrueTimeEstimator true_time_;
  duties::UsageTable usage_;
  DutyInputs inputs_;
  duties::ScalePlanner planner_;
  std::uint64_t planned_term_ = 0;
  TimePoint planned_at_{};
  std::vector<duties::ScaleTarget> targets_;
  std::uint64_t routing_version_ = 0;
  // Nullopt before the first valid routing configuration.
  routes::RoutingConfigurationPtr routing_;
  std::unique_ptr<DutyController> controller_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_DUTY_PARTS_H_
