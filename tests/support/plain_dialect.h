#ifndef TESTS_SUPPORT_PLAIN_DIALECT_H_
#define TESTS_SUPPORT_PLAIN_DIALECT_H_

#include <sstream>
#include <string>

#include "endivecart/gateway/gateway.h"

namespace tests {

// Returns a minimal dialect. "Parts" lists the parts of a prompt, which count
// ten tokens each.
inline endivecart::gateway::Dialect PlainDialect() {
  using namespace endivecart;           // NOLINT(google-build-using-namespace)
  using namespace endivecart::gateway;  // NOLINT(google-build-using-namespace)
  Dialect dialect;
  dialect.decode = [](const net::HttpRequest& request) {
    CallerRequest out;
    out.id = RequestId(std::string(request.fields.Find("Id").value_or("")));
    out.method = request.method;
    out.target = request.target;
    out.path = std::string(request.path());
    out.host = std::string(request.fields.Find("Host").value_or(""));
    out.key = std::string(request.fields.Find("Key").value_or(""));
    if (const auto timeout = request.fields.Find("Timeout"))
      out.caller_timeout = Millis(std::stoi(std::string(*timeout)));
    if (const auto model = request.fields.Find("Model"))
      out.prompt = Prompt{ModelId(std::string(*model)), 100, 10, {}, {}};
    if (const auto parts = request.fields.Find("Parts"); parts && out.prompt) {
      std::istringstream text{std::string(*parts)};
      for (std::string part; std::getline(text, part, ',');)
        out.prompt->parts.push_back({part, 10});
    }
    out.body = request.body;
    out.last_event_id =
        std::string(request.fields.Find("Last-Event").value_or(""));
    out.fields = request.fields;
    out.fields.RemoveHopByHop();
    return std::optional(out);
  };
  dialect.encode = [](const UpstreamRequest& request) {
    net::HttpRequest out;
    out.method = request.caller->method;
    out.target = request.caller->target;
    out.body = request.caller->body;
    out.fields.Add("Host", "u");
    out.fields.Add("Id", request.caller->id.str());
    out.fields.Add("Upstream", request.upstream.str());
    if (!request.last_event_id.empty())
      out.fields.Add("Last-Event", request.last_event_id);
    if (request.caller->prompt && !request.caller->prompt->parts.empty())
      out.fields.Add("Prompt-Parts", SharedPartsText(*request.caller->prompt));
    if (!request.cache_label.empty())
      out.fields.Add("Label", request.cache_label);
    return out;
  };
  dialect.encode_for_relay = [](const CallerRequest& request, Millis time_left,
                                const std::string& last_event_id) {
    net::HttpRequest out;
    out.method = request.method;
    out.target = request.target;
    out.body = request.body;
    out.fields = request.fields;
    out.fields.Set("Timeout", std::to_string(time_left.count()));
    if (!last_event_id.empty())
      out.fields.Set("Last-Event", last_event_id);
    return out;
  };
  dialect.read_answer = [](const net::HttpResponseHead& head) {
    AnswerMetadata metadata;
    metadata.request_id =
        RequestId(std::string(head.fields.Find("Id").value_or("")));
    metadata.is_signed = head.fields.Has("Signed");
    metadata.not_run = head.fields.Has("Not-Run");
    metadata.is_leaving = head.fields.Has("Leaving");
    if (const auto limit = head.fields.Find("Limit"))
      metadata.limits.requests_per_s = std::stod(std::string(*limit));
    if (const auto limit = head.fields.Find("Brittle"))
      metadata.limits.refusals_per_s = std::stod(std::string(*limit));
    if (const auto wait = head.fields.Find("Wait"); wait && head.status == 503)
      metadata.wait_s = std::stod(std::string(*wait));
    return metadata;
  };
  dialect.fields_for_caller = [](const net::HttpFields& fields) {
    net::HttpFields out = fields;
    out.RemoveHopByHop();
    out.Remove("Content-Length");
    return out;
  };
  dialect.refusal = [](int status, const std::string& reason,
                       std::optional<Millis> retry_after, const RequestId& id) {
    auto response = net::MakeResponse(status, "", reason);
    if (!id.empty())
      response.head.fields.Add("Id", id.str());
    if (retry_after)
      response.head.fields.Add("Retry", std::to_string(retry_after->count()));
    return response;
  };
  return dialect;
}

}  // namespace tests

#endif  // TESTS_SUPPORT_PLAIN_DIALECT_H_
