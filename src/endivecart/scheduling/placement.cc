#include "endivecart/scheduling/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace endivecart::scheduling {

namespace {

// Homes of one key: the first, and one that takes over when the first is busy.
// The other candidates are drawn at random. Two suffice to avoid busy ones;
// with more, hosts that share the same delayed view would choose the same one.
constexpr std::size_t kHomesPerKey = 2;
static_assert(kConsideredEngines == kHomesPerKey + 2);
// An answer in time is worth this much delay of this and other requests.
constexpr double kOnTimeValueMs = 3000;
// Standard deviation of normally distributed errors by their mean size.
constexpr double kDeviationPerMeanError = 1.25;
// Gain for which a prompt leaves its first home: similar prompts then find
// their cache in one place.
constexpr double kMinGainMs = 8;
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

// A candidate that is considered for a prompt.
struct Option {
  std::size_t index = 0;
  CacheOdds odds = CacheOdds::kOther;
};

// Draws up to `count` candidates with capacity from `order`.
void DrawOthers(const std::vector<Candidate>& candidates,
                std::vector<std::size_t> order,
                std::size_t count,
                std::uint64_t random,
                std::vector<Option>& options) {
  for (std::size_t at = 0; at < order.size() && count > 0; ++at) {
    std::swap(order[at], order[at + random % (order.size() - at)]);
    random = StableHash("", random);
    if (!candidates[order[at]].has_capacity)
      continue;
    options.push_back({order[at], CacheOdds::kOther});
    --count;
  }
}

// Returns the candidates with capacity that are considered, the homes first.
std::vector<Option> ConsideredFor(const std::vector<Candidate>& candidates,
                                  const std::vector<std::size_t>& order,
                                  const PlacementTask& task) {
  std::vector<Option> options;
  std::vector<std::size_t> others;
  std::size_t drawn = std::min(order.size(), kConsideredEngines);
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    const Candidate& candidate = candidates[order[rank]];
    const bool was_sent =
        std::find(task.sent_before.begin(), task.sent_before.end(),
                  candidate.id) != task.sent_before.end();
    if (rank >= kHomesPerKey && !was_sent) {
      others.push_back(order[rank]);
    } else if (candidate.has_capacity) {
      options.push_back(
          {order[rank], was_sent ? CacheOdds::kSentBefore : CacheOdds::kHome});
      drawn -= rank < kHomesPerKey ? 1 : 0;
    }
  }
  DrawOthers(candidates, std::move(others), drawn, task.random, options);
  return options;
}

// The delay of this prompt and of those beside it, which wait for its prefill.
// Where the prompt is late anyway, the delay of each of the others counts.
double CostMs(const Prospect& prospect, int requests, double on_time) {
  const estimates::FirstEventPrediction& event = prospect.first_event;
  return event.total_ms() + event.prefill_ms * (1 + (1 - on_time) * requests);
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

// Returns the number of requests beyond which an upstream gets no more done.
double SustainedBy(const Candidate& candidate) {
  const double slots = std::max(candidate.slots, 1);
  return std::min(slots, std::max(candidate.sustained.value_or(slots), 1.0));
}

double PlainCostMs(const Candidate& candidate, double typical_latency_ms) {
  const double latency_ms =
      candidate.latency_ms > 0 ? candidate.latency_ms : typical_latency_ms;
  return std::max(latency_ms, 1.0) *
             (1 + candidate.requests / SustainedBy(candidate)) +
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

double ProbabilityOnTime(const Prospect& prospect, const PlacementTask& task) {
  double probability = 1;
  if (task.time_left_ms) {
    const double slack_ms =
        *task.time_left_ms - prospect.first_event.total_ms();
    const double deviation_ms =
        std::max(prospect.first_event.error_ms, 1.0) * kDeviationPerMeanError;
    probability = std::erfc(-slack_ms / deviation_ms / std::sqrt(2.0)) / 2;
  }
  if (task.gap_target_ms > 0 && prospect.gap_ms > task.gap_target_ms)
    probability *= task.gap_target_ms / prospect.gap_ms;
  return probability;
}

std::optional<PlacementChoice> PlacePrompt(
    const std::vector<Candidate>& candidates,
    const PlacementTask& task) {
  if (candidates.empty())
    return std::nullopt;
  auto order =
      RankByKey(candidates, task.cache_label + "/" + SharedKeyOf(*task.prompt));
  // A suspect upstream is considered only if all are suspect.
  const auto suspect = std::stable_partition(
      order.begin(), order.end(),
      [&](std::size_t index) { return !candidates[index].is_suspect; });
  if (suspect != order.begin())
    order.erase(suspect, order.end());
  PlacementChoice choice;
  double best = -std::numeric_limits<double>::infinity();
  for (const Option& option : ConsideredFor(candidates, order, task)) {
    const Candidate& candidate = candidates[option.index];
    const Prospect prospect =
        task.predict(candidate, option.odds, candidates[order.front()]);
    double on_time = ProbabilityOnTime(prospect, task);
    // Beyond what an engine sustains, all requests there take longer.
    if (candidate.sustained)
      on_time *= std::min(1.0, *candidate.sustained / (candidate.requests + 1));
    const double score = on_time * kOnTimeValueMs -
                         CostMs(prospect, candidate.requests, on_time) -
                         (option.index == order.front() ? 0 : kMinGainMs);
    if (score > best) {
      best = score;
      choice.index = option.index;
      choice.prediction = prospect.first_event;
    }
  }
  if (std::isinf(best))
    return std::nullopt;
  choice.expected_wait_ms = choice.prediction.total_ms();
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

}  // namespace endivecart::scheduling
