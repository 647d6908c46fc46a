#include "endivecart/gateway/send_checks.h"

#include <algorithm>

namespace endivecart::gateway {

namespace {

bool WasRolledBack(const SendFacts& facts) {
  const auto it = facts.decisions->moves.find(facts.service);
  return it != facts.decisions->moves.end() &&
         it->second.state == fleet::MoveState::kRolledBack &&
         it->second.target == facts.upstream->software_version;
}

// Cache is named by a label, or taken from elsewhere.
bool UsesCache(const UpstreamRequest& request) {
  const auto is_set = [](const auto& address) { return address.has_value(); };
  return std::any_of(request.fetch_cache_from.begin(),
                     request.fetch_cache_from.end(), is_set) ||
         std::any_of(request.save_cache_to.begin(), request.save_cache_to.end(),
                     is_set);
}

bool CheckCache(const SendFacts& facts) {
  const UpstreamRequest& request = *facts.request;
  if (!request.caller->prompt)
    return true;
  const std::string& id = request.caller->id.str();
  const bool is_alone = request.cache_label == id;  // shared with no request
  const bool versions = CheckInvariant(
      is_alone ? !UsesCache(request)
               : request.weights_version.has_value() &&
                     request.cache_label ==
                         fleet::CacheLabel(request.caller->prompt->model,
                                           *request.weights_version,
                                           facts.isolated_customer),
      Invariant::kVersionIsolation, id);
  const bool customers = CheckInvariant(
      facts.isolated_customer.empty() || is_alone ||
          request.cache_label.ends_with("." + facts.isolated_customer.str()),
      Invariant::kCustomerIsolation, id);
  return versions && customers;
}

}  // namespace

bool CheckSend(const SendFacts& facts) {
  const std::string& id = facts.request->caller->id.str();
  bool holds =
      CheckInvariant(facts.upstream->state == upstreams::UpstreamState::kReady,
                     Invariant::kLeavingGetsNoWork, id);
  holds &= CheckInvariant(facts.may_repeat || !facts.may_have_run,
                          Invariant::kAtMostOnce, id);
  holds &= CheckInvariant(!facts.is_cold || facts.took_cold_share,
                          Invariant::kUpstreamCapacity, id);
  holds &= CheckInvariant(facts.request->upstream == facts.upstream->id &&
                              facts.service == facts.upstream->service,
                          Invariant::kAnswerComplete, id);
  if (facts.decisions != nullptr) {
    holds &= CheckInvariant(!facts.decisions->IsOut(facts.upstream->domain),
                            Invariant::kDomainOutGetsNoWork, id);
    holds &=
        CheckInvariant(!WasRolledBack(facts), Invariant::kBadVersionShare, id);
  }
  return CheckCache(facts) && holds;
}

}  // namespace endivecart::gateway
