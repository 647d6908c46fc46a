#include "endivecart/routing/decide.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace endivecart::routing {

namespace {

// Predictions that differ by less than this count as equal.
constexpr double kEqualMillis = 2.0;
constexpr double kEqualFraction = 0.05;
constexpr double kRemoteDomainMillis = 1.0;  // added across domains

enum class Eligibility { kOtherModel, kTried, kUnavailable, kFull, kEligible };

Eligibility CheckEligibility(const RouteRequest& request,
                             const UpstreamView& upstream) {
  if (upstream.model != request.model ||
      std::find(upstream.versions.begin(), upstream.versions.end(),
                request.version) == upstream.versions.end()) {
    return Eligibility::kOtherModel;
  }
  const bool reachable =
      request.fresh || upstream.domain == request.home_domain;
  const bool tried = std::find(request.excluded.begin(), request.excluded.end(),
                               upstream.id) != request.excluded.end();
  if (upstream.leaving || upstream.domain_out || upstream.breaker_open ||
      !reachable) {
    return Eligibility::kUnavailable;
  }
  if (tried)
    return Eligibility::kTried;
  return upstream.free_slots > 0 ? Eligibility::kEligible : Eligibility::kFull;
}

// Collects the reasons why upstreams were not eligible.
class Refusals {
 public:
  void Add(Eligibility eligibility) {
    tried_ |= eligibility == Eligibility::kTried;
    unavailable_ |= eligibility == Eligibility::kUnavailable;
    full_ |= eligibility == Eligibility::kFull;
  }
  RoutingError Error() const {
    if (full_)
      return {RoutingErrorCode::kNoFreeSlot};
    if (unavailable_)
      return {RoutingErrorCode::kUnavailable};
    return {tried_ ? RoutingErrorCode::kExhausted
                   : RoutingErrorCode::kNoUpstream};
  }

 private:
  bool tried_ = false;
  bool unavailable_ = false;
  bool full_ = false;
};

struct Prediction {
  double ms = 0;
  SourceKind source = SourceKind::kRecompute;
  std::optional<std::size_t> store;
  int cached_tokens = 0;
};

int EngineTokens(const RouteRequest& request, const UpstreamView& upstream) {
  for (const EngineSource& engine : request.engines) {
    if (engine.upstream == upstream.id &&
        engine.cache_generation == upstream.cache_generation) {
      return engine.tokens;
    }
  }
  return 0;
}

Prediction Predict(const RouteRequest& request, const UpstreamView& upstream) {
  const double base =
      upstream.queue_ms + std::max(0.0, upstream.correction_ms) +
      (upstream.domain == request.home_domain ? 0.0 : kRemoteDomainMillis);
  const double per_token = 1.0 / upstream.prefill_tokens_per_ms;
  const int engine_tokens = EngineTokens(request, upstream);
  Prediction best;
  best.cached_tokens = engine_tokens;
  best.source =
      engine_tokens > 0 ? SourceKind::kEngine : SourceKind::kRecompute;
  best.ms = base + (request.prompt_tokens - engine_tokens) * per_token;
  int fallback_tokens = 0;
  for (std::size_t i = 0; i < request.stores.size(); ++i) {
    const StoreSource& store = request.stores[i];
    if (engine_tokens > 0 && store.tokens > fallback_tokens &&
        best.source == SourceKind::kEngine) {
      fallback_tokens = store.tokens;
      best.store = i;
    }
    if (store.tokens <= engine_tokens)
      continue;
    const double remote =
        store.domain == upstream.domain ? 0.0 : kRemoteDomainMillis;
    const double ms = base + store.import_ms + remote +
                      (request.prompt_tokens - store.tokens) * per_token;
    if (ms < best.ms)
      best = {ms, SourceKind::kStore, i, store.tokens};
  }
  return best;
}

// Returns a rank that orders the upstreams differently for each affinity.
std::uint64_t AffinityRank(const RouteRequest& request,
                           const UpstreamView& upstream) {
  return StableHash(upstream.id.str(), request.affinity);
}

// Keeps the two best predictions; affinity orders those that count as equal.
class Ranking {
 public:
  void Add(const RouteRequest& request,
           std::size_t index,
           const UpstreamView& upstream,
           const Prediction& prediction) {
    ++count_;
    const Choice choice{index, prediction, AffinityRank(request, upstream)};
    if (count_ == 1 || Better(choice, best_)) {
      runner_up_ = count_ == 1 ? choice : best_;
      best_ = choice;
    } else if (runner_up_.index == best_.index || Better(choice, runner_up_)) {
      runner_up_ = choice;
    }
  }

  bool empty() const { return count_ == 0; }

  Decision Finish() const {
    Decision decision;
    decision.upstream = best_.index;
    decision.source = best_.prediction.source;
    decision.store = best_.prediction.store;
    decision.cached_tokens = best_.prediction.cached_tokens;
    decision.predicted_ms = best_.prediction.ms;
    decision.candidates = count_;
    decision.runner_up = runner_up_.index;
    decision.runner_up_ms = runner_up_.prediction.ms;
    return decision;
  }

 private:
  struct Choice {
    std::size_t index = 0;
    Prediction prediction;
    std::uint64_t rank = 0;
  };

  static bool Better(const Choice& a, const Choice& b) {
    const double margin =
        std::max(kEqualMillis,
                 kEqualFraction * std::min(a.prediction.ms, b.prediction.ms));
    if (std::abs(a.prediction.ms - b.prediction.ms) <= margin)
      return a.rank > b.rank;
    return a.prediction.ms < b.prediction.ms;
  }

  int count_ = 0;
  Choice best_;
  Choice runner_up_;
};

Decision SimpleDecision(const RouteRequest& request,
                        std::span<const UpstreamView> upstreams,
                        std::size_t index,
                        int candidates) {
  Decision decision;
  decision.upstream = index;
  decision.runner_up = index;
  decision.candidates = candidates;
  decision.predicted_ms =
      upstreams[index].queue_ms +
      request.prompt_tokens / upstreams[index].prefill_tokens_per_ms;
  return decision;
}

}  // namespace

std::string_view SourceKindName(SourceKind kind) {
  switch (kind) {
    case SourceKind::kRecompute:
      return "recompute";
    case SourceKind::kEngine:
      return "engine";
    case SourceKind::kStore:
      return "store";
  }
  return "unknown";
}

std::string_view RoutingErrorName(RoutingErrorCode code) {
  switch (code) {
    case RoutingErrorCode::kNoUpstream:
      return "no-upstream";
    case RoutingErrorCode::kUnavailable:
      return "unavailable";
    case RoutingErrorCode::kNoFreeSlot:
      return "no-free-slot";
    case RoutingErrorCode::kExhausted:
      return "exhausted";
  }
  return "unknown";
}

Result<Decision, RoutingError> Decide(const RouteRequest& request,
                                      std::span<const UpstreamView> upstreams) {
  Refusals refusals;
  Ranking ranking;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const Eligibility eligibility = CheckEligibility(request, upstreams[i]);
    if (eligibility == Eligibility::kEligible) {
      ranking.Add(request, i, upstreams[i], Predict(request, upstreams[i]));
    } else {
      refusals.Add(eligibility);
    }
  }
  if (ranking.empty())
    return Fail(refusals.Error());
  return ranking.Finish();
}

Result<Decision, RoutingError> DecideLeastLoaded(
    const RouteRequest& request,
    std::span<const UpstreamView> upstreams) {
  Refusals refusals;
  int candidates = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const Eligibility eligibility = CheckEligibility(request, upstreams[i]);
    if (eligibility != Eligibility::kEligible) {
      refusals.Add(eligibility);
      continue;
    }
    const auto load = [&](std::size_t at) {
      return std::pair(-upstreams[at].free_slots, upstreams[at].queue_ms);
    };
    if (++candidates == 1 || load(i) < load(best))
      best = i;
  }
  if (candidates == 0)
    return Fail(refusals.Error());
  return SimpleDecision(request, upstreams, best, candidates);
}

Result<Decision, RoutingError> DecideRoundRobin(
    const RouteRequest& request,
    std::span<const UpstreamView> upstreams,
    std::uint64_t turn) {
  Refusals refusals;
  std::vector<std::size_t> eligible;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const Eligibility eligibility = CheckEligibility(request, upstreams[i]);
    if (eligibility == Eligibility::kEligible) {
      eligible.push_back(i);
    } else {
      refusals.Add(eligibility);
    }
  }
  if (eligible.empty())
    return Fail(refusals.Error());
  return SimpleDecision(request, upstreams, eligible[turn % eligible.size()],
                        static_cast<int>(eligible.size()));
}

}  // namespace endivecart::routing
