#ifndef ENDIVECART_NODE_WEIGHTS_CONTROLLER_H_
#define ENDIVECART_NODE_WEIGHTS_CONTROLLER_H_

#include <string>
#include <vector>

#include "endivecart/fleet/fleet.h"
#include "endivecart/node/upstream_client.h"
#include "endivecart/node/voter_node.h"

namespace endivecart::node {

// Internal. Sends upstreams orders to load weights, while this process is the
// confirmed leader.
class WeightsController {
 public:
  // The references must outlive the controller. `name` identifies this process
  // to the upstreams.
  WeightsController(net::EventLoop& loop,
                    UpstreamClient& client,
                    const VoterNodeHooks& hooks,
                    std::string name,
                    fleet::WeightsCoordinator::Options options);

  // Sends the orders and checks that are due. Returns whether
  // QuiescedUpstreams() has changed.
  bool Tick(const fleet::Decisions& decisions,
            const upstreams::UpstreamRegistry& roster,
            bool is_confirmed_leader,
            std::uint64_t term);
  std::vector<UpstreamId> QuiescedUpstreams() const {
    return coordinator_.QuiescedUpstreams();
  }

 private:
  void SendOrder(const fleet::WeightsOrder& order);
  void SendCheck(const fleet::WeightsCheck& check);

  net::EventLoop& loop_;
  UpstreamClient& client_;
  const VoterNodeHooks& hooks_;
  const std::string name_;
  fleet::WeightsCoordinator coordinator_;
  std::vector<UpstreamId> last_quiesced_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_WEIGHTS_CONTROLLER_H_
