#ifndef ENDIVECART_CACHE_PIECE_H_
#define ENDIVECART_CACHE_PIECE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::cache {

// Number of prompt tokens in a piece.
inline constexpr int kPieceTokens = 4000;
// Bytes of prompt text counted as one token where no tokenizer is available.
inline constexpr int kBytesPerToken = 4;

// Customer, model and version to which a piece belongs. Covered by the piece's
// name, and also checked field by field.
struct PieceOwner {
  CustomerId customer;
  ModelId model;
  VersionId version;

  bool operator==(const PieceOwner&) const = default;
};

// A complete piece of a prompt's prefix. Its name is a hash of the owner and
// all text up to the end of the piece.
struct Piece {
  std::string name;  // SHA-256, hexadecimal
  int tokens = 0;

  bool operator==(const Piece&) const = default;
};

// A prompt split into pieces for one owner.
struct PromptPieces {
  PieceOwner owner;
  std::vector<Piece> pieces;  // complete ones, from the start
  int tokens = 0;             // of the whole prompt, with the remainder

  bool operator==(const PromptPieces&) const = default;
};

// Returns the estimated number of tokens in `text`.
int EstimateTokens(std::string_view text);

// Splits `prompt` into complete pieces; a shorter remainder belongs to none.
PromptPieces SplitPrompt(const PieceOwner& owner, std::string_view prompt);

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_PIECE_H_
