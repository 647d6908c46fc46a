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

// One sealed piece, as listed by a store.
struct StoredPiece {
  std::string name;
  std::uint64_t generation = 0;
  PieceOwner owner;
  std::int64_t bytes = 0;
  std::string checksum;  // SHA-256 of the content

  bool operator==(const StoredPiece&) const = default;
};

// The part of a prompt's prefix that one store holds.
struct StoredPrefix {
  std::string store;
  std::vector<StoredPiece> pieces;  // from the start, without gaps
  int tokens = 0;
  std::int64_t bytes = 0;

  bool operator==(const StoredPrefix&) const = default;
};

// Index of the sealed pieces in each store. Filled only from the listings of
// the stores, and rebuilt from them after a restart. Not thread-safe.
class StoreIndex {
 public:
  // Adds a piece listed by a store; replaces an older generation.
  void Add(const std::string& store, const StoredPiece& piece);
  // Removes one piece unless a newer generation is indexed.
  void Drop(const std::string& store,
            const std::string& name,
            std::uint64_t generation);
  // Removes all pieces of a store that failed or was reset.
  void DropStore(const std::string& store);

  // Returns the longest stored prefix of `prompt` at each store that has one.
  // Never returns pieces of another owner under the same name.
  std::vector<StoredPrefix> Find(const PromptPieces& prompt) const;
  // Returns whether any store holds the piece `name`.
  bool Holds(const std::string& name) const;
  std::size_t size() const { return count_; }

 private:
  using Copies = std::map<std::string, StoredPiece>;  // by store

  std::unordered_map<std::string, Copies> pieces_;
  std::size_t count_ = 0;
};

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_STORE_INDEX_H_
