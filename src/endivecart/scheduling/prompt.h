#ifndef ENDIVECART_SCHEDULING_PROMPT_H_
#define ENDIVECART_SCHEDULING_PROMPT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::scheduling {

// A part of a prompt. All parts but the last may be shared with other prompts.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

struct Prompt {
  ModelId model;
  std::int64_t input_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The caller's estimate; unreliable.
  std::optional<std::int64_t> expected_output_tokens;
  std::vector<PromptPart> parts;  // in order; may be empty

  bool operator==(const Prompt&) const = default;
};

// Returns the placement key of a prompt's shared prefix: the id of the last
// part that other prompts may share.
std::string SharedKeyOf(const Prompt& prompt);
// Returns the tokens of the parts up to and including that one.
std::int64_t SharedTokensOf(const Prompt& prompt);

// Returns the ids of the parts that other prompts may share.
std::vector<std::string> SharedPartsOf(const Prompt& prompt);
// The same joined by commas, for logs.
std::string SharedPartsText(const Prompt& prompt);

// Returns the tokens of cache that a prompt uses at its end, including its
// expected output.
std::int64_t HeldTokensOf(const Prompt& prompt);

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_PROMPT_H_
