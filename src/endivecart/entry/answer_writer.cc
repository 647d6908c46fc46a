#include "endivecart/entry/answer_writer.h"

#include <Poco/Exception.h>

namespace endivecart::entry {

namespace {

constexpr char kRunHeader[] = "Endivecart-Run";

std::string UsageJson(const AnswerUsage& usage) {
  return "{\"prompt_tokens\":" + std::to_string(usage.prompt_tokens) +
         ",\"completion_tokens\":" + std::to_string(usage.completion_tokens) +
         ",\"total_tokens\":" +
         std::to_string(usage.prompt_tokens + usage.completion_tokens) +
         ",\"prompt_tokens_details\":{\"cached_tokens\":" +
         std::to_string(usage.cached_tokens) + "}}";
}

}  // namespace

void SendCallerError(http::ServerResponse& response, const CallerError& error) {
  response.set(kRunHeader, std::string(RunStateName(error.run)));
  if (error.retry_after.count() > 0) {
    const auto seconds = (error.retry_after.count() + 999) / 1000;
    response.set("Retry-After", std::to_string(seconds));
  }
  http::Send(response, error.http_status, "application/json", error.ToJson());
}

AnswerWriter::AnswerWriter(const InferenceRequest& request,
                           const RequestId& id,
                           http::ServerResponse& response)
    : request_(request), id_(id), response_(response) {}

std::string AnswerWriter::Head(std::string_view object) const {
  return "{\"id\":" + JsonQuoted(id_.str()) +
         ",\"object\":" + JsonQuoted(object) +
         ",\"model\":" + JsonQuoted(request_.model.str());
}

std::string AnswerWriter::Choice(std::string_view text,
                                 const std::string& finish_reason,
                                 bool delta) const {
  const std::string reason =
      finish_reason.empty() ? "null" : JsonQuoted(finish_reason);
  std::string content = "\"text\":" + JsonQuoted(text);
  if (is_chat()) {
    content = std::string(delta ? "\"delta\"" : "\"message\"") +
              ":{\"role\":\"assistant\",\"content\":" + JsonQuoted(text) + "}";
  }
  return ",\"choices\":[{\"index\":0," + content +
         ",\"finish_reason\":" + reason + "}]";
}

void AnswerWriter::StartStream() {
  response_.setStatus(Poco::Net::HTTPResponse::HTTP_OK);
  response_.setContentType("text/event-stream");
  response_.set("Cache-Control", "no-store");
  response_.set("X-Request-Id", id_.str());
  response_.set(kRunHeader, std::string(RunStateName(RunState::kRan)));
  response_.setChunkedTransferEncoding(true);
  stream_ = &response_.send();
}

bool AnswerWriter::WriteEvent(const std::string& data) {
  if (caller_gone_)
    return false;
  try {
    if (stream_ == nullptr)
      StartStream();
    *stream_ << "data: " << data << "\n\n" << std::flush;
    caller_gone_ = !stream_->good();
  } catch (const Poco::Exception&) {
    caller_gone_ = true;
  }
  return !caller_gone_;
}

bool AnswerWriter::OnToken(std::string_view text) {
  ++tokens_;
  if (!request_.stream) {
    text_ += text;
    return true;
  }
  return WriteEvent(
      Head(is_chat() ? "chat.completion.chunk" : "text_completion") +
      Choice(text, "", true) + "}");
}

void AnswerWriter::Finish(const std::string& finish_reason,
                          const AnswerUsage& usage,
                          const VersionId& version) {
  CheckInvariant(tokens_ == usage.completion_tokens, Invariant::kAnswerComplete,
                 id_.str());
  const std::string tail = ",\"version\":" + JsonQuoted(version.str()) +
                           ",\"usage\":" + UsageJson(usage) + "}";
  if (request_.stream) {
    WriteEvent(Head(is_chat() ? "chat.completion.chunk" : "text_completion") +
               Choice("", finish_reason, true) + tail);
    WriteEvent("[DONE]");
    return;
  }
  response_.set("X-Request-Id", id_.str());
  response_.set(kRunHeader, std::string(RunStateName(RunState::kRan)));
  http::Send(response_, Poco::Net::HTTPResponse::HTTP_OK, "application/json",
             Head(is_chat() ? "chat.completion" : "text_completion") +
                 Choice(text_, finish_reason, false) + tail);
}

void AnswerWriter::Fail(const CallerError& error) {
  if (stream_ == nullptr) {
    SendCallerError(response_, error);
    return;
  }
  WriteEvent(error.ToJson());
  response_.setKeepAlive(false);
}

}  // namespace endivecart::entry
