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

// Tokens of a prompt that an upstream probably has in its prefix cache.
struct EngineHint {
  UpstreamId upstream;
  std::uint64_t cache_generation = 0;  // as of which it had them
  int tokens = 0;

  bool operator==(const EngineHint&) const = default;
};

// Where this host sent prompts lately. Only hints: nothing but speed depends
// on them. Bounded; the oldest go first. Not thread-safe.
class EngineHints {
 public:
  explicit EngineHints(std::size_t max_pieces);

  void Note(const PromptPieces& prompt,
            const UpstreamId& upstream,
            std::uint64_t cache_generation);
  // Forgets all about an upstream that proved cold.
  void Forget(const UpstreamId& upstream);
  std::vector<EngineHint> Find(const PromptPieces& prompt) const;

 private:
  struct Place {
    UpstreamId upstream;
    std::uint64_t cache_generation = 0;
  };
  struct Entry {
    std::vector<Place> places;
    std::list<std::string>::iterator age;
  };

  void MakeRoom();

  std::size_t max_pieces_;
  std::unordered_map<std::string, Entry> entries_;
  std::list<std::string> by_age_;  // newest first
};

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_ENGINE_HINTS_H_
