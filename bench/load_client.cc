#include "load_client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <limits>
#include <thread>

#include "answer_function.h"

namespace bench {

namespace http = endivecart::http;
using endivecart::Millis;
using Json = Poco::JSON::Object;

namespace {

double MillisSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

Json::Ptr ParseObject(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Json::Ptr>();
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

std::string Body(const CompletionCall& call) {
  std::string body =
      "{\"model\":" + Poco::toJSON(call.model) +
      ",\"stream\":true,\"max_tokens\":" + std::to_string(call.max_tokens);
  if (!call.version.empty())
    body += ",\"version\":" + Poco::toJSON(call.version);
  return body + ",\"prompt\":" + Poco::toJSON(call.prompt) + "}";
}

// State of one streamed answer.
struct StreamedAnswer {
  std::string text;
  bool is_done = false;
  bool has_error = false;
  Clock::time_point last_token;
};

void OnEvent(const std::string& data,
             Clock::time_point intended,
             StreamedAnswer& answer,
             CompletionResult& result) {
  if (data == "[DONE]") {
    answer.is_done = true;
    return;
  }
  const Json::Ptr json = ParseObject(data);
  if (json.isNull() || json->has("error")) {
    answer.has_error = true;
    if (!json.isNull())
      result.error =
          json->getObject("error")->optValue<std::string>("code", "");
    return;
  }
  const auto text =
      json->getArray("choices")->getObject(0)->optValue<std::string>("text",
                                                                     "");
  if (!text.empty()) {
    if (result.tokens++ == 0) {
      result.first_token_ms = MillisSince(intended);
    } else {
      result.max_gap_ms =
          std::max(result.max_gap_ms, MillisSince(answer.last_token));
    }
    answer.last_token = Clock::now();
    answer.text += text;
  }
  const Json::Ptr usage = json->getObject("usage");
  if (usage.isNull())
    return;
  result.prompt_tokens = usage->optValue<int>("prompt_tokens", 0);
  const Json::Ptr details = usage->getObject("prompt_tokens_details");
  result.cached_tokens = details.isNull()
                             ? usage->optValue<int>("cached_tokens", 0)
                             : details->optValue<int>("cached_tokens", 0);
  result.served_version = json->optValue<std::string>("version", "");
}

void ReadStream(std::istream& in,
                const CompletionCall& call,
                Clock::time_point intended,
                CompletionResult& result) {
  constexpr std::string_view kPrefix = "data: ";
  StreamedAnswer answer;
  std::string line;
  while (!answer.is_done && std::getline(in, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (line.starts_with(kPrefix))
      OnEvent(line.substr(kPrefix.size()), intended, answer, result);
  }
  const bool complete = answer.is_done && !answer.has_error;
  const bool matches_prompt =
      answer.text == standins::FullAnswer(call.prompt, call.max_tokens);
  result.ok = complete && matches_prompt;
  if (!result.ok && result.error.empty())
    result.error = complete ? "wrong answer" : "cut";
}

void ReadError(const Poco::Net::HTTPResponse& response,
               std::istream& in,
               CompletionResult& result) {
  std::string body;
  Poco::StreamCopier::copyToString(in, body);
  result.refused = response.get("Endivecart-Run", "") == "not-run";
  const Json::Ptr json = ParseObject(body);
  if (!json.isNull() && json->isObject("error"))
    result.error = json->getObject("error")->optValue<std::string>("code", "");
}

}  // namespace

CompletionResult CallCompletion(const CompletionCall& call,
                                http::ClientPool& pool,
                                Clock::time_point intended) {
  CompletionResult result;
  const auto url = http::ParseUrl(call.url + "/v1/completions");
  auto session = pool.Acquire(*url, Millis(1000));
  if (!session) {
    result.error = "connect";
    return result;
  }
  try {
    (*session)->socket().setReceiveTimeout(http::ToTimespan(call.timeout));
    Poco::Net::HTTPRequest message("POST", url->path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    const std::string body = Body(call);
    message.setContentLength64(static_cast<Poco::Int64>(body.size()));
    message.setContentType("application/json");
    message.set("X-Request-Id", "bench");
    if (!call.api_key.empty())
      message.set("Authorization", "Bearer " + call.api_key);
    if (!call.class_name.empty())
      message.set("Endivecart-Class", call.class_name);
    (*session)->sendRequest(message) << body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& in = (*session)->receiveResponse(response);
    result.status = response.getStatus();
    if (result.status == Poco::Net::HTTPResponse::HTTP_OK) {
      ReadStream(in, call, intended, result);
      in.ignore(std::numeric_limits<std::streamsize>::max());
    } else {
      ReadError(response, in, result);
    }
    if (response.getKeepAlive() && (result.ok || result.refused))
      pool.Release(*url, std::move(*session));
  } catch (const Poco::Exception& e) {
    result.ok = false;
    result.error = e.displayText();
  }
  return result;
}

bool WaitFor(const std::function<bool()>& probe, Millis timeout) {
  const auto end = Clock::now() + timeout;
  while (Clock::now() < end) {
    if (probe())
      return true;
    std::this_thread::sleep_for(Millis(20));
  }
  return probe();
}

bool Control(const std::string& url, const std::string& body) {
  http::CallRequest call;
  call.method = "POST";
  call.url = url + "/control";
  call.body = body;
  const auto reply = http::Call(call);
  return reply && reply->status == 200;
}

double StandinStat(const std::string& url, const std::string& key) {
  http::CallRequest call;
  call.url = url + "/stats";
  const auto reply = http::Call(call);
  const Json::Ptr json = reply ? ParseObject(reply->body) : nullptr;
  return json.isNull() ? 0 : json->optValue<double>(key, 0);
}

}  // namespace bench
