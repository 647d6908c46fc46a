#ifndef ENDIVECART_ENTRY_PLACEMENT_H_
#define ENDIVECART_ENTRY_PLACEMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/cache/cache.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/routing/routing.h"

namespace endivecart::entry {

// A request to the dispatcher, the same for all attempts.
struct PlacementRequest {
  RequestId id;
  CustomerId customer;
  std::string class_name;
  ModelId model;
  int priority = 0;
  TimePoint deadline;
  const std::string* prompt = nullptr;      // must outlive the call
  std::optional<VersionId> pinned_version;  // of a started stream
  std::vector<UpstreamId> excluded;
};

// The placement of one attempt. Its slot is held until Finish().
struct Placement {
  UpstreamId upstream;
  std::string url;
  std::uint64_t incarnation = 0;
  DomainId domain;
  VersionId version;
  std::vector<VersionId> loaded;  // versions that the upstream serves
  cache::PromptPieces pieces;
  routing::SourceKind source = routing::SourceKind::kRecompute;
  // The store to import from: the prefix for SourceKind::kStore, what the
  // upstream has evicted for SourceKind::kEngine; empty if there is none.
  std::string store_url;
  cache::StoredPrefix stored;
  int cached_tokens = 0;  // predicted, need not be recomputed
  double predicted_ms = 0;
  std::uint64_t number = 0;  // of this placement, unique in the process
};

enum class PlacementErrorCode {
  kUnknownModel,
  kRateLimited,
  kQueueFull,
  kDeadline,     // cannot be met, or has passed while waiting
  kUnavailable,  // no upstream is eligible
  kStopping,
};

struct PlacementError {
  PlacementErrorCode code;
  Millis retry_after{0};

  bool operator==(const PlacementError&) const = default;
};

std::string_view PlacementErrorName(PlacementErrorCode code);

// The result and measurements of one attempt.
struct AttemptReport {
  bool ok = false;
  bool failed = false;        // caused by the upstream
  double first_token_ms = 0;  // 0: no token
  double max_gap_ms = 0;      // between tokens
  int tokens = 0;
  int prompt_tokens = 0;
  int cached_tokens = 0;  // as reported by the upstream, including imports
  int imported_tokens = 0;
  double import_ms = 0;
  bool empty_answer = false;

  bool operator==(const AttemptReport&) const = default;
};

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_PLACEMENT_H_
