#ifndef ENDIVECART_NODE_DUTY_INPUTS_H_
#define ENDIVECART_NODE_DUTY_INPUTS_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "endivecart/duties/duties.h"
#include "endivecart/fleet/fleet.h"

namespace endivecart::node {

// Internal. What a control process knows of the load of services that are
// scaled: the inputs of the planner.
class DutyInputs {
 public:
  using LoadOf = std::function<wire::UpstreamLoad(const UpstreamId&)>;

  // A server that was silent for longer counts as missing. A domain of which
  // neither servers nor hosts were heard for as long doesn't report.
  static constexpr Millis kSilentAfter{4000};

  // Records a poll of a process that serves callers.
  void OnCallerPoll(const HostId& host,
                    const wire::FleetPoll& poll,
                    TimePoint now);
  // `load_of`: returns the outstanding work of all hosts at an upstream.
  duties::ScaleInputs Collect(const routes::RoutingConfiguration& routing,
                              const fleet::Decisions& decisions,
                              const upstreams::UpstreamRegistry& roster,
                              const LoadOf& load_of,
                              TimePoint now) const;

 private:
  struct Waiting {
    TimePoint reported_at;
    std::vector<wire::WaitingRecord> records;
  };

  duties::ScaledService CollectService(
      const routes::Service& service,
      const fleet::Decisions& decisions,
      const upstreams::UpstreamRegistry& roster,
      const LoadOf& load_of,
      TimePoint now) const;
  bool IsReporting(const DomainId& domain,
                   const upstreams::UpstreamRegistry& roster,
                   TimePoint now) const;

  std::map<HostId, Waiting> waiting_;
  std::map<DomainId, TimePoint> domains_heard_at_;  // by their hosts' polls
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_DUTY_INPUTS_H_
