#include "answer_function.h"

#include <algorithm>

#include "endivecart/base/base.h"

namespace standins {

namespace {

constexpr int kMinLength = 8;
constexpr int kLengthRange = 57;

}  // namespace

std::string PromptDigest(std::string_view prompt) {
  return endivecart::Sha256Hex(prompt);
}

int AnswerLength(std::string_view prompt, int max_tokens) {
  const auto hash = endivecart::StableHash(PromptDigest(prompt));
  return std::min(max_tokens,
                  kMinLength + static_cast<int>(hash % kLengthRange));
}

std::string AnswerToken(std::string_view prompt_digest, int position) {
  const auto hash = endivecart::StableHash(
      prompt_digest, static_cast<std::uint64_t>(position) + 1);
  return " t" + std::to_string(hash % 1000000);
}

std::string FullAnswer(std::string_view prompt, int max_tokens) {
  const std::string digest = PromptDigest(prompt);
  std::string answer;
  for (int i = 0; i < AnswerLength(prompt, max_tokens); ++i)
    answer += AnswerToken(digest, i);
  return answer;
}

}  // namespace standins
