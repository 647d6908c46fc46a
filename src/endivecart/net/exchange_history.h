#ifndef ENDIVECART_NET_EXCHANGE_HISTORY_H_
#define ENDIVECART_NET_EXCHANGE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endivecart::net {

// Which request of a connection a response answers.
enum class ResponseOwner {
  kCurrent,  // the newest one
  kEarlier,  // an earlier one, so that the response is a copy
  kUnknown,  // none
};

// Internal. The ids of the requests that one client connection has carried.
//
// A server may repeat an earlier response where the next one is due. The id
// tells them apart unless both requests have the same one. So a connection
// carries each id once, and it carries no more ids than it can remember.
class ExchangeHistory {
 public:
  static constexpr std::size_t kMaxIds = 256;

  // Returns whether the response to a request with this id could be told from
  // copies of all earlier ones. Responses to requests without an id aren't told
  // apart: true for an empty id.
  bool MayCarry(std::string_view id) const;
  // Records that a request is sent.
  void Begin(std::string_view id);
  // Returns which request a response with this id answers; kCurrent if the
  // newest request has no id.
  ResponseOwner OwnerOf(std::string_view response_id) const;
  // Whether the connection must not carry another request with an id.
  bool IsFull() const { return hashes_.size() >= kMaxIds; }

 private:
  std::string current_;
  std::vector<std::uint64_t> hashes_;  // of all ids, the current one included
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_EXCHANGE_HISTORY_H_
