#ifndef ENDIVECART_NODE_WEIGHTS_DUTY_H_
#define ENDIVECART_NODE_WEIGHTS_DUTY_H_

#include <string>
#include <vector>

#include "endivecart/fleet/fleet.h"
#include "endivecart/node/upstream_caller.h"
#include "endivecart/node/voter_node.h"

namespace endivecart::node {

// Internal. The leader's orders to upstreams to load weights.
class WeightsDuty {
 public:
  // All must outlive the duty. `name`: of this process, for the upstreams.
  WeightsDuty(net::EventLoop& loop,
              UpstreamCaller& caller,
              const VoterNodeHooks& hooks,
              std::string name,
              fleet::WeightsConductor::Options options);

  // Gives what is due; true if Resting() has changed.
  bool Tick(const fleet::Decisions& decisions,
            const upstreams::UpstreamRegistry& roster,
            bool has_office,
            std::uint64_t term);
  std::vector<UpstreamId> Resting() const { return conductor_.Resting(); }

 private:
  void SendOrder(const fleet::WeightsOrder& order);
  void SendCheck(const fleet::WeightsCheck& check);

  net::EventLoop& loop_;
  UpstreamCaller& caller_;
  const VoterNodeHooks& hooks_;
  const std::string name_;
  fleet::WeightsConductor conductor_;
  std::vector<UpstreamId> told_resting_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_WEIGHTS_DUTY_H_
