#ifndef ENDIVECART_GATEWAY_CALLER_REQUEST_H_
#define ENDIVECART_GATEWAY_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/net/net.h"

namespace endivecart::gateway {

// A piece of a prompt. All but the last may stand in other prompts too.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

struct Prompt {
  ModelId model;
  std::int64_t input_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The caller's own estimate, often far off.
  std::optional<std::int64_t> expected_output_tokens;
  std::vector<PromptPart> parts;  // in order; may be empty

  bool operator==(const Prompt&) const = default;
};

// A caller's request, whatever dialect it came in.
struct CallerRequest {
  RequestId id;  // one attempt of one caller
  std::string method;
  std::string host;
  std::string path;                // without the query
  std::string target;              // with the query
  std::string key;                 // empty: none was given
  std::optional<Millis> patience;  // how long the caller will wait
  std::optional<Prompt> prompt;
  std::string last_event_id;  // of a stream that the caller resumes
  // Fields to pass on: neither the connection's nor the system's own.
  net::HttpFields fields;
  std::string body;
};

// How a request is sent to one upstream.
struct UpstreamRequest {
  const CallerRequest* caller = nullptr;
  UpstreamId upstream;  // any other refuses the request
  CustomerId customer;  // empty: an open route
  Millis time_left{0};
  std::string
      last_event_id;  // to go on after this event; empty: from the start
  // For prompts:
  int urgency = 0;  // 0 is the most urgent
  // Parts that were cached under another label are not used.
  std::string cache_label;
  std::optional<std::uint64_t> weights_version;  // another refuses the request
  // For each part of the prompt, or empty lists. See CachePlan.
  std::vector<std::optional<settings::Endpoint>> fetch_cache_from;
  std::vector<std::optional<settings::Endpoint>> save_cache_to;
  std::optional<std::uint64_t> fetch_until_ms;  // by the servers' clock
};

// What an upstream's answer says beside its status.
struct AnswerFacts {
  RequestId request_id;    // of the request that it answers
  bool is_signed = false;  // bears the upstream's signature
  bool not_run = false;    // the upstream states that it didn't run the request
  bool has_unasked_coding = false;  // not the body as the upstream made it
  std::optional<std::uint64_t> weights_version;

  bool operator==(const AnswerFacts&) const = default;
};

// How callers and upstreams say it: translations without decisions.
struct Dialect {
  // Nothing if the request lacks what every request must have.
  std::function<std::optional<CallerRequest>(const net::HttpRequest&)> decode;
  std::function<net::HttpRequest(const UpstreamRequest&)> encode;
  std::function<AnswerFacts(const net::HttpResponseHead&)> read_answer;
  // Fields of an upstream's answer that the caller gets.
  std::function<net::HttpFields(const net::HttpFields&)> fields_for_caller;
  // An answer of the system's own.
  std::function<net::HttpResponse(int status,
                                  const std::string& reason,
                                  std::optional<Millis> retry_after,
                                  const RequestId& id)>
      refusal;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_CALLER_REQUEST_H_
