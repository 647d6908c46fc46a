#ifndef ENDIVECART_TRANSPORT_MESSAGE_BUS_H_
#define ENDIVECART_TRANSPORT_MESSAGE_BUS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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

// Another process that a bus connects to.
struct BusPeer {
  HostId id;
  settings::Endpoint address;
  std::string public_key;  // CURVE; empty where peers have no keys

  bool operator==(const BusPeer&) const = default;
};

struct BusOptions {
  HostId self;
  // None: this process only connects to others, and they answer on the same
  // connections.
  std::optional<settings::Endpoint> listen;
  // CURVE. Empty: peers have no keys, and their word says who they are; only
  // for networks that none but the system's own hosts can reach.
  std::string secret_key;
  std::vector<settings::HostEntry> known_hosts;  // with their public keys
  std::vector<BusPeer> peers;

  bool operator==(const BusOptions&) const = default;
};

// The bus of a host whose settings list all others.
BusOptions BusOptionsFor(const settings::HostSettings& settings);

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
// late where a caller resends; those from one peer come in order. Where hosts
// have CURVE keys they prove their identity by them; a stranger is refused and
// logged. All calls but Wake() belong to the one thread that owns the bus.
class MessageBus {
 public:
  using Receiver = std::function<void(const wire::Envelope&)>;

  static Result<std::unique_ptr<MessageBus>, TransportError> Open(
      const BusOptions& options);
  ~MessageBus();
  MessageBus(const MessageBus&) = delete;
  MessageBus& operator=(const MessageBus&) = delete;

  // Connects to one more peer, or to another address of a known one.
  void Connect(const BusPeer& peer);
  void Disconnect(const HostId& peer);
  // Queues a message for `to`, or drops it if `to` is not connected.
  void Send(const HostId& to, wire::Envelope envelope);
  // Waits up to `timeout` for messages or a wake-up, and passes on all
  // messages that have come.
  void Poll(Millis timeout, const Receiver& receiver);
  // Descriptors that turn readable when Poll() may have something to pass on.
  // They do so once: Poll() must follow, and must follow each Send() too.
  std::vector<int> Descriptors() const;
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
