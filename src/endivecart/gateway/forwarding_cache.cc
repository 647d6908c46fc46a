// Cache of a prompt that a send fetches and saves.

#include <utility>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

void Forwarding::PlanCache(UpstreamRequest& out) const {
  if (weights_version_ == 0) {
    // Cache of an unknown weights version must not be shared.
    out.cache_label = request_.id.str();
    return;
  }
  out.weights_version = weights_version_;
  out.cache_label = fleet::CacheLabel(request_.prompt->model, weights_version_,
                                      IsolatedCustomer());
  CachePlan plan = PlanForLabel(out.cache_label);
  KeepPermittedSaves(plan);
  out.save_cache_to = std::move(plan.save);
  out.fetch_cache_from = std::move(plan.fetch);
  out.fetch_until_ms = plan.fetch_until_ms;
  const auto* home = home_ ? gateway_.upstreams_.Find(*home_) : nullptr;
  if (home == nullptr || !out.fetch_cache_from.empty())
    return;
  // The home may have evicted parts from its memory; these are prefilled.
  out.fetch_cache_from.resize(request_.prompt->parts.size());
  for (std::size_t i = 0; i + 1 < out.fetch_cache_from.size(); ++i)
    out.fetch_cache_from[i] = home->last.address;
}

CachePlan Forwarding::PlanForLabel(const std::string& label) const {
  const TimePoint now = gateway_.loop_.Now();
  return gateway_.cache_.Plan(
      *request_.prompt, label,
      [this](const DomainId& domain) { return IsAllowedIn(domain); },
      FetchTimeout(std::chrono::duration_cast<Millis>(now - accepted_at_),
                   route_.latency_target, PrefillTime()),
      now);
}

Millis Forwarding::PrefillTime() const {
  return Millis(static_cast<std::int64_t>(
      static_cast<double>(SharedTokensOf(*request_.prompt)) /
      gateway_.prefill_rates_.EstimateFor(service_).prompt_tokens_per_ms));
}

}  // namespace endivecart::gateway
