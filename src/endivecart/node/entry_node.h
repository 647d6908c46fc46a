#ifndef ENDIVECART_NODE_ENTRY_NODE_H_
#define ENDIVECART_NODE_ENTRY_NODE_H_

#include <functional>
#include <memory>
#include <string_view>

#include "endivecart/gateway/gateway.h"
#include "endivecart/node/node_error.h"
#include "endivecart/settings/settings.h"

namespace endivecart::node {

using RoutingDecoder =
    std::function<Result<routes::RoutingConfiguration, routes::RoutingError>(
        std::string_view document)>;

struct EntryNodeHooks {
  gateway::Dialect dialect;
  RoutingDecoder decode_routing;
  std::function<bool(const net::HttpRequest&)> is_readiness_check;
};

// A process that serves callers. Everything but the writing of logs belongs to
// the event loop's thread.
class EntryNode {
 public:
  static Result<std::unique_ptr<EntryNode>, NodeError> Start(
      net::EventLoop& loop,
      settings::NodeSettings settings,
      EntryNodeHooks hooks);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // A planned stop: says that it isn't ready, goes on with what still comes,
  // and ends the loop once all is answered or the time is up.
  void Stop();
  // Takes what may change while the process runs.
  void Reload(const settings::NodeSettings& settings);

 private:
  EntryNode();
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_ENTRY_NODE_H_
