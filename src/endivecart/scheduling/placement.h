#ifndef ENDIVECART_SCHEDULING_PLACEMENT_H_
#define ENDIVECART_SCHEDULING_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/estimates/estimates.h"
#include "endivecart/scheduling/prompt.h"

namespace endivecart::scheduling {

using estimates::CacheOdds;

// An upstream to which a request may go, with its known load.
struct Candidate {
  UpstreamId id;
  DomainId domain;
  bool is_near = false;      // in this host's failure domain
  bool is_suspect = false;   // silent, or failed recently
  bool has_capacity = true;  // for this request; see HasCapacityFor()
  int slots = 1;
  int requests = 0;                // in progress there, of all hosts
  int own_requests = 0;            // of these, of this host
  std::int64_t prompt_tokens = 0;  // not yet prefilled, of all hosts
  // Cache that the requests in progress will have used when they end.
  std::int64_t held_tokens = 0;
  double latency_ms =
      0;  // recent mean of requests without a prompt; 0: unknown
  // Requests in progress that it sustains, if that is known to be a limit.
  std::optional<double> sustained;

  bool operator==(const Candidate&) const = default;
};

struct PlacementChoice {
  std::size_t index = 0;  // of the candidate
  // The candidate that likely caches the shared parts; nullopt if it is the
  // chosen one.
  std::optional<std::size_t> home;
  double expected_wait_ms = 0;
  estimates::FirstEventPrediction prediction;  // of a prompt

  bool operator==(const PlacementChoice&) const = default;
};

// Returns all candidates' indices in rendezvous-hash order for `key`, which is
// the same on every host. The first one is the key's home. Few keys move when a
// candidate is added or removed.
std::vector<std::size_t> RankByKey(const std::vector<Candidate>& candidates,
                                   const std::string& key);

// What is expected of a prompt at one engine.
struct Prospect {
  estimates::FirstEventPrediction first_event;
  double gap_ms = 0;  // between events of all streams there

  bool operator==(const Prospect&) const = default;
};

// A prompt to be placed.
struct PlacementTask {
  const Prompt* prompt = nullptr;
  std::string cache_label;
  // Engines to which this host has sent such a prompt lately.
  std::vector<UpstreamId> sent_before;
  std::optional<double> time_left_ms;  // until the latency target
  double gap_target_ms = 0;            // 0: none
  // `home`: the first home of the shared prefix; maybe the candidate itself.
  std::function<Prospect(const Candidate&, CacheOdds, const Candidate& home)>
      predict;
  std::uint64_t random = 0;
};

// Returns the probability that the first event is there in time and that the
// gaps between events are within their target; 1 if there are no targets.
double ProbabilityOnTime(const Prospect& prospect, const PlacementTask& task);

// Places a prompt where it is most likely on time; if that differs little,
// where it delays itself and others least. Considered are the homes of its
// shared prefix, which likely cache it, engines to which this host has sent it,
// and a few others with capacity, drawn by `random`: hosts learn of each
// other's load with a delay, so if they took the best candidate of all, every
// host would choose the same one until the next update. Returns nullopt if no
// candidate has capacity.
std::optional<PlacementChoice> PlacePrompt(
    const std::vector<Candidate>& candidates,
    const PlacementTask& task);

// Number of engines considered for one prompt, if as many have capacity; and
// those to which this host has sent such a prompt.
inline constexpr std::size_t kConsideredEngines = 4;

// Returns the tokens of an engine's memory that are left for more prompts; may
// be negative. Beyond this an engine evicts the cache of returning prompts and
// finally preempts running ones, which must then be prefilled again; in a burst
// that increases the load further.
std::int64_t FreeTokens(const Candidate& candidate, std::int64_t cache_tokens);
// Returns whether an engine has capacity for one more prompt of `tokens`. An
// idle engine takes any.
bool HasCapacityFor(const Candidate& candidate,
                    std::int64_t tokens,
                    std::int64_t cache_tokens);
// Places a request without a prompt at random, with probabilities in inverse
// proportion to the expected latency at each candidate (requests per slot, a
// penalty for other failure domains). Such requests are shorter than the time
// after which hosts learn of each other's load. If each host chose the least
// loaded candidate, or one of those with a free slot, all would choose the same
// one until their next poll. `random` has 64 random bits. Returns nullopt if
// there are no candidates.
std::optional<PlacementChoice> PlaceByLoad(
    const std::vector<Candidate>& candidates,
    std::uint64_t random);

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_PLACEMENT_H_
