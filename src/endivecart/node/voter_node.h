#ifndef ENDIVECART_NODE_VOTER_NODE_H_
#define ENDIVECART_NODE_VOTER_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "endivecart/fleet/fleet.h"
#include "endivecart/net/net.h"
#include "endivecart/node/node_error.h"
#include "endivecart/settings/settings.h"

namespace endivecart::node {

// How operators and upstreams say it: translations without decisions.
struct VoterNodeHooks {
  std::function<std::optional<fleet::OperatorCall>(const net::HttpRequest&)>
      decode_call;
  std::function<net::HttpResponse(const fleet::OperatorReply&,
                                  const net::HttpRequest&,
                                  int port)>
      encode_reply;
  std::function<net::HttpResponse()> no_such_call;
  std::function<net::HttpRequest(const fleet::WeightsOrder&,
                                 const std::string& holder)>
      encode_order;
  std::function<fleet::WeightsOrderEnd(int status)> decode_order_end;
  std::function<net::HttpRequest(const fleet::WeightsCheck&)> encode_check;
  std::function<std::optional<fleet::WeightsReport>(const ModelId&,
                                                    std::string_view body)>
      decode_report;
  std::function<Result<routes::RoutingConfiguration, routes::RoutingError>(
      std::string_view document)>
      decode_routing;
  std::function<net::HttpRequest(const fleet::CacheRead&)> encode_cache_read;
  // Nothing if the answer can't be read.
  std::function<std::optional<fleet::CacheEvents>(std::string_view body)>
      decode_cache_events;
  std::function<std::optional<fleet::CacheList>(std::string_view body)>
      decode_cache_list;
  std::function<net::HttpRequest(const fleet::CacheFree&)> encode_cache_free;
};

// A process that votes on what operators decide, hears the upstreams, and, if
// it leads, gives them orders.
class VoterNode {
 public:
  static Result<std::unique_ptr<VoterNode>, NodeError> Start(
      net::EventLoop& loop,
      settings::NodeSettings settings,
      VoterNodeHooks hooks);
  ~VoterNode();
  VoterNode(const VoterNode&) = delete;
  VoterNode& operator=(const VoterNode&) = delete;

  // Answers the calls that were read, then ends the loop.
  void Stop();
  void Reload(const settings::NodeSettings& settings);

 private:
  VoterNode();
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_VOTER_NODE_H_
