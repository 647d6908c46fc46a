#include "endivecart/gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include "endivecart/quarantine/quarantine.h"

namespace endivecart::gateway {

namespace {

// Homes of one key: the first, and one that takes over when the first is busy.
constexpr std::size_t kHomesPerKey = 2;
// Another engine than the first home must be faster by this: the first one is
// more likely to cache the shared parts.
constexpr double kNotFirstHomePenaltyMs = 8;
// Beyond the number of requests that an engine sustains, each one more prolongs
// the others' steps, even if it hardly does below.
constexpr double kMsPerExcessRequest = 8;
// The other candidates are drawn at random. Two suffice to avoid busy ones;
// with more, hosts that share the same delayed view would choose the same one.
static_assert(kConsideredEngines == kHomesPerKey + 2);
// Fraction of an engine's memory for running requests; the rest is for the
// cache.
constexpr double kRunningShare = 0.75;
// A suspect upstream is used only if all others are slower by this.
constexpr double kSuspectPenaltyMs = 3000;
// Cost of crossing failure domains, as waiting time, for requests without a
// prompt.
constexpr double kOtherDomainPenaltyMs = 2;
// An upstream whose expected latency exceeds the least by this factor gets no
// request without a prompt.
constexpr double kMaxCostRatio = 10;
// Times of plain requests vary by more than speeds do; a smaller factor is
// hardly evidence.
constexpr double kClearlySlow = 1.5;

// Returns the requests beyond those that the candidate sustains, with one more.
double ExcessRequests(const Candidate& candidate) {
  return candidate.sustained_requests
             ? std::max(0.0,
                        candidate.requests + 1 - *candidate.sustained_requests)
             : 0;
}

// Returns the factor by which work takes longer because of them.
double ExcessFactor(const Candidate& candidate) {
  const double excess = ExcessRequests(candidate);
  return excess == 0
             ? 1
             : 1 + excess / std::max(*candidate.sustained_requests, 1.0);
}

// `prefill_tokens`: of the prompt to be placed.
double EngineCostMs(const Candidate& candidate,
                    double prefill_tokens,
                    const SpeedEstimate& speed) {
  const double factor = candidate.slowness * ExcessFactor(candidate);
  const double queue_ms = static_cast<double>(candidate.prompt_tokens) /
                          speed.prompt_tokens_per_ms * factor;
  const double ms_per_excess_request =
      std::max(0.0, kMsPerExcessRequest - speed.ms_per_request);
  const double load_ms = queue_ms + candidate.requests * speed.ms_per_request +
                         (candidate.is_suspect ? kSuspectPenaltyMs : 0);
  return load_ms + prefill_tokens / speed.prompt_tokens_per_ms * factor +
         ExcessRequests(candidate) * ms_per_excess_request;
}

// Reduces `order` to the homes and a few of the others, drawn by `random`.
void SelectConsidered(std::vector<std::size_t>& order, std::uint64_t random) {
  const std::size_t left = std::min(order.size(), kConsideredEngines);
  for (std::size_t at = kHomesPerKey; at < left; ++at) {
    std::swap(order[at], order[at + random % (order.size() - at)]);
    random = StableHash("", random);
  }
  order.resize(left);
}

// Returns a number in [0, 1) from uniformly distributed bits.
double ToFraction(std::uint64_t random) {
  constexpr int kUnusedBits = 11;  // a double has 53
  return static_cast<double>(random >> kUnusedBits) /
         static_cast<double>(1ULL << (64 - kUnusedBits));
}

// Returns the mean latency of the candidates whose latency is known.
double TypicalLatencyMs(const std::vector<Candidate>& candidates) {
  double sum = 0;
  int known = 0;
  for (const Candidate& candidate : candidates) {
    sum += candidate.latency_ms;
    known += candidate.latency_ms > 0 ? 1 : 0;
  }
  return known == 0 ? 1 : sum / known;
}

double PlainCostMs(const Candidate& candidate, double typical_latency_ms) {
  double latency_ms =
      candidate.latency_ms > 0 ? candidate.latency_ms : typical_latency_ms;
  // The mean latency shows a sudden slowdown late. It includes lasting
  // differences.
  if (candidate.slowness > kClearlySlow)
    latency_ms = std::max(latency_ms, typical_latency_ms * candidate.slowness);
  return std::max(latency_ms, 1.0) *
             (1 + static_cast<double>(candidate.requests) /
                      std::max(candidate.slots, 1)) *
             ExcessFactor(candidate) +
         (candidate.is_near ? 0 : kOtherDomainPenaltyMs) +
         (candidate.is_suspect ? kSuspectPenaltyMs : 0);
}

}  // namespace

std::vector<std::size_t> RankByKey(const std::vector<Candidate>& candidates,
                                   const std::string& key) {
  std::vector<std::uint64_t> weights;
  weights.reserve(candidates.size());
  const std::uint64_t seed = StableHash(key);
  for (const Candidate& candidate : candidates)
    weights.push_back(StableHash(candidate.id.str(), seed));
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return weights[a] > weights[b];
  });
  return order;
}

std::string SharedKeyOf(const Prompt& prompt) {
  if (prompt.parts.empty())
    return "";
  const std::size_t last = prompt.parts.size() - 1;
  return prompt.parts[last == 0 ? 0 : last - 1].id;
}

std::int64_t SharedTokensOf(const Prompt& prompt) {
  std::int64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    tokens += prompt.parts[i].tokens;
  return tokens;
}

std::vector<std::string> SharedPartsOf(const Prompt& prompt) {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    ids.push_back(prompt.parts[i].id);
  return ids;
}

std::string SharedPartsText(const Prompt& prompt) {
  return quarantine::Joined(SharedPartsOf(prompt));
}

std::optional<PlacementChoice> PlacePrompt(
    const std::vector<Candidate>& candidates,
    const Prompt& prompt,
    const std::string& cache_label,
    const SpeedEstimate& speed,
    std::uint64_t random) {
  if (candidates.empty())
    return std::nullopt;
  auto order = RankByKey(candidates, cache_label + "/" + SharedKeyOf(prompt));
  // A suspect upstream is considered only if all are suspect.
  const auto suspect = std::stable_partition(
      order.begin(), order.end(),
      [&](std::size_t index) { return !candidates[index].is_suspect; });
  if (suspect != order.begin())
    order.erase(suspect, order.end());
  SelectConsidered(order, random);
  const auto shared = static_cast<double>(SharedTokensOf(prompt));
  const auto all = static_cast<double>(prompt.input_tokens);
  PlacementChoice choice;
  double least = std::numeric_limits<double>::infinity();
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    const Candidate& candidate = candidates[order[rank]];
    if (!candidate.has_capacity)
      continue;
    const double tokens_to_prefill = rank < kHomesPerKey ? all - shared : all;
    const double rank_penalty = rank == 0 ? 0 : kNotFirstHomePenaltyMs;
    const double cost =
        EngineCostMs(candidate, tokens_to_prefill, speed) + rank_penalty;
    if (cost < least) {
      least = cost;
      choice.index = order[rank];
    }
  }
  if (std::isinf(least))
    return std::nullopt;
  choice.expected_wait_ms = least;
  if (choice.index != order.front())
    choice.home = order.front();
  return choice;
}

bool HasCapacityFor(const Candidate& candidate,
                    std::int64_t tokens,
                    std::int64_t cache_tokens) {
  return cache_tokens <= 0 || candidate.requests == 0 ||
         tokens <= FreeTokens(candidate, cache_tokens);
}

std::int64_t FreeTokens(const Candidate& candidate, std::int64_t cache_tokens) {
  return static_cast<std::int64_t>(kRunningShare *
                                   static_cast<double>(cache_tokens)) -
         candidate.held_tokens;
}

std::int64_t HeldTokensOf(const Prompt& prompt) {
  return prompt.input_tokens +
         prompt.expected_output_tokens.value_or(prompt.max_output_tokens / 2);
}

std::optional<PlacementChoice> PlaceByLoad(
    const std::vector<Candidate>& candidates,
    std::uint64_t random) {
  if (candidates.empty())
    return std::nullopt;
  std::vector<std::pair<double, std::size_t>> by_cost;
  const double typical_latency_ms = TypicalLatencyMs(candidates);
  for (std::size_t at = 0; at < candidates.size(); ++at)
    by_cost.emplace_back(PlainCostMs(candidates[at], typical_latency_ms), at);
  std::sort(by_cost.begin(), by_cost.end());
  std::erase_if(by_cost,
                [limit = by_cost.front().first * kMaxCostRatio](
                    const auto& entry) { return entry.first > limit; });
  double left =
      ToFraction(random) * std::accumulate(by_cost.begin(), by_cost.end(), 0.0,
                                           [](double sum, const auto& entry) {
                                             return sum + 1 / entry.first;
                                           });
  PlacementChoice choice;
  for (const auto& [cost, at] : by_cost) {
    choice.index = at;  // the last one, if rounding leaves a remainder
    choice.expected_wait_ms = cost;
    left -= 1 / cost;
    if (left < 0)
      break;
  }
  return choice;
}

}  // namespace endivecart::gateway
