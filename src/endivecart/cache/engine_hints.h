#ifndef ENDIVECART_CACHE_ENGINE_HINTS_H_
#define ENDIVECART_CACHE_ENGINE_HINTS_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/cache/piece.h"

namespace endivecart::cache {

// Number of prompt tokens that an upstream probably has in its prefix cache.
struct EngineHint {
  UpstreamId upstream;
  std::uint64_t cache_generation = 0;  // when the tokens were cached
  int tokens = 0;

  bool operator==(const EngineHint&) const = default;
};

// The upstreams to which this host recently sent prompts. A wrong hint costs
// only speed. Holds up to `max_pieces` pieces and evicts the least recently
// recorded. Not thread-safe.
class EngineHints {
 public:
  explicit EngineHints(std::size_t max_pieces);

  void RecordPrompt(const PromptPieces& prompt,
                    const UpstreamId& upstream,
                    std::uint64_t cache_generation);
  // Removes the hints for an upstream whose cache turned out to be cold.
  void RemoveUpstream(const UpstreamId& upstream);
  // Returns the upstreams that probably hold a prefix of `prompt`.
  std::vector<EngineHint> Find(const PromptPieces& prompt) const;

 private:
  struct Location {
    UpstreamId upstream;
    std::uint64_t cache_generation = 0;
  };
  struct Entry {
    std::vector<Location> locations;
    std::list<std::string>::iterator recency;
  };

  void EvictOldest();

  std::size_t max_pieces_;
  std::unordered_map<std::string, Entry> entries_;
  std::list<std::string> recency_list_;  // most recent first
};

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_ENGINE_HINTS_H_
