#ifndef ENDIVECART_NET_CONNECTION_CHOICE_H_
#define ENDIVECART_NET_CONNECTION_CHOICE_H_

#include <cstddef>
#include <cstdint>
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
  std::uint64_t number = 0;   // in the order in which they were accepted

  bool operator==(const ConnectionView&) const = default;
};

// Returns the indices of the connections to close so that `bytes` become free,
// or as many bytes as possible: those first that hold the most for the longest
// time, and whose address holds the most. Never returns a served connection, or
// one that is younger than kMinCloseAge.
std::vector<std::size_t> ChooseForBytes(
    const std::vector<ConnectionView>& connections,
    std::size_t bytes);

// The same for a part that a small request needs. Connections of any age may be
// closed, in this order: those without progress for kMinCloseAge; younger ones
// that are receiving or have sent no request; idle ones that were answered;
// other stalled ones. Within each, those first that hold the most for the
// longest time. To choose less often, frees `spare` bytes more of the first
// kind, and of the second if half of what those hold is left: a request whose
// connection was accepted may not have been read yet. Never returns a served
// connection.
std::vector<std::size_t> ChooseForRequest(
    const std::vector<ConnectionView>& connections,
    std::size_t bytes,
    std::size_t spare);

// Returns the indices of up to `count` connections to close so that others can
// be accepted: lingering ones, then the oldest on which no request was
// answered, except the newest, one in kNewestDivisor of all, whose requests may
// not have been read yet. If there are none, returns the one that has been
// stalled or receiving the longest, else the one that has been idle the
// longest; of those younger than kMinCloseAge, none that is idle and was
// answered. Returns one of the newest only if nothing else may be closed, and
// none if all are served or are idle and were answered.
std::vector<std::size_t> ChooseForSlots(
    const std::vector<ConnectionView>& connections,
    std::size_t count);

// Clients that progress as usual complete a request sooner, or send the next
// one sooner or much later.
inline constexpr Millis kMinCloseAge{1000};
// Beside a crowd that connects again and again, a request is read after a few
// further connections.
inline constexpr std::size_t kNewestDivisor = 16;

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_CONNECTION_CHOICE_H_
