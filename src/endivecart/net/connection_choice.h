#ifndef ENDIVECART_NET_CONNECTION_CHOICE_H_
#define ENDIVECART_NET_CONNECTION_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::net {

enum class ConnectionStage {
  kIdle,       // no byte of a request has been received
  kReceiving,  // a part of a request has been received
  kServed,     // the handler has the request
  kStalled,    // served, and the client doesn't read the response
  kLingering,  // rejected or answered; further input is discarded
};

// What decides which client connection is closed when a process has no room.
struct ConnectionView {
  ConnectionStage stage = ConnectionStage::kIdle;
  std::string address;  // of the client
  std::size_t held_bytes = 0;
  Millis age{0};              // since the stage began
  bool was_answered = false;  // at least one request on it

  bool operator==(const ConnectionView&) const = default;
};

// Returns the indices of the connections to close so that `bytes` become free,
// or as many bytes as possible: those first that hold the most for the longest
// time, and whose address holds the most. Never returns a served connection, or
// one that is younger than kMinCloseAge.
std::vector<std::size_t> ChooseForBytes(
    const std::vector<ConnectionView>& connections,
    std::size_t bytes);

// Returns the indices of up to `count` connections to close so that others can
// be accepted: lingering ones, then the oldest on which no request was
// answered. If there are none, returns the one that has been stalled or
// receiving the longest, else the one that has been idle the longest; none if
// all are served or are younger than kMinCloseAge.
std::vector<std::size_t> ChooseForSlots(
    const std::vector<ConnectionView>& connections,
    std::size_t count);

// Clients that progress as usual complete a request sooner, or send the next
// one sooner or much later.
inline constexpr Millis kMinCloseAge{1000};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_CONNECTION_CHOICE_H_
