#include "endivecart/cache/engine_hints.h"

#include <algorithm>

namespace endivecart::cache {

namespace {

constexpr std::size_t kMaxLocationsPerPiece = 4;

}  // namespace

EngineHints::EngineHints(std::size_t max_pieces) : max_pieces_(max_pieces) {}

void EngineHints::EvictOldest() {
  while (entries_.size() > max_pieces_) {
    entries_.erase(recency_list_.back());
    recency_list_.pop_back();
  }
}

void EngineHints::RecordPrompt(const PromptPieces& prompt,
                               const UpstreamId& upstream,
                               std::uint64_t cache_generation) {
  for (const Piece& piece : prompt.pieces) {
    const auto [it, added] = entries_.try_emplace(piece.name);
    Entry& entry = it->second;
    if (!added)
      recency_list_.erase(entry.recency);
    recency_list_.push_front(piece.name);
    entry.recency = recency_list_.begin();
    std::erase_if(entry.locations, [&](const Location& location) {
      return location.upstream == upstream;
    });
    entry.locations.insert(entry.locations.begin(),
                           {upstream, cache_generation});
    if (entry.locations.size() > kMaxLocationsPerPiece)
      entry.locations.pop_back();
  }
  EvictOldest();
}

void EngineHints::RemoveUpstream(const UpstreamId& upstream) {
  for (auto& [name, entry] : entries_) {
    std::erase_if(entry.locations, [&](const Location& location) {
      return location.upstream == upstream;
    });
  }
}

std::vector<EngineHint> EngineHints::Find(const PromptPieces& prompt) const {
  std::vector<EngineHint> hints;
  int tokens_before = 0;
  for (const Piece& piece : prompt.pieces) {
    const auto it = entries_.find(piece.name);
    if (it == entries_.end())
      break;
    for (const Location& location : it->second.locations) {
      auto hint = std::find_if(hints.begin(), hints.end(), [&](const auto& h) {
        return h.upstream == location.upstream &&
               h.cache_generation == location.cache_generation;
      });
      if (hint == hints.end() && tokens_before == 0) {
        hints.push_back(
            {location.upstream, location.cache_generation, piece.tokens});
      } else if (hint != hints.end() && hint->tokens == tokens_before) {
        hint->tokens += piece.tokens;
      }
    }
    tokens_before += piece.tokens;
  }
  return hints;
}

}  // namespace endivecart::cache
