#ifndef STANDINS_ANSWER_FUNCTION_H_
#define STANDINS_ANSWER_FUNCTION_H_

#include <string>
#include <string_view>

namespace standins {

// The stand-in upstream's answers are a function of the prompt, so that a
// client can check that an answer is complete and belongs to its prompt.

// Returns the number of tokens in the answer to `prompt`, at most
// `max_tokens`.
int AnswerLength(std::string_view prompt, int max_tokens);

// Returns the token at `position`, with its leading space.
std::string AnswerToken(std::string_view prompt_digest, int position);

// Returns the SHA-256 of the prompt in hex, from which the answer's tokens are
// derived.
std::string PromptDigest(std::string_view prompt);

// Returns the text of the complete answer.
std::string FullAnswer(std::string_view prompt, int max_tokens);

}  // namespace standins

#endif  // STANDINS_ANSWER_FUNCTION_H_
