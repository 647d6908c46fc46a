#ifndef ENDIVECART_ENTRY_ANSWER_WRITER_H_
#define ENDIVECART_ENTRY_ANSWER_WRITER_H_

#include <ostream>
#include <string>
#include <string_view>

#include "endivecart/base/base.h"
#include "endivecart/entry/caller_error.h"
#include "endivecart/entry/inference_request.h"
#include "endivecart/http/http.h"

namespace endivecart::entry {

struct AnswerUsage {
  int prompt_tokens = 0;
  int completion_tokens = 0;
  int cached_tokens = 0;

  bool operator==(const AnswerUsage&) const = default;
};

// Writes the response to one request: as server-sent events while tokens
// arrive, or as one JSON object at the end.
class AnswerWriter {
 public:
  AnswerWriter(const InferenceRequest& request,
               const RequestId& id,
               http::ServerResponse& response);

  // Sends or buffers one token. Returns false once the caller has disconnected.
  bool OnToken(std::string_view text);
  // Ends a complete response.
  void Finish(const std::string& finish_reason,
              const AnswerUsage& usage,
              const VersionId& version);
  // Ends with an error: as an HTTP status if nothing was sent yet, else as an
  // error event without a terminal event.
  void Fail(const CallerError& error);

  int tokens() const { return tokens_; }
  bool caller_gone() const { return caller_gone_; }

 private:
  bool is_chat() const { return request_.kind == InferenceKind::kChat; }
  void StartStream();
  std::string Choice(std::string_view text,
                     const std::string& finish_reason,
                     bool delta) const;
  std::string Head(std::string_view object) const;
  bool WriteEvent(const std::string& data);

  const InferenceRequest& request_;
  RequestId id_;
  http::ServerResponse& response_;
  std::ostream* stream_ = nullptr;
  std::string text_;
  int tokens_ = 0;
  bool caller_gone_ = false;
};

// Sends an error response with its headers.
void SendCallerError(http::ServerResponse& response, const CallerError& error);

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_ANSWER_WRITER_H_
