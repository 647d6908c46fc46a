#include "endivecart/gateway/send_invariants.h"

#include <algorithm>

namespace endivecart::gateway {

namespace {

bool WasRolledBack(const SendContext& context) {
  const auto it = context.decisions->moves.find(context.service);
  return it != context.decisions->moves.end() &&
         it->second.state == fleet::MoveState::kRolledBack &&
         it->second.target == context.upstream->software_version;
}

// Returns whether any part is fetched from or saved to another place.
bool UsesCache(const UpstreamRequest& request) {
  const auto is_set = [](const auto& address) { return address.has_value(); };
  return std::any_of(request.fetch_cache_from.begin(),
                     request.fetch_cache_from.end(), is_set) ||
         std::any_of(request.save_cache_to.begin(), request.save_cache_to.end(),
                     is_set);
}

bool CheckSaves(const SendContext& context) {
  const auto& saves = context.request->save_cache_to;
  const auto count =
      std::count_if(saves.begin(), saves.end(),
                    [](const auto& address) { return address.has_value(); });
  return CheckInvariant(
      static_cast<std::size_t>(count) <= context.permitted_saves,
      Invariant::kCacheBlockSealed, context.request->caller->id.str());
}

bool CheckFetches(const SendContext& context) {
  const UpstreamRequest& request = *context.request;
  const std::string& id = request.caller->id.str();
  const auto count = std::count_if(
      request.fetch_cache_from.begin(), request.fetch_cache_from.end(),
      [](const auto& address) { return address.has_value(); });
  bool holds =
      CheckInvariant(static_cast<std::size_t>(count) == context.fetches.size(),
                     Invariant::kCacheBlockSealed, id);
  for (const FetchContext& fetch : context.fetches) {
    holds &= CheckInvariant(fetch.is_known, Invariant::kCacheBlockSealed, id);
    holds &= CheckInvariant(fetch.may_hold, Invariant::kStaysInRegion, id);
    if (fetch.is_store) {
      holds &= CheckInvariant(
          fetch.is_complete && request.fetch_until_ms.has_value(),
          Invariant::kCacheBlockSealed, id);
      continue;
    }
    holds &= CheckInvariant(request.weights_version == fetch.weights_version,
                            Invariant::kVersionIsolation, id);
    holds &=
        CheckInvariant(fetch.is_ready && !fetch.is_cold && !fetch.is_silent,
                       Invariant::kLeavingGetsNoWork, id);
  }
  return holds;
}

bool CheckCache(const SendContext& context) {
  const UpstreamRequest& request = *context.request;
  if (!request.caller->prompt)
    return true;
  const std::string& id = request.caller->id.str();
  const bool is_alone =
      request.cache_label == id;  // not shared with other requests
  const bool versions = CheckInvariant(
      is_alone ? !UsesCache(request)
               : request.weights_version.has_value() &&
                     request.cache_label ==
                         fleet::CacheLabel(request.caller->prompt->model,
                                           *request.weights_version,
                                           context.cache_scope),
      Invariant::kVersionIsolation, id);
  const std::string& isolated = context.cache_scope.isolated_customer.str();
  const bool customers =
      CheckInvariant(isolated.empty() || is_alone ||
                         request.cache_label.ends_with("." + isolated),
                     Invariant::kCustomerIsolation, id);
  const bool sources = is_alone || CheckFetches(context);
  return CheckSaves(context) && versions && customers && sources;
}

}  // namespace

bool CheckSendInvariants(const SendContext& context) {
  const std::string& id = context.request->caller->id.str();
  bool holds = CheckInvariant(
      context.upstream->state == upstreams::UpstreamState::kReady,
      Invariant::kLeavingGetsNoWork, id);
  holds &= CheckInvariant(context.may_repeat || !context.may_have_run,
                          Invariant::kAtMostOnce, id);
  holds &= CheckInvariant(!context.is_cold || context.has_cold_start_permit,
                          Invariant::kUpstreamCapacity, id);
  holds &= CheckInvariant(!context.is_limited || context.has_limit_permit,
                          Invariant::kUpstreamCapacity, id);
  holds &= CheckInvariant(!context.is_brittle || context.has_room,
                          Invariant::kUpstreamCapacity, id);
  holds &=
      CheckInvariant(!context.is_waiting, Invariant::kUpstreamCapacity, id);
  holds &= CheckInvariant(!context.is_quarantined || context.is_trial,
                          Invariant::kQuarantinedPartGetsNoWork, id);
  holds &=
      CheckInvariant(context.caller_was_there, Invariant::kCallerIsThere, id);
  holds &= CheckInvariant(context.request->upstream == context.upstream->id &&
                              context.service == context.upstream->service,
                          Invariant::kAnswerComplete, id);
  if (context.decisions != nullptr) {
    holds &= CheckInvariant(!context.decisions->IsOut(context.upstream->domain),
                            Invariant::kDomainOutGetsNoWork, id);
    holds &= CheckInvariant(!WasRolledBack(context),
                            Invariant::kBadVersionShare, id);
  }
  return CheckCache(context) && holds;
}

bool CheckRelayInvariants(const RelayContext& context) {
  const std::string& id = context.request->id.str();
  bool holds =
      CheckInvariant(!context.was_relayed, Invariant::kRelayedOnce, id);
  holds &= CheckInvariant(context.may_be_there, Invariant::kStaysInRegion, id);
  holds &= CheckInvariant(context.may_repeat || !context.may_have_run,
                          Invariant::kAtMostOnce, id);
  holds &= CheckInvariant(!context.is_quarantined || context.is_trial,
                          Invariant::kQuarantinedPartGetsNoWork, id);
  holds &=
      CheckInvariant(context.caller_was_there, Invariant::kCallerIsThere, id);
  return holds;
}

}  // namespace endivecart::gateway
