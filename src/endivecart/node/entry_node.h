#ifndef ENDIVECART_NODE_ENTRY_NODE_H_
#define ENDIVECART_NODE_ENTRY_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "endivecart/gateway/gateway.h"
#include "endivecart/node/node_error.h"
#include "endivecart/settings/settings.h"

namespace endivecart::node {

using DecodedRouting =
    Result<routes::RoutingConfigurationPtr, routes::RoutingError>;
// Does a bounded amount of work. Returns nullopt if it must be called again
// with the same document.
using RoutingPartDecoder =
    std::function<std::optional<DecodedRouting>(std::string_view document)>;

struct EntryNodeHooks {
  gateway::Dialect dialect;
  RoutingPartDecoder decode_routing;
  std::function<bool(const net::HttpRequest&)> is_readiness_check;
};

// A process that serves callers. Runs entirely on the event loop's thread,
// except for writing logs.
class EntryNode {
 public:
  static Result<std::unique_ptr<EntryNode>, NodeError> Start(
      net::EventLoop& loop,
      settings::NodeSettings settings,
      EntryNodeHooks hooks);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // Shuts down gracefully: reports not ready, keeps serving requests that still
  // arrive, and stops the loop once all are answered or the stop time is over.
  void Stop();
  // Applies the settings that may change at run time.
  void Reload(const settings::NodeSettings& settings);

 private:
  EntryNode();
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_ENTRY_NODE_H_
