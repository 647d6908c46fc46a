#ifndef ENDIVECART_ENTRY_INFERENCE_REQUEST_H_
#define ENDIVECART_ENTRY_INFERENCE_REQUEST_H_

#include <string>
#include <string_view>

#include "endivecart/base/base.h"
#include "endivecart/entry/caller_error.h"

namespace endivecart::entry {

enum class InferenceKind { kChat, kCompletion };

// A validated generation request.
struct InferenceRequest {
  InferenceKind kind = InferenceKind::kCompletion;
  ModelId model;
  std::string prompt;  // for chat: all messages with their roles
  int max_tokens = 0;
  bool stream = false;

  bool operator==(const InferenceRequest&) const = default;
};

// Parses the body of /v1/completions or /v1/chat/completions.
Result<InferenceRequest, CallerError> ParseInferenceRequest(
    InferenceKind kind,
    const std::string& body);

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_INFERENCE_REQUEST_H_
