#include "endivecart/scheduling/prompt.h"

#include "endivecart/quarantine/quarantine.h"

namespace endivecart::scheduling {

std::string SharedKeyOf(const Prompt& prompt) {
  if (prompt.parts.empty())
    return "";
  const std::size_t last = prompt.parts.size() - 1;
  return prompt.parts[last == 0 ? 0 : last - 1].id;
}

std::int64_t SharedTokensOf(const Prompt& prompt) {
  std::int64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    tokens += prompt.parts[i].tokens;
  return tokens;
}

std::vector<std::string> SharedPartsOf(const Prompt& prompt) {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    ids.push_back(prompt.parts[i].id);
  return ids;
}

std::string SharedPartsText(const Prompt& prompt) {
  return quarantine::Joined(SharedPartsOf(prompt));
}

std::int64_t HeldTokensOf(const Prompt& prompt) {
  return prompt.input_tokens +
         prompt.expected_output_tokens.value_or(prompt.max_output_tokens / 2);
}

}  // namespace endivecart::scheduling
