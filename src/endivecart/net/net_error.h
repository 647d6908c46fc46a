#ifndef ENDIVECART_NET_NET_ERROR_H_
#define ENDIVECART_NET_NET_ERROR_H_

#include <string>

namespace endivecart::net {

enum class NetErrorCode { kCannotListen };

struct NetError {
  NetErrorCode code;
  std::string detail;

  bool operator==(const NetError&) const = default;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_NET_ERROR_H_
