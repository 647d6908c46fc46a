#include "endivecart/cache/engine_hints.h"

#include <algorithm>

namespace endivecart::cache {

namespace {

constexpr std::size_t kMaxPlacesPerPiece = 4;

}  // namespace

EngineHints::EngineHints(std::size_t max_pieces) : max_pieces_(max_pieces) {}

void EngineHints::MakeRoom() {
  while (entries_.size() > max_pieces_) {
    entries_.erase(by_age_.back());
    by_age_.pop_back();
  }
}

void EngineHints::Note(const PromptPieces& prompt,
                       const UpstreamId& upstream,
                       std::uint64_t cache_generation) {
  for (const Piece& piece : prompt.pieces) {
    const auto [it, added] = entries_.try_emplace(piece.name);
    Entry& entry = it->second;
    if (!added)
      by_age_.erase(entry.age);
    by_age_.push_front(piece.name);
    entry.age = by_age_.begin();
    std::erase_if(entry.places, [&](const Place& place) {
      return place.upstream == upstream;
    });
    entry.places.insert(entry.places.begin(), {upstream, cache_generation});
    if (entry.places.size() > kMaxPlacesPerPiece)
      entry.places.pop_back();
  }
  MakeRoom();
}

void EngineHints::Forget(const UpstreamId& upstream) {
  for (auto& [name, entry] : entries_) {
    std::erase_if(entry.places, [&](const Place& place) {
      return place.upstream == upstream;
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
    for (const Place& place : it->second.places) {
      auto hint = std::find_if(hints.begin(), hints.end(), [&](const auto& h) {
        return h.upstream == place.upstream &&
               h.cache_generation == place.cache_generation;
      });
      if (hint == hints.end() && tokens_before == 0) {
        hints.push_back({place.upstream, place.cache_generation, piece.tokens});
      } else if (hint != hints.end() && hint->tokens == tokens_before) {
        hint->tokens += piece.tokens;
      }
    }
    tokens_before += piece.tokens;
  }
  return hints;
}

}  // namespace endivecart::cache
