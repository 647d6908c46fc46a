#include "endivecart/scheduling/fetch_choice.h"

#include <algorithm>
#include <map>

namespace endivecart::scheduling {

namespace {

// The clocks of hosts and stores differ by some ten ms, and an undelayed fetch
// takes less than this.
constexpr Millis kMinFetchTime{100};
// How much longer than expected a fetch may take, in units of the prefill that
// replaces it. Prefill also delays the other requests at the engine.
constexpr double kPatience = 2;
// Cost of a ms of prefill for each other request at the engine: about half of
// them wait for a token in that time, the others are still queued.
constexpr double kCostToOthers = 0.5;

// The cost, as a delay, of fetching the chosen parts and prefilling the others.
class FetchPlan {
 public:
  FetchPlan(const std::vector<FetchablePart>& parts, const FetchTarget& target)
      : parts_(parts), target_(target) {
    choice_.sources.resize(parts.size());
  }

  const FetchChoice& choice() const { return choice_; }

  void Set(std::size_t part, std::optional<std::size_t> source) {
    choice_.sources[part] = source;
    Update();
  }

  double CostMs() const {
    const double prefill_ms =
        static_cast<double>(choice_.prefill_tokens) * target_.ms_per_token;
    return std::max(target_.queue_ms, choice_.transfer_ms) +
           prefill_ms * (1 + kCostToOthers * target_.other_requests);
  }

 private:
  void Update() {
    choice_.transfers.clear();
    choice_.transfer_ms = 0;
    choice_.prefill_tokens = 0;
    choice_.fetched_tokens = 0;
    std::map<std::size_t, double> free_at_ms;  // by link
    double engine_free_ms = target_.link_wait_ms;
    for (std::size_t i = 0; i < parts_.size(); ++i) {
      const FetchablePart& part = parts_[i];
      if (!choice_.sources[i]) {
        choice_.prefill_tokens += part.is_cached ? 0 : part.tokens;
        continue;
      }
      const FetchSource& source = part.sources[*choice_.sources[i]];
      double& link_free_ms =
          free_at_ms.try_emplace(source.link, source.wait_ms).first->second;
      const double ms = source.delay_ms +
                        static_cast<double>(part.tokens) * source.ms_per_token;
      choice_.transfers.push_back({i, ms});
      link_free_ms = std::max(link_free_ms, engine_free_ms) + ms;
      engine_free_ms = link_free_ms;
      choice_.transfer_ms = std::max(choice_.transfer_ms, link_free_ms);
      choice_.fetched_tokens += part.tokens;
    }
  }

  const std::vector<FetchablePart>& parts_;
  const FetchTarget& target_;
  FetchChoice choice_;
};

// Returns the index of the source from which the part alone arrives first.
std::optional<std::size_t> BestSource(const FetchablePart& part) {
  std::optional<std::size_t> best;
  double least_ms = 0;
  for (std::size_t i = 0; i < part.sources.size(); ++i) {
    const FetchSource& source = part.sources[i];
    const double ms = source.wait_ms + source.delay_ms +
                      static_cast<double>(part.tokens) * source.ms_per_token;
    if (!best || ms < least_ms) {
      best = i;
      least_ms = ms;
    }
  }
  return best;
}

}  // namespace

FetchChoice ChooseFetches(const std::vector<FetchablePart>& parts,
                          const FetchTarget& target) {
  FetchPlan prefill_all(parts, target);
  FetchPlan plan(parts, target);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    prefill_all.Set(i, std::nullopt);
    if (!parts[i].is_cached)
      plan.Set(i, BestSource(parts[i]));
  }
  // Parts that share a link wait for it together, so all are fetched first and
  // those are dropped, from the last, that end sooner by prefill.
  for (std::size_t i = parts.size(); i-- > 0;) {
    const auto source = plan.choice().sources[i];
    if (!source)
      continue;
    const double cost_before = plan.CostMs();
    plan.Set(i, std::nullopt);
    if (plan.CostMs() > cost_before)
      plan.Set(i, source);
  }
  return plan.CostMs() < prefill_all.CostMs() ? plan.choice()
                                              : prefill_all.choice();
}

Millis FetchTimeLimit(double expected_ms,
                      double prefill_ms,
                      double error_ms,
                      std::optional<Millis> time_left,
                      Millis maximum) {
  double limit_ms = expected_ms + kPatience * prefill_ms;
  if (time_left) {
    const double latest_ms =
        static_cast<double>(time_left->count()) - prefill_ms - error_ms;
    if (latest_ms >= expected_ms)
      limit_ms = std::min(limit_ms, latest_ms);
  }
  return std::clamp(Millis(static_cast<Millis::rep>(limit_ms)),
                    std::min(kMinFetchTime, maximum), maximum);
}

}  // namespace endivecart::scheduling
