#include "endivecart/entry/inference_request.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <utility>

namespace endivecart::entry {

namespace {

using Object = Poco::JSON::Object;

constexpr int kDefaultMaxTokens = 16;
constexpr int kMaxMaxTokens = 32768;
constexpr int kMaxJsonDepth = 16;

auto BadRequest(const std::string& place, const std::string& reason) {
  return Fail(CallerError{400, "bad_request",
                          place.empty() ? reason : place + ": " + reason,
                          RunState::kNotRun, Millis(0)});
}

Result<std::string, CallerError> StringField(const Object& object,
                                             const std::string& key,
                                             const std::string& place) {
  const Poco::Dynamic::Var value = object.get(key);
  if (value.isEmpty())
    return BadRequest(place, "is missing");
  if (!value.isString())
    return BadRequest(place, "must be a string");
  return value.convert<std::string>();
}

Result<std::string, CallerError> JoinMessages(const Object& object) {
  const auto messages = object.getArray("messages");
  if (messages.isNull() || messages->empty())
    return BadRequest("messages", "must be a list with at least one message");
  std::string prompt;
  for (std::size_t i = 0; i < messages->size(); ++i) {
    const std::string place = "messages." + std::to_string(i);
    const auto message = messages->getObject(static_cast<unsigned>(i));
    if (message.isNull())
      return BadRequest(place, "must be an object");
    const auto role = StringField(*message, "role", place + ".role");
    if (!role)
      return Fail(role.error());
    const auto content = StringField(*message, "content", place + ".content");
    if (!content)
      return Fail(content.error());
    prompt += "<|" + *role + "|>\n" + *content + "\n";
  }
  return prompt;
}

Result<int, CallerError> MaxTokens(const Object& object) {
  const Poco::Dynamic::Var value = object.get("max_tokens");
  if (value.isEmpty())
    return kDefaultMaxTokens;
  const std::string range =
      "must be from 1 to " + std::to_string(kMaxMaxTokens);
  if (!value.isInteger() || value.isBoolean())
    return BadRequest("max_tokens", range);
  const auto number = value.convert<std::int64_t>();
  if (number < 1 || number > kMaxMaxTokens)
    return BadRequest("max_tokens", range);
  return static_cast<int>(number);
}

Result<InferenceRequest, CallerError> Read(InferenceKind kind,
                                           const Object& object) {
  InferenceRequest request;
  request.kind = kind;
  const auto model = StringField(object, "model", "model");
  if (!model)
    return Fail(model.error());
  request.model = ModelId(*model);
  auto prompt = kind == InferenceKind::kChat
                    ? JoinMessages(object)
                    : StringField(object, "prompt", "prompt");
  if (!prompt)
    return Fail(prompt.error());
  if (prompt->empty())
    return BadRequest("prompt", "must not be empty");
  request.prompt = std::move(*prompt);
  const auto max_tokens = MaxTokens(object);
  if (!max_tokens)
    return Fail(max_tokens.error());
  request.max_tokens = *max_tokens;
  const Poco::Dynamic::Var stream = object.get("stream");
  if (!stream.isEmpty() && !stream.isBoolean())
    return BadRequest("stream", "must be true or false");
  request.stream = !stream.isEmpty() && stream.convert<bool>();
  return request;
}

}  // namespace

Result<InferenceRequest, CallerError> ParseInferenceRequest(
    InferenceKind kind,
    const std::string& body) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxJsonDepth);
    const Poco::Dynamic::Var value = parser.parse(body);
    if (value.type() != typeid(Object::Ptr))
      return BadRequest("", "the body must be a JSON object");
    return Read(kind, *value.extract<Object::Ptr>());
  } catch (const Poco::Exception& e) {
    return BadRequest("", "the body is not valid JSON: " + e.message());
  }
}

}  // namespace endivecart::entry
