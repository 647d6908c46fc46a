#ifndef ENDIVECART_TRANSPORT_MESSAGE_BUS_H_
#define ENDIVECART_TRANSPORT_MESSAGE_BUS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/settings/settings.h"
#include "endivecart_wire/messages.pb.h"

namespace endivecart::transport {

enum class TransportErrorCode { kBadKey, kCannotBind };

struct TransportError {
  TransportErrorCode code;
  std::string detail;

  bool operator==(const TransportError&) const = default;
};

struct BusCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t dropped_messages = 0;  // no connection, or queue full
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t refused_messages = 0;  // malformed, or from a false sender

  bool operator==(const BusCounters&) const = default;
};

// Sends and receives envelopes. Messages may be lost, and may be doubled or
// late where a caller resends; those from one peer come in order. Peers prove
// their identity by CURVE keys; a stranger is refused and logged. All calls
// but Wake() belong to the one thread that owns the bus.
class MessageBus {
 public:
  using Receiver = std::function<void(const wire::Envelope&)>;

  static Result<std::unique_ptr<MessageBus>, TransportError> Open(
      const settings::HostSettings& settings);
  ~MessageBus();
  MessageBus(const MessageBus&) = delete;
  MessageBus& operator=(const MessageBus&) = delete;

  // Queues a message for `to`, or drops it if `to` is not connected.
  void Send(const HostId& to, wire::Envelope envelope);
  // Waits up to `timeout` for messages or a wake-up, and passes on all
  // messages that have come.
  void Poll(Millis timeout, const Receiver& receiver);
  // Ends a waiting Poll(). Safe from any thread.
  void Wake();
  const BusCounters& counters() const;

 private:
  MessageBus();
  struct Data;
  std::unique_ptr<Data> data_;
};

}  // namespace endivecart::transport

#endif  // ENDIVECART_TRANSPORT_MESSAGE_BUS_H_
