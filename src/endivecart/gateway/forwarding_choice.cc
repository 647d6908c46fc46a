// Choice of an upstream.

#include <algorithm>
#include <utility>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

void Forwarding::MarkCapacity(std::vector<Candidate>& candidates,
                              const routes::Service* service,
                              int hosts) const {
  if (!request_.prompt || service == nullptr || !service->engine)
    return;
  const std::int64_t cache_tokens = service->engine->cache_tokens;
  const TimePoint now = gateway_.loop_.Now();
  gateway_.capacity_estimator_.Add(Rank(), HeldTokens(), now);
  std::vector<std::int64_t> free_tokens;
  free_tokens.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    candidate.has_capacity =
        HasCapacityFor(candidate, HeldTokens(), cache_tokens);
    free_tokens.push_back(candidate.has_capacity && !candidate.is_suspect
                              ? FreeTokens(candidate, cache_tokens)
                              : 0);
  }
  const auto probabilities =
      gateway_.capacity_estimator_.AdmissionProbabilities(Rank(), free_tokens,
                                                          hosts, now);
  std::uniform_real_distribution<double> draw(0, 1);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].is_suspect && draw(gateway_.random_) >= probabilities[i])
      candidates[i].has_capacity = false;
  }
}

std::int64_t Forwarding::HeldTokens() const {
  return request_.prompt ? HeldTokensOf(*request_.prompt) : 0;
}

int Forwarding::Urgency() const {
  return customer_ ? customer_->priority.value_or(route_.priority)
                   : route_.priority;
}

int Forwarding::Rank() const {
  return RankOf(Urgency(), route_.priority);
}

fleet::CacheScope Forwarding::CacheScopeNow() const {
  if (customer_ != nullptr && gateway_.routes_->IsIsolated(customer_->id))
    return {customer_->id, 0};
  return {CustomerId(), gateway_.cache_generation_};
}

std::vector<Candidate> Forwarding::FindCandidates(
    UpstreamCounts& counts) const {
  UpstreamTracker::Query query;
  query.service = service_;
  query.excluded = tried_;
  if (request_.prompt) {
    query.model = request_.prompt->model;
    query.min_weights = gateway_.MinWeights(query.model);
  }
  query.waits = &gateway_.named_waits_;
  const VersionChoice versions =
      gateway_.moves_.Choose(service_, move_draw_, gateway_.loop_.Now());
  query.only_version = versions.only;
  query.except_version = versions.except;
  query.may_run_in = [this](const DomainId& domain) {
    return IsAllowedIn(domain);
  };
  const auto find = [&] {
    return gateway_.upstreams_.Candidates(query, gateway_.follower_, &counts);
  };
  auto candidates = find();
  if (candidates.empty() && !tried_.empty()) {
    query.excluded.clear();
    candidates = find();
  }
  if (candidates.empty() && query.only_version) {
    // The new version has no upstreams yet.
    query.only_version.reset();
    candidates = find();
  }
  PreferOwnRegion(candidates);
  return candidates;
}

bool Forwarding::IsAllowedIn(const DomainId& domain) const {
  return gateway_.options_.regions.Allows(route_, customer_, domain);
}

// Latency between regions is high: other regions are used only if this one has
// no usable upstream.
void Forwarding::PreferOwnRegion(std::vector<Candidate>& candidates) const {
  const RegionMap& regions = gateway_.options_.regions;
  const std::string& own = regions.RegionOf(gateway_.options_.domain);
  const auto is_here = [&](const Candidate& candidate) {
    return regions.RegionOf(candidate.domain) == own;
  };
  const bool serves = std::any_of(
      candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return is_here(candidate) && !candidate.is_suspect;
      });
  if (serves) {
    std::erase_if(candidates, [&](const Candidate& c) { return !is_here(c); });
  }
}

std::optional<Forwarding::Chosen> Forwarding::ChooseUpstream() {
  auto candidates = FindCandidates(upstream_counts_);
  const routes::Service* service =
      routes_->configuration().FindService(service_);
  const HostRank rank = gateway_.Rank();
  MarkCapacity(candidates, service, rank.hosts);
  gateway_.limits_.SetRank(rank);
  const bool lacks_room = KeepWithinRoom(candidates);
  is_full_ = false;
  time_to_permit_.reset();
  SpeedEstimate speed = gateway_.prefill_rates_.EstimateFor(service_);
  speed.ms_per_request = gateway_.upstreams_.speeds().MsPerRequest(service_);
  while (!candidates.empty()) {
    const auto choice =
        request_.prompt ? PlacePrompt(candidates, *request_.prompt,
                                      CacheScopeNow().isolated_customer.str(),
                                      speed, gateway_.random_())
                        : PlaceByLoad(candidates, gateway_.random_());
    if (!choice) {
      is_full_ = true;
      return std::nullopt;
    }
    const UpstreamId id = candidates[choice->index].id;
    const bool is_cold = gateway_.upstreams_.IsCold(id);
    if (!AcquirePermits(id, is_cold, service, rank)) {
      candidates.erase(candidates.begin() +
                       static_cast<std::ptrdiff_t>(choice->index));
      continue;
    }
    home_.reset();
    if (choice->home)
      home_ = candidates[*choice->home].id;
    pending_prefill_tokens_ = PromptTokens();
    if (request_.prompt && !choice->home)
      pending_prefill_tokens_ -= SharedTokensOf(*request_.prompt);
    tokens_before_first_event_ =
        candidates[choice->index].prompt_tokens + pending_prefill_tokens_;
    const int requests_there = candidates[choice->index].requests;
    if (request_.prompt)
      candidates_ = std::move(candidates);
    return Chosen{id,
                  choice->expected_wait_ms,
                  requests_there,
                  upstream_counts_.ToString(),
                  is_cold,
                  true,
                  true};
  }
  is_full_ = lacks_room;
  if (const auto wait = upstream_counts_.shortest_wait) {
    time_to_permit_ = std::min(time_to_permit_.value_or(*wait), *wait);
    is_full_ |= *wait < MaxWait();
  }
  return std::nullopt;
}

}  // namespace endivecart::gateway
