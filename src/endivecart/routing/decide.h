#ifndef ENDIVECART_ROUTING_DECIDE_H_
#define ENDIVECART_ROUTING_DECIDE_H_

#include <span>

#include "endivecart/routing/routing_values.h"

namespace endivecart::routing {

// Chooses the upstream and the source of the prompt's prefix with the lowest
// predicted time to first token. A pure function: no clock, I/O or randomness.
// Among choices with about equal predictions the one that ranks highest for the
// request's affinity wins, so that all hosts send the same prompt to the same
// upstream and spread different prompts.
Result<Decision, RoutingError> Decide(const RouteRequest& request,
                                      std::span<const UpstreamView> upstreams);

// Baselines for experiments, with the same eligibility checks. `turn` is a
// counter that selects the next upstream.
Result<Decision, RoutingError> DecideLeastLoaded(
    const RouteRequest& request,
    std::span<const UpstreamView> upstreams);
Result<Decision, RoutingError> DecideRoundRobin(
    const RouteRequest& request,
    std::span<const UpstreamView> upstreams,
    std::uint64_t turn);

}  // namespace endivecart::routing

#endif  // ENDIVECART_ROUTING_DECIDE_H_
