#include "endivecart/cache/piece.h"

namespace endivecart::cache {

int EstimateTokens(std::string_view text) {
  return static_cast<int>((text.size() + kBytesPerToken - 1) / kBytesPerToken);
}

PromptPieces SplitPrompt(const PieceOwner& owner, std::string_view prompt) {
  constexpr std::size_t kPieceBytes =
      static_cast<std::size_t>(kPieceTokens) * kBytesPerToken;
  PromptPieces result{owner, {}, EstimateTokens(prompt)};
  std::string parent;
  for (std::size_t at = 0; at + kPieceBytes <= prompt.size();
       at += kPieceBytes) {
    parent = Sha256HexOfFields({owner.customer.str(), owner.model.str(),
                                owner.version.str(), parent,
                                prompt.substr(at, kPieceBytes)});
    result.pieces.push_back({parent, kPieceTokens});
  }
  return result;
}

}  // namespace endivecart::cache
