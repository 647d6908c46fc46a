#include "endivecart/cache/store_index.h"

namespace endivecart::cache {

void StoreIndex::Add(const std::string& store, const StoredPiece& piece) {
  Copies& copies = pieces_[piece.name];
  const auto [it, added] = copies.try_emplace(store, piece);
  if (added) {
    ++count_;
  } else if (it->second.generation < piece.generation) {
    it->second = piece;
  }
}

void StoreIndex::Drop(const std::string& store,
                      const std::string& name,
                      std::uint64_t generation) {
  const auto it = pieces_.find(name);
  if (it == pieces_.end())
    return;
  const auto copy = it->second.find(store);
  if (copy == it->second.end() || copy->second.generation > generation)
    return;
  it->second.erase(copy);
  --count_;
  if (it->second.empty())
    pieces_.erase(it);
}

void StoreIndex::DropStore(const std::string& store) {
  for (auto it = pieces_.begin(); it != pieces_.end();) {
    count_ -= it->second.erase(store);
    it = it->second.empty() ? pieces_.erase(it) : std::next(it);
  }
}

std::vector<StoredPrefix> StoreIndex::Find(const PromptPieces& prompt) const {
  std::map<std::string, StoredPrefix> found;
  for (std::size_t i = 0; i < prompt.pieces.size(); ++i) {
    const auto it = pieces_.find(prompt.pieces[i].name);
    if (it == pieces_.end())
      break;
    for (const auto& [store, piece] : it->second) {
      StoredPrefix& prefix = found[store];
      if (prefix.pieces.size() != i)
        continue;  // an earlier piece is missing in this store
      const bool same_owner =
          CheckInvariant(piece.owner.customer == prompt.owner.customer,
                         Invariant::kCustomerIsolation,
                         "index entry of another customer") &&
          CheckInvariant(piece.owner == prompt.owner,
                         Invariant::kVersionIsolation,
                         "index entry of another version");
      if (!same_owner)
        continue;
      prefix.store = store;
      prefix.pieces.push_back(piece);
      prefix.tokens += prompt.pieces[i].tokens;
      prefix.bytes += piece.bytes;
    }
  }
  std::vector<StoredPrefix> out;
  for (auto& [store, prefix] : found) {
    if (!prefix.pieces.empty())
      out.push_back(std::move(prefix));
  }
  return out;
}

bool StoreIndex::Holds(const std::string& name) const {
  return pieces_.contains(name);
}

}  // namespace endivecart::cache
