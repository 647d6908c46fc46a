#ifndef STANDINS_ANSWER_FUNCTION_H_
#define STANDINS_ANSWER_FUNCTION_H_

#include <string>
#include <string_view>

namespace standins {

// The stand-in upstream's answers are a function of the prompt, so that a
// caller can check each as whole and its own.

// Number of tokens in the answer to a prompt, if not cut by `max_tokens`.
int AnswerLength(std::string_view prompt, int max_tokens);

// The token at `position`, with its leading space.
std::string AnswerToken(std::string_view prompt_digest, int position);

// SHA-256 of the prompt: the key of its answer.
std::string PromptDigest(std::string_view prompt);

// The whole answer.
std::string WholeAnswer(std::string_view prompt, int max_tokens);

}  // namespace standins

#endif  // STANDINS_ANSWER_FUNCTION_H_
