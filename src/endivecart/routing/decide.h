#ifndef ENDIVECART_ROUTING_DECIDE_H_
#define ENDIVECART_ROUTING_DECIDE_H_

#include <span>

#include "endivecart/routing/routing_values.h"

namespace endivecart::routing {

// Chooses the upstream and the source of the prompt's prefix with the least
// predicted time to first token. Pure: no clock, no I/O, no randomness. Among
// choices that are about equal the one that ranks first for the request's
// affinity wins, so that all hosts send the same prompt to the same place and
// different prompts to different places.
Result<Decision, RoutingError> Decide(const RouteRequest& request,
                                      std::span<const UpstreamView> upstreams);

// Baselines for experiments; same filters, other orders.
Result<Decision, RoutingError> DecideLeastLoaded(
    const RouteRequest& request,
    std::span<const UpstreamView> upstreams);
Result<Decision, RoutingError> DecideRoundRobin(
    const RouteRequest& request,
    std::span<const UpstreamView> upstreams,
    std::uint64_t turn);

}  // namespace endivecart::routing

#endif  // ENDIVECART_ROUTING_DECIDE_H_
