#include "endivecart/gateway/cache_sources.h"

#include <algorithm>
#include <limits>
#include <map>

namespace endivecart::gateway {

namespace {

// An engine that has a part with at least this probability is preferred to a
// store that surely has it, if it is expected to be faster.
constexpr double kMostLikely = 0.8;
// From here on no source is named for a part in the memory of the engine that
// gets the prompt. Naming one in vain costs nothing, and a part that is missed
// has to be prefilled, so this is closer to certainty.
constexpr double kAlmostSure = 0.9;
// The cost of asking an engine for a part that it doesn't have.
constexpr double kMissMs = 1;
// A transfer between failure domains takes longer by this factor.
constexpr double kOtherDomainFactor = 2;
// Prefill is short if it takes no more than the target divided by this. Longer
// prefills would delay all other requests at the engine.
constexpr int kShortPrefillDivisor = 10;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMsAndMbps = 1000;

// Transfers of the parts so far, by link.
using PlannedMs = std::map<std::string, double>;

struct Expected {
  double transfer_ms = 0;
  double wait_ms = 0;

  double end_ms() const { return wait_ms + transfer_ms; }
};

double PrefillMs(const FetchTask& task, std::int64_t tokens) {
  return static_cast<double>(tokens) / task.prompt_tokens_per_ms;
}

double TransferMs(const FetchTask& task,
                  const CacheLink& from,
                  std::int64_t tokens) {
  const double mbps =
      from.mbps > 0 ? std::min(from.mbps, task.engine.mbps) : task.engine.mbps;
  const double ms = static_cast<double>(tokens) *
                        static_cast<double>(task.bytes_per_token) *
                        kBitsPerByte / (mbps * kBitsPerMsAndMbps) +
                    static_cast<double>(from.delay.count());
  return from.domain == task.engine.domain ? ms : ms * kOtherDomainFactor;
}

double LineMs(const CacheLink& link,
              const estimates::TransferLines& lines,
              const PlannedMs& planned,
              TimePoint now) {
  const std::string name = link.address.ToString();
  const auto it = planned.find(name);
  return lines.WaitMs(name, link.group, now) +
         (it == planned.end() ? 0 : it->second);
}

// Returns whether the prompt's first event is expected within the target.
bool MeetsTarget(const FetchTask& task, double fetched_ms) {
  const double first_event_ms = static_cast<double>(task.elapsed.count()) +
                                std::max(task.queue_ms, fetched_ms) +
                                PrefillMs(task, task.own_tokens);
  return first_event_ms <= static_cast<double>(task.latency_target.count());
}

// Returns whether the part is to be prefilled rather than transferred.
bool IsPrefilled(const FetchTask& task,
                 std::int64_t tokens,
                 const Expected& expected) {
  const double prefill_ms = PrefillMs(task, tokens);
  return task.latency_target > Millis(0) && prefill_ms < expected.end_ms() &&
         prefill_ms <= static_cast<double>(task.latency_target.count()) /
                           kShortPrefillDivisor &&
         !MeetsTarget(task, expected.end_ms());
}

}  // namespace

std::string_view SourceKind(const PlannedFetch& fetch, const DomainId& domain) {
  switch (fetch.decision) {
    case FetchDecision::kMemory:
      return "memory";
    case FetchDecision::kPrefill:
      return "prefill";
    case FetchDecision::kFetch:
      break;
  }
  if (!fetch.source->is_store)
    return fetch.source->is_home ? "home" : "engine";
  return fetch.source->link.domain == domain ? "near_store" : "far_store";
}

std::vector<PlannedFetch> ChooseFetches(const FetchTask& task,
                                        const estimates::TransferLines& lines,
                                        TimePoint now) {
  std::vector<PlannedFetch> fetches;
  PlannedMs planned;
  for (const FetchablePart& part : task.parts) {
    PlannedFetch& fetch = fetches.emplace_back();
    fetch.index = part.index;
    if (part.memory_probability >= kAlmostSure) {
      fetch.decision = FetchDecision::kMemory;
      continue;
    }
    const bool is_stored =
        std::any_of(part.sources.begin(), part.sources.end(),
                    [](const CacheSource& source) { return source.is_store; });
    const double engine_line_ms = LineMs(task.engine, lines, planned, now);
    const double prefill_ms = PrefillMs(task, part.tokens);
    double least = std::numeric_limits<double>::infinity();
    Expected expected;
    for (const CacheSource& source : part.sources) {
      if (is_stored && source.probability < kMostLikely)
        continue;
      const Expected here{
          TransferMs(task, source.link, part.tokens),
          std::max(LineMs(source.link, lines, planned, now), engine_line_ms)};
      const double cost = source.probability * here.end_ms() +
                          (1 - source.probability) * (kMissMs + prefill_ms);
      if (cost < least) {
        least = cost;
        expected = here;
        fetch.source = source;
      }
    }
    if (!fetch.source)
      continue;
    if (IsPrefilled(task, part.tokens, expected)) {
      fetch.source.reset();
      continue;
    }
    fetch.decision = FetchDecision::kFetch;
    fetch.transfer_ms = expected.transfer_ms;
    fetch.wait_ms = expected.wait_ms;
    fetch.probability =
        (1 - part.memory_probability) * fetch.source->probability;
    const double planned_ms = fetch.transfer_ms * fetch.probability;
    planned[fetch.source->link.address.ToString()] += planned_ms;
    planned[task.engine.address.ToString()] += planned_ms;
  }
  return fetches;
}

}  // namespace endivecart::gateway
