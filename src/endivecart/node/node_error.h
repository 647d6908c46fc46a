#ifndef ENDIVECART_NODE_NODE_ERROR_H_
#define ENDIVECART_NODE_NODE_ERROR_H_

#include <string>

namespace endivecart::node {

enum class NodeErrorCode { kSettings, kTransport, kListen, kStorage };

struct NodeError {
  NodeErrorCode code;
  std::string detail;

  bool operator==(const NodeError&) const = default;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_NODE_ERROR_H_
