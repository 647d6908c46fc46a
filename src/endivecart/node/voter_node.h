#ifndef ENDIVECART_NODE_VOTER_NODE_H_
#define ENDIVECART_NODE_VOTER_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "endivecart/duties/duties.h"
#include "endivecart/fleet/fleet.h"
#include "endivecart/net/net.h"
#include "endivecart/node/node_error.h"
#include "endivecart/settings/settings.h"

namespace endivecart::node {

// Encoders and decoders for the HTTP dialect of operators, upstreams and
// stores.
struct VoterNodeHooks {
  std::function<std::optional<fleet::OperatorCall>(const net::HttpRequest&)>
      decode_call;
  std::function<net::HttpResponse(const fleet::OperatorReply&,
                                  const net::HttpRequest&,
                                  int port)>
      encode_reply;
  std::function<net::HttpResponse()> not_found_response;
  std::function<net::HttpRequest(const fleet::WeightsOrder&,
                                 const std::string& holder)>
      encode_order;
  std::function<fleet::WeightsOrderResult(int status)> decode_order_result;
  std::function<net::HttpRequest(const fleet::WeightsCheck&)> encode_check;
  std::function<std::optional<fleet::WeightsReport>(const ModelId&,
                                                    std::string_view body)>
      decode_report;
  std::function<Result<routes::RoutingConfigurationPtr, routes::RoutingError>(
      std::string_view document)>
      decode_routing;
  std::function<net::HttpRequest(const fleet::CacheRead&)> encode_cache_read;
  // These return nullopt if the answer can't be parsed.
  std::function<std::optional<fleet::CacheEvents>(std::string_view body)>
      decode_cache_events;
  std::function<std::optional<fleet::CacheList>(std::string_view body)>
      decode_cache_list;
  std::function<net::HttpRequest(const fleet::CacheFree&)> encode_cache_free;
  std::function<net::HttpRequest(const duties::DutyCall&,
                                 const std::string& holder,
                                 const settings::Endpoint& address)>
      encode_duty_call;
  std::function<duties::DutyOutcome(int status)> decode_duty_result;
};

// A control process: votes on the operators' decisions, receives the upstreams'
// announcements and, as the leader, sends them orders.
class VoterNode {
 public:
  static Result<std::unique_ptr<VoterNode>, NodeError> Start(
      net::EventLoop& loop,
      settings::NodeSettings settings,
      VoterNodeHooks hooks);
  ~VoterNode();
  VoterNode(const VoterNode&) = delete;
  VoterNode& operator=(const VoterNode&) = delete;

  // Stops accepting calls, answers those received, then stops the loop.
  void Stop();
  void Reload(const settings::NodeSettings& settings);

 private:
  VoterNode();
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_VOTER_NODE_H_
