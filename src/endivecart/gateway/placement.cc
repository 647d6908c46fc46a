#include "endivecart/gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace endivecart::gateway {

namespace {

// Homes of one key: the first, and one that takes over when it is busy.
constexpr std::size_t kHomes = 2;
// The others are drawn. Two are enough to avoid the busy ones; more would make
// hosts with the same late news choose alike.
static_assert(kConsideredEngines == kHomes + 2);
// Of an engine's memory, for running requests; the rest is for the cache.
constexpr double kRunningShare = 0.75;
// A doubtful upstream is used only if all others are this much slower.
constexpr double kDoubtPenaltyMs = 3000;
// What crossing failure domains costs, in waiting time, with plain requests.
constexpr double kFarPenaltyMs = 2;

double LoadMs(const Candidate& candidate, const SpeedEstimate& speed) {
  return static_cast<double>(candidate.prompt_tokens) /
             speed.prompt_tokens_per_ms +
         candidate.requests * speed.ms_per_request +
         (candidate.is_doubtful ? kDoubtPenaltyMs : 0);
}

// Leaves the homes and a few of the others, drawn by `random`.
void Draw(std::vector<std::size_t>& order, std::uint64_t random) {
  const std::size_t left = std::min(order.size(), kConsideredEngines);
  for (std::size_t at = kHomes; at < left; ++at) {
    std::swap(order[at], order[at + random % (order.size() - at)]);
    random = StableHash("", random);
  }
  order.resize(left);
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

std::optional<PlacementChoice> PlacePrompt(
    const std::vector<Candidate>& candidates,
    const Prompt& prompt,
    const std::string& cache_label,
    const SpeedEstimate& speed,
    std::uint64_t random) {
  if (candidates.empty())
    return std::nullopt;
  auto order = RankByKey(candidates, cache_label + "/" + SharedKeyOf(prompt));
  // A doubtful upstream is considered only if all are doubtful.
  const auto doubtful = std::stable_partition(
      order.begin(), order.end(),
      [&](std::size_t index) { return !candidates[index].is_doubtful; });
  if (doubtful != order.begin())
    order.erase(doubtful, order.end());
  Draw(order, random);
  const auto shared = static_cast<double>(SharedTokensOf(prompt));
  const auto all = static_cast<double>(prompt.input_tokens);
  PlacementChoice choice;
  double least = std::numeric_limits<double>::infinity();
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    const Candidate& candidate = candidates[order[rank]];
    if (!candidate.has_room)
      continue;
    const double to_read = rank < kHomes ? all - shared : all;
    const double first_bonus = rank == 0 ? 0 : speed.ms_per_request;
    const double cost = LoadMs(candidate, speed) +
                        to_read / speed.prompt_tokens_per_ms + first_bonus;
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

bool HasRoomFor(const Candidate& candidate,
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
  PlacementChoice choice;
  double least = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::size_t at = (i + random) % candidates.size();
    const Candidate& candidate = candidates[at];
    const double service_ms = std::max(candidate.latency_ms, 1.0);
    const double cost =
        service_ms * (1 + static_cast<double>(candidate.requests) /
                              std::max(candidate.slots, 1)) +
        (candidate.is_near ? 0 : kFarPenaltyMs) +
        (candidate.is_doubtful ? kDoubtPenaltyMs : 0);
    if (cost < least) {
      least = cost;
      choice.index = at;
    }
  }
  choice.expected_wait_ms = least;
  return choice;
}

}  // namespace endivecart::gateway
