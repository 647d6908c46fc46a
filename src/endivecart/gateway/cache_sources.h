#ifndef ENDIVECART_GATEWAY_CACHE_SOURCES_H_
#define ENDIVECART_GATEWAY_CACHE_SOURCES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/estimates/estimates.h"
#include "endivecart/settings/settings.h"

namespace endivecart::gateway {

// The link of a store or an engine.
struct CacheLink {
  settings::Endpoint address;
  DomainId domain;
  double mbps = 0;
  Millis delay{0};  // before each transfer
  estimates::LinkGroup group;

  bool operator==(const CacheLink&) const = default;
};

// A store or an engine from which an engine may fetch a part.
struct CacheSource {
  CacheLink link;
  bool is_store = true;
  bool is_home = false;  // of the prompt
  // Whether it holds the part. Stores are known to.
  double probability = 1;
  estimates::CacheEvidence evidence = estimates::CacheEvidence::kNone;

  bool operator==(const CacheSource&) const = default;
};

// A part of a prompt that may be fetched.
struct FetchablePart {
  std::size_t index = 0;  // in the prompt
  std::int64_t tokens = 0;
  // Whether the engine that gets the prompt has it in its memory.
  double memory_probability = 0;
  estimates::CacheEvidence memory_evidence = estimates::CacheEvidence::kNone;
  std::vector<CacheSource> sources;

  bool operator==(const FetchablePart&) const = default;
};

// What decides where the parts of a prompt are fetched from.
struct FetchTask {
  CacheLink engine;  // that gets the prompt
  std::int64_t bytes_per_token = 0;
  double prompt_tokens_per_ms = 1;
  Millis elapsed{0};         // since the request was accepted
  Millis latency_target{0};  // 0: none
  // Until the prefill of this prompt begins.
  double queue_ms = 0;
  std::int64_t own_tokens = 0;  // that no engine has yet
  std::vector<FetchablePart> parts;
};

enum class FetchDecision {
  kMemory,   // the engine most likely has the part
  kPrefill,  // sooner than any transfer
  kFetch,
};

struct PlannedFetch {
  std::size_t index = 0;  // of the part in the prompt
  FetchDecision decision = FetchDecision::kPrefill;
  std::optional<CacheSource> source;  // of a fetch
  double transfer_ms = 0;             // without waiting for links
  double wait_ms = 0;                 // for links
  // Whether the engine has to transfer the part.
  double probability = 0;

  bool operator==(const PlannedFetch&) const = default;
};

// Returns the kind of the source for logs and metrics; `domain` is the one of
// the engine that fetches.
std::string_view SourceKind(const PlannedFetch& fetch, const DomainId& domain);

// Chooses for each part the source from which it is expected first, counting
// the queues at the links of source and engine and the earlier parts of this
// prompt. An engine is preferred to a store only if it most likely holds the
// part: after a miss the part has to be prefilled. A part that is prefilled in
// less time than it is transferred, and quickly relative to the target, is not
// fetched if the transfer would miss the target.
std::vector<PlannedFetch> ChooseFetches(const FetchTask& task,
                                        const estimates::TransferLines& lines,
                                        TimePoint now);

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_CACHE_SOURCES_H_
