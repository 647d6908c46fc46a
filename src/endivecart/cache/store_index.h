#ifndef ENDIVECART_CACHE_STORE_INDEX_H_
#define ENDIVECART_CACHE_STORE_INDEX_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/cache/piece.h"

namespace endivecart::cache {

// One sealed piece, as a store lists it.
struct StoredPiece {
  std::string name;
  std::uint64_t generation = 0;
  PieceOwner owner;
  std::int64_t bytes = 0;
  std::string checksum;  // SHA-256 of the content

  bool operator==(const StoredPiece&) const = default;
};

// The stored part of a prompt's prefix at one store.
struct StoredPrefix {
  std::string store;
  std::vector<StoredPiece> pieces;  // from the start, without a gap
  int tokens = 0;
  std::int64_t bytes = 0;

  bool operator==(const StoredPrefix&) const = default;
};

// Which sealed pieces stand in which store. Fed from the stores' own listings
// only, and rebuilt from them after a restart. Not thread-safe.
class StoreIndex {
 public:
  // Adds or replaces what a store listed.
  void Add(const std::string& store, const StoredPiece& piece);
  // Drops one piece, if it is still of this generation.
  void Drop(const std::string& store,
            const std::string& name,
            std::uint64_t generation);
  // Drops all of a store: it died, or its listing starts anew.
  void DropStore(const std::string& store);

  // The longest stored prefix of `prompt` at each store that has any. Pieces
  // of another owner under the same name are never returned.
  std::vector<StoredPrefix> Find(const PromptPieces& prompt) const;
  bool Holds(const std::string& name) const;
  std::size_t size() const { return count_; }

 private:
  using Copies = std::map<std::string, StoredPiece>;  // by store

  std::unordered_map<std::string, Copies> pieces_;
  std::size_t count_ = 0;
};

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_STORE_INDEX_H_
