#ifndef ENDIVECART_CACHE_PIECE_H_
#define ENDIVECART_CACHE_PIECE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::cache {

// Prompt tokens in a whole piece.
inline constexpr int kPieceTokens = 4000;
// Bytes of prompt text that stand for one token where no tokenizer is at hand.
inline constexpr int kBytesPerToken = 4;

// Whose blocks these are: part of each piece's name, and checked as fields.
struct PieceOwner {
  CustomerId customer;
  ModelId model;
  VersionId version;

  bool operator==(const PieceOwner&) const = default;
};

// A whole piece of a prompt's prefix. Its name covers the owner and all text
// up to its end.
struct Piece {
  std::string name;  // SHA-256, hexadecimal
  int tokens = 0;

  bool operator==(const Piece&) const = default;
};

// A prompt cut into pieces for one owner.
struct PromptPieces {
  PieceOwner owner;
  std::vector<Piece> pieces;  // whole ones, from the start
  int tokens = 0;             // of the prompt, the rest included

  bool operator==(const PromptPieces&) const = default;
};

// Estimated tokens of a text.
int EstimateTokens(std::string_view text);

PromptPieces CutPrompt(const PieceOwner& owner, std::string_view prompt);

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_PIECE_H_
