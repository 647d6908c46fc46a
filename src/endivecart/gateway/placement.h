#ifndef ENDIVECART_GATEWAY_PLACEMENT_H_
#define ENDIVECART_GATEWAY_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/gateway/caller_request.h"

namespace endivecart::gateway {

// An upstream that a request may go to, with what is known of its load.
struct Candidate {
  UpstreamId id;
  DomainId domain;
  bool is_near = false;      // in this host's failure domain
  bool is_doubtful = false;  // silent, or failed lately
  bool has_room = true;      // for the request in question; see HasRoomFor()
  int slots = 1;
  int requests = 0;                // at work there, of all hosts
  std::int64_t prompt_tokens = 0;  // that it has still to read, of all hosts
  // Of cache that the requests there will have taken at their end.
  std::int64_t held_tokens = 0;
  double latency_ms = 0;  // lately, of requests without a prompt

  bool operator==(const Candidate&) const = default;
};

// How fast a service's engines work.
struct SpeedEstimate {
  double prompt_tokens_per_ms = 20;  // until answers tell; see SpeedLearner
  // That one more request costs each other one: a few steps of a batch.
  double ms_per_request = 8;

  bool operator==(const SpeedEstimate&) const = default;
};

struct PlacementChoice {
  std::size_t index = 0;  // of the candidate
  // Cached parts are likely to lie there; nothing if it is the choice itself.
  std::optional<std::size_t> home;
  double expected_wait_ms = 0;

  bool operator==(const PlacementChoice&) const = default;
};

// The order of all candidates for one key that every host computes alike: the
// first is the key's home. Few keys move when a candidate comes or goes.
std::vector<std::size_t> RankByKey(const std::vector<Candidate>& candidates,
                                   const std::string& key);

// The name under which a prompt's shared beginning is placed: its last part
// that other prompts may have too.
std::string SharedKeyOf(const Prompt& prompt);
// Tokens of the parts up to and including that one.
std::int64_t SharedTokensOf(const Prompt& prompt);

// For returning prompts: to a home of the shared beginning, which has it in its
// cache, unless it is so busy that reading the prompt anew elsewhere is sooner
// done. For many hosts that learn of each other's work late: elsewhere means
// one of a few candidates drawn by `random`. Were it the least loaded of all,
// or any with room, every host would choose the same one until it hears of the
// others' choices. Nothing if none of these has room.
std::optional<PlacementChoice> PlacePrompt(
    const std::vector<Candidate>& candidates,
    const Prompt& prompt,
    const std::string& cache_label,
    const SpeedEstimate& speed,
    std::uint64_t random);

// How many engines are considered for one prompt, at most.
inline constexpr std::size_t kConsideredEngines = 4;

// Tokens of an engine's memory that more prompts may take. Beyond this it would
// drop the cache of returning prompts, and in the end put back running ones,
// which are then read a second time: under a burst that feeds itself.
std::int64_t FreeTokens(const Candidate& candidate, std::int64_t cache_tokens);
// Whether an engine has room for one more prompt. One without work takes any.
bool HasRoomFor(const Candidate& candidate,
                std::int64_t tokens,
                std::int64_t cache_tokens);
// Cache that a prompt takes at its end, its likely answer included.
std::int64_t HeldTokensOf(const Prompt& prompt);

// For requests without a prompt: of those with the fewest requests a slot, the
// nearest. `random` breaks ties.
std::optional<PlacementChoice> PlaceByLoad(
    const std::vector<Candidate>& candidates,
    std::uint64_t random);

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_PLACEMENT_H_
