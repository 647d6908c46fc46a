#include "endivecart/transport/message_bus.h"

#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <zmq.hpp>

#include "endivecart/transport/curve_keys.h"
#include "endivecart/transport/peer_authenticator.h"

namespace endivecart::transport {

namespace {

constexpr int kQueuedMessagesPerPeer = 2000;
constexpr int kReconnectMillis = 100;
constexpr int kReconnectMaxMillis = 1000;
constexpr int kHandshakeMillis = 2000;
constexpr std::int64_t kMaxMessageBytes = 64LL << 20;
constexpr char kWakeAddress[] = "inproc://wake";

void SetCommonOptions(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kQueuedMessagesPerPeer);
  socket.set(zmq::sockopt::rcvhwm, kQueuedMessagesPerPeer);
  socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  socket.set(zmq::sockopt::handshake_ivl, kHandshakeMillis);
}

}  // namespace

struct MessageBus::Data {
  explicit Data(const settings::HostSettings& settings)
      : self(settings.host),
        context(1),
        authenticator(context, settings.hosts),
        inbound(context, zmq::socket_type::router),
        wake_receiver(context, zmq::socket_type::pull),
        wake_sender(context, zmq::socket_type::push) {}

  void Bind(const settings::HostSettings& settings);
  void Connect(const settings::HostSettings& settings,
               const settings::HostEntry& peer);
  bool ReceiveOne(const Receiver& receiver);
  void DrainWakeups();

  HostId self;
  zmq::context_t context;
  PeerAuthenticator authenticator;
  zmq::socket_t inbound;
  zmq::socket_t wake_receiver;
  std::mutex wake_mutex;
  zmq::socket_t wake_sender;
  std::map<HostId, zmq::socket_t> outbound;
  BusCounters counters;
};

void MessageBus::Data::Bind(const settings::HostSettings& settings) {
  SetCommonOptions(inbound);
  inbound.set(zmq::sockopt::curve_server, true);
  inbound.set(zmq::sockopt::curve_secretkey, settings.secret_key);
  inbound.bind("tcp://" + settings.control.ToString());
  wake_receiver.bind(kWakeAddress);
  wake_sender.set(zmq::sockopt::linger, 0);
  wake_sender.connect(kWakeAddress);
}

void MessageBus::Data::Connect(const settings::HostSettings& settings,
                               const settings::HostEntry& peer) {
  zmq::socket_t socket(context, zmq::socket_type::dealer);
  SetCommonOptions(socket);
  // Messages for a peer that is away are dropped: they would be stale later.
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMillis);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMillis);
  socket.set(zmq::sockopt::curve_serverkey, peer.public_key);
  socket.set(zmq::sockopt::curve_publickey, PublicKeyOf(settings.secret_key));
  socket.set(zmq::sockopt::curve_secretkey, settings.secret_key);
  socket.connect("tcp://" + peer.control.ToString());
  outbound.emplace(peer.id, std::move(socket));
}

bool MessageBus::Data::ReceiveOne(const Receiver& receiver) {
  zmq::message_t identity;
  if (!inbound.recv(identity, zmq::recv_flags::dontwait))
    return false;
  zmq::message_t body;
  if (!identity.more() || !inbound.recv(body, zmq::recv_flags::dontwait))
    return true;
  ++counters.received_messages;
  counters.received_bytes += body.size();
  wire::Envelope envelope;
  const bool parsed =
      !body.more() &&
      envelope.ParseFromArray(body.data(), static_cast<int>(body.size()));
  // The key, not the text of the message, says who sent it.
  if (!parsed || envelope.from() != body.gets("User-Id")) {
    ++counters.refused_messages;
    LogLine("transport.refused").Add("claimed", envelope.from()).Warn();
    return true;
  }
  receiver(envelope);
  return true;
}

void MessageBus::Data::DrainWakeups() {
  zmq::message_t message;
  while (wake_receiver.recv(message, zmq::recv_flags::dontwait)) {
  }
}

MessageBus::MessageBus() = default;

MessageBus::~MessageBus() = default;

Result<std::unique_ptr<MessageBus>, TransportError> MessageBus::Open(
    const settings::HostSettings& settings) {
  const std::string public_key = PublicKeyOf(settings.secret_key);
  const settings::HostEntry* self = settings.FindHost(settings.host);
  if (public_key.empty() || self == nullptr || self->public_key != public_key) {
    return Fail(TransportError{
        TransportErrorCode::kBadKey,
        "the secret key does not belong to this host's public key"});
  }
  std::unique_ptr<MessageBus> bus(new MessageBus);
  try {
    bus->data_ = std::make_unique<Data>(settings);
    bus->data_->Bind(settings);
    for (const settings::HostEntry& peer : settings.hosts) {
      if (peer.id != settings.host)
        bus->data_->Connect(settings, peer);
    }
  } catch (const zmq::error_t& e) {
    return Fail(TransportError{TransportErrorCode::kCannotBind,
                               settings.control.ToString() + ": " + e.what()});
  }
  return bus;
}

void MessageBus::Send(const HostId& to, wire::Envelope envelope) {
  const auto it = data_->outbound.find(to);
  if (it == data_->outbound.end())
    return;
  envelope.set_from(data_->self.str());
  const std::string bytes = envelope.SerializeAsString();
  const auto sent =
      it->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  if (!sent) {
    ++data_->counters.dropped_messages;
    return;
  }
  ++data_->counters.sent_messages;
  data_->counters.sent_bytes += bytes.size();
}

void MessageBus::Poll(Millis timeout, const Receiver& receiver) {
  zmq::pollitem_t items[] = {{data_->inbound.handle(), 0, ZMQ_POLLIN, 0},
                             {data_->wake_receiver.handle(), 0, ZMQ_POLLIN, 0}};
  zmq::poll(items, 2, timeout);
  data_->DrainWakeups();
  while (data_->ReceiveOne(receiver)) {
  }
}

void MessageBus::Wake() {
  std::scoped_lock lock(data_->wake_mutex);
  data_->wake_sender.send(zmq::message_t(), zmq::send_flags::dontwait);
}

const BusCounters& MessageBus::counters() const {
  return data_->counters;
}

}  // namespace endivecart::transport
