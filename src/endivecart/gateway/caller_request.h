#ifndef ENDIVECART_GATEWAY_CALLER_REQUEST_H_
#define ENDIVECART_GATEWAY_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/gateway/server_load.h"
#include "endivecart/limits/limits.h"
#include "endivecart/net/net.h"

namespace endivecart::gateway {

// A part of a prompt. All parts but the last may be shared with other prompts.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

struct Prompt {
  ModelId model;
  std::int64_t input_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The caller's estimate; unreliable.
  std::optional<std::int64_t> expected_output_tokens;
  std::vector<PromptPart> parts;  // in order; may be empty

  bool operator==(const Prompt&) const = default;
};

// A caller's request, independent of the dialect in which it was received.
struct CallerRequest {
  RequestId id;  // identifies one attempt of one caller
  std::string method;
  std::string host;
  std::string path;                      // without the query
  std::string target;                    // with the query
  std::string key;                       // empty if none was given
  std::optional<Millis> caller_timeout;  // how long the caller waits
  std::optional<Prompt> prompt;
  std::string last_event_id;  // of a stream that is resumed
  // Header fields to forward, without hop-by-hop fields and those that the
  // system itself uses.
  net::HttpFields fields;
  net::Body body;
};

// How a request is sent to one upstream.
struct UpstreamRequest {
  const CallerRequest* caller = nullptr;
  UpstreamId upstream;  // any other upstream refuses the request
  CustomerId customer;  // empty on routes that need no key
  Millis time_left{0};
  std::string last_event_id;  // resumes after this event; empty: from the start
  // For prompts:
  int urgency = 0;  // 0 is the most urgent
  // Only parts that were cached under this label are used.
  std::string cache_label;
  std::optional<std::uint64_t> weights_version;  // refused on mismatch
  // One entry for each part of the prompt, or empty; see CachePlan.
  std::vector<std::optional<settings::Endpoint>> fetch_cache_from;
  std::vector<std::optional<settings::Endpoint>> save_cache_to;
  // Deadline of all fetches, by the control servers' clock.
  std::optional<std::uint64_t> fetch_until_ms;
};

// Metadata of an upstream's answer, without its status.
struct AnswerMetadata {
  RequestId request_id;    // of the answered request
  bool is_signed = false;  // has the upstream's signature
  bool not_run = false;  // the upstream states that it did not run the request
  bool is_leaving = false;  // the upstream ends soon and wants no more requests
  bool has_unrequested_encoding = false;  // the body was re-encoded on the way
  std::optional<std::uint64_t> weights_version;
  std::optional<ServerLoad> server_load;
  bool has_bad_server_load = false;  // a load was sent, but is malformed
  limits::UpstreamLimits limits;
  bool has_bad_limits = false;  // a limit was sent, but is malformed
  // Seconds for which an upstream that refused wants nothing from this host.
  std::optional<double> wait_s;
  bool has_bad_wait = false;  // a wait was sent, but is malformed

  bool operator==(const AnswerMetadata&) const = default;
};

// Translates between the protocol of callers and upstreams and the types of the
// gateway. Makes no decisions.
struct Dialect {
  // Returns nullopt if a mandatory field is missing or malformed.
  std::function<std::optional<CallerRequest>(const net::HttpRequest&)> decode;
  std::function<net::HttpRequest(const UpstreamRequest&)> encode;
  // Encodes a request for another host as its caller would have sent it there,
  // with this much time left, to resume after this event if it isn't empty.
  std::function<net::HttpRequest(const CallerRequest&,
                                 Millis time_left,
                                 const std::string& last_event_id)>
      encode_for_relay;
  std::function<AnswerMetadata(const net::HttpResponseHead&)> read_answer;
  // Returns the header fields of an upstream's answer to forward to the caller.
  std::function<net::HttpFields(const net::HttpFields&)> fields_for_caller;
  // Builds an answer that the system itself gives.
  std::function<net::HttpResponse(int status,
                                  const std::string& reason,
                                  std::optional<Millis> retry_after,
                                  const RequestId& id)>
      refusal;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_CALLER_REQUEST_H_
