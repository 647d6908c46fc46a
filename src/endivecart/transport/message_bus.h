#ifndef ENDIVECART_TRANSPORT_MESSAGE_BUS_H_
#define ENDIVECART_TRANSPORT_MESSAGE_BUS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
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

// A process that a bus connects to.
struct BusPeer {
  HostId id;
  settings::Endpoint address;
  std::string public_key;  // CURVE; empty if keys are not used

  bool operator==(const BusPeer&) const = default;
};

struct BusOptions {
  HostId self;
  // If nullopt, this process only makes outgoing connections; peers reply on
  // them.
  std::optional<settings::Endpoint> listen;
  // CURVE. If empty, peers are not authenticated: the host id that they claim
  // is trusted. Only for networks that no other hosts can reach.
  std::string secret_key;
  std::vector<settings::HostEntry> known_hosts;  // with public keys
  std::vector<BusPeer> peers;

  bool operator==(const BusOptions&) const = default;
};

// Returns the options of a host whose settings list all other hosts.
BusOptions BusOptionsFor(const settings::HostSettings& settings);

// Messages of one kind, by the body of their envelope.
struct KindCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;

  bool operator==(const KindCounters&) const = default;
};

struct BusCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t dropped_messages = 0;  // no connection, or queue full
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t refused_messages = 0;  // malformed, or sender mismatch
  // Of the kinds that have occurred; see EnvelopeKindName().
  std::map<wire::Envelope::BodyCase, KindCounters> by_kind;

  bool operator==(const BusCounters&) const = default;
};

std::string_view EnvelopeKindName(wire::Envelope::BodyCase kind);

// Sends and receives envelopes. Messages may be lost; callers that resend may
// cause duplicates and late delivery. Messages from one peer arrive in order.
// Hosts with CURVE keys authenticate by them; connections with unknown keys are
// rejected and logged. Not thread-safe, except for Wake().
class MessageBus {
 public:
  using Receiver = std::function<void(const wire::Envelope&)>;

  static Result<std::unique_ptr<MessageBus>, TransportError> Open(
      const BusOptions& options);
  ~MessageBus();
  MessageBus(const MessageBus&) = delete;
  MessageBus& operator=(const MessageBus&) = delete;

  // Connects to a peer; reconnects if its address or key has changed.
  void Connect(const BusPeer& peer);
  void Disconnect(const HostId& peer);
  // Queues a message for `to`. Returns false, and drops the message, if `to` is
  // not connected or too many messages are queued.
  bool Send(const HostId& to, wire::Envelope envelope);
  // Waits up to `timeout` for messages or Wake(), then passes received messages
  // to `receiver`, at most `max_messages`. Returns whether more may be waiting.
  bool Poll(Millis timeout,
            const Receiver& receiver,
            std::size_t max_messages = kAllMessages);
  static constexpr std::size_t kAllMessages = SIZE_MAX;
  // Returns descriptors that become readable when messages may be pending. They
  // are edge-triggered: call Poll() after each event, and also after each
  // Send().
  std::vector<int> Descriptors() const;
  // Wakes up a blocked Poll(). Thread-safe.
  void Wake();
  const BusCounters& counters() const;

 private:
  MessageBus();
  struct Data;
  std::unique_ptr<Data> data_;
};

}  // namespace endivecart::transport

#endif  // ENDIVECART_TRANSPORT_MESSAGE_BUS_H_
