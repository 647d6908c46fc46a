#ifndef ENDIVECART_GATEWAY_PLACEMENT_H_
#define ENDIVECART_GATEWAY_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/estimates/estimates.h"
#include "endivecart/gateway/caller_request.h"

namespace endivecart::gateway {

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
  // Time of work there relative to the service's typical upstream.
  double slowness = 1;
  // Requests in progress from which on more of them get no more work done.
  std::optional<double> sustained_requests;

  bool operator==(const Candidate&) const = default;
};

// Estimated speed of a service's engines.
struct SpeedEstimate {
  double prompt_tokens_per_ms = 20;  // initial value; see PrefillRateEstimator
  // Delay that one more request causes to each other one; see UpstreamSpeeds.
  double ms_per_request = estimates::kInitialMsPerRequest;

  bool operator==(const SpeedEstimate&) const = default;
};

struct PlacementChoice {
  std::size_t index = 0;  // of the candidate
  // The candidate that likely caches the shared parts; nullopt if it is the
  // chosen one.
  std::optional<std::size_t> home;
  double expected_wait_ms = 0;

  bool operator==(const PlacementChoice&) const = default;
};

// Returns all candidates' indices in rendezvous-hash order for `key`, which is
// the same on every host. The first one is the key's home. Few keys move when a
// candidate is added or removed.
std::vector<std::size_t> RankByKey(const std::vector<Candidate>& candidates,
                                   const std::string& key);

// Returns the placement key of a prompt's shared prefix: the id of the last
// part that other prompts may share.
std::string SharedKeyOf(const Prompt& prompt);
// Returns the tokens of the parts up to and including that one.
std::int64_t SharedTokensOf(const Prompt& prompt);

// Returns the ids of the parts that other prompts may share.
std::vector<std::string> SharedPartsOf(const Prompt& prompt);
// The same joined by commas, for logs.
std::string SharedPartsText(const Prompt& prompt);

// Places a prompt at a home of its shared prefix, which likely caches it,
// unless that home is so busy that prefilling the prompt elsewhere finishes
// sooner. The alternatives are a few candidates drawn by `random`: hosts learn
// of each other's load with a delay, so if they took the least loaded candidate
// of all, or any with capacity, every host would choose the same one until the
// next update. Returns nullopt if none of the considered candidates has
// capacity.
std::optional<PlacementChoice> PlacePrompt(
    const std::vector<Candidate>& candidates,
    const Prompt& prompt,
    const std::string& cache_label,
    const SpeedEstimate& speed,
    std::uint64_t random);

// Maximum number of engines considered for one prompt.
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
// Returns the tokens of cache that a prompt uses at its end, including its
// expected output.
std::int64_t HeldTokensOf(const Prompt& prompt);

// Places a request without a prompt at random, with probabilities in inverse
// proportion to the expected latency at each candidate (requests per slot,
// speed, a penalty for other failure domains). Such requests are shorter than
// the time after which hosts learn of each other's load. If each host chose the
// least loaded candidate, or one of those with a free slot, all would choose
// the same one until their next poll. `random` has 64 random bits. Returns
// nullopt if there are no candidates.
std::optional<PlacementChoice> PlaceByLoad(
    const std::vector<Candidate>& candidates,
    std::uint64_t random);

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_PLACEMENT_H_
