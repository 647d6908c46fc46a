#ifndef ENDIVECART_SCHEDULING_FETCH_CHOICE_H_
#define ENDIVECART_SCHEDULING_FETCH_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::scheduling {

// A place from which a part can be fetched. Transfers from places with the same
// `link` run one after another.
struct FetchSource {
  std::size_t link = 0;
  double wait_ms = 0;   // expected, until the link is free
  double delay_ms = 0;  // before each transfer
  double ms_per_token = 0;

  bool operator==(const FetchSource&) const = default;
};

// A shared part of a prompt, as seen from one engine.
struct FetchablePart {
  std::int64_t tokens = 0;
  bool is_cached = false;  // the engine likely has it in its memory
  std::vector<FetchSource> sources;

  bool operator==(const FetchablePart&) const = default;
};

// The state of an engine and its link.
struct FetchTarget {
  double link_wait_ms = 0;  // expected, until its link is free
  double queue_ms = 0;      // until it can begin to prefill
  double ms_per_token = 0;  // of prefill
  int other_requests = 0;   // in progress there, which prefill delays

  bool operator==(const FetchTarget&) const = default;
};

// One planned transfer, without the wait for its links.
struct FetchTransfer {
  std::size_t part = 0;
  double ms = 0;

  bool operator==(const FetchTransfer&) const = default;
};

// What to fetch; everything else that isn't cached is prefilled.
struct FetchChoice {
  // For each part, the index of the source from which it is fetched.
  std::vector<std::optional<std::size_t>> sources;
  std::vector<FetchTransfer> transfers;
  double transfer_ms = 0;           // until all fetched parts have arrived
  std::int64_t prefill_tokens = 0;  // of shared parts that are prefilled
  std::int64_t fetched_tokens = 0;

  bool HasFetches() const { return fetched_tokens > 0; }
  bool operator==(const FetchChoice&) const = default;
};

// Chooses the parts to fetch such that this request and those at the engine are
// delayed least: a fetch delays only this request, prefill also the others.
// While other prompts are prefilled before this one, transfers cost nothing.
FetchChoice ChooseFetches(const std::vector<FetchablePart>& parts,
                          const FetchTarget& target);

// Returns how long the fetches may take before the engine gives them up and
// prefills the parts. `expected_ms`: how long they should take. `prefill_ms`:
// how long their prefill, and that of the rest of the prompt, would take.
// `time_left`: until the latency target; nullopt if there is none.
//
// A late fetch is given up while prefill still meets the target, if it can, and
// in any case when waiting has cost about as much as prefill: however long the
// transfer would still take, the loss against the better choice is bounded.
Millis FetchTimeLimit(double expected_ms,
                      double prefill_ms,
                      double error_ms,
                      std::optional<Millis> time_left,
                      Millis maximum);

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_FETCH_CHOICE_H_
