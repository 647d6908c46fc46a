#include "endivecart/transport/message_bus.h"

#include <algorithm>
#include <cerrno>
#include <map>
#include <mutex>
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
// A silent connection is closed after three heartbeat intervals.
constexpr int kHeartbeatIntervalMillis = 1000;
constexpr int kHeartbeatTimeoutMillis = 3000;
constexpr int kConnectTimeoutMillis = 2000;
constexpr std::int64_t kMaxMessageBytes = 64LL << 20;
constexpr char kWakeAddress[] = "inproc://wake";

void SetCommonOptions(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kQueuedMessagesPerPeer);
  socket.set(zmq::sockopt::rcvhwm, kQueuedMessagesPerPeer);
  socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  socket.set(zmq::sockopt::handshake_ivl, kHandshakeMillis);
}

// Only the connecting side sends heartbeats; heartbeat_ttl makes the accepting
// side time out as well. The accepting side must not send any: after a host has
// reconnected, input on its previous connection stops, and libzmq 4.3 aborts
// the process at the first heartbeat after that connection has failed.
void SetHeartbeatOptions(zmq::socket_t& outbound) {
  outbound.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMillis);
  outbound.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMillis);
  outbound.set(zmq::sockopt::heartbeat_ttl, kHeartbeatTimeoutMillis);
}

std::string Address(const settings::Endpoint& endpoint) {
  return "tcp://" + endpoint.ToString();
}

}  // namespace

struct MessageBus::Data {
  explicit Data(const BusOptions& bus_options)
      : options(bus_options),
        context(1),
        inbound(context, zmq::socket_type::router),
        wake_receiver(context, zmq::socket_type::pull),
        wake_sender(context, zmq::socket_type::push) {
    if (uses_curve())
      authenticator.emplace(context, options.known_hosts);
  }

  struct Outbound {
    BusPeer peer;
    zmq::socket_t socket;
  };

  bool uses_curve() const { return !options.secret_key.empty(); }
  void Bind();
  void Connect(const BusPeer& peer);
  // These pass on at most `left` messages and reduce it by their number.
  void ReceiveInbound(const Receiver& receiver, std::size_t& left);
  void ReceiveReplies(const Receiver& receiver, std::size_t& left);
  void Deliver(zmq::message_t& body,
               const std::string& sender,
               const Receiver& receiver);
  bool SendTo(const HostId& to, const std::string& bytes);
  void DrainWakeups();

  const BusOptions options;
  zmq::context_t context;
  std::optional<PeerAuthenticator> authenticator;
  zmq::socket_t inbound;
  zmq::socket_t wake_receiver;
  std::mutex wake_mutex;
  zmq::socket_t wake_sender;
  std::map<HostId, Outbound> outbound;
  BusCounters counters;
};

std::string_view EnvelopeKindName(wire::Envelope::BodyCase kind) {
  switch (kind) {
    case wire::Envelope::kShareAsk:
      return "share_ask";
    case wire::Envelope::kShareReply:
      return "share_reply";
    case wire::Envelope::kRaft:
      return "raft";
    case wire::Envelope::kFollowPoll:
      return "follow_poll";
    case wire::Envelope::kFollowReply:
      return "follow_reply";
    case wire::Envelope::kProposeRequest:
      return "propose_request";
    case wire::Envelope::kProposeReply:
      return "propose_reply";
    case wire::Envelope::kMoveReport:
      return "move_report";
    case wire::Envelope::kFleetPoll:
      return "fleet_poll";
    case wire::Envelope::kFleetNews:
      return "fleet_update";
    case wire::Envelope::kCacheSaveClaim:
      return "cache_save_claim";
    case wire::Envelope::kCacheSaveGrant:
      return "cache_save_grant";
    case wire::Envelope::kCacheSaveRelease:
      return "cache_save_release";
    case wire::Envelope::kRoutingReceipt:
      return "routing_receipt";
    case wire::Envelope::BODY_NOT_SET:
      break;
  }
  return "unknown";
}

BusOptions BusOptionsFor(const settings::HostSettings& settings) {
  BusOptions options;
  options.self = settings.host;
  options.listen = settings.control;
  options.secret_key = settings.secret_key;
  options.known_hosts = settings.hosts;
  for (const settings::HostEntry& host : settings.hosts) {
    if (host.id != settings.host)
      options.peers.push_back({host.id, host.control, host.public_key});
  }
  return options;
}

void MessageBus::Data::Bind() {
  SetCommonOptions(inbound);
  if (uses_curve()) {
    inbound.set(zmq::sockopt::curve_server, true);
    inbound.set(zmq::sockopt::curve_secretkey, options.secret_key);
  } else {
    inbound.set(zmq::sockopt::router_handover, true);
    inbound.set(zmq::sockopt::router_mandatory, true);
  }
  if (options.listen)
    inbound.bind(Address(*options.listen));
  wake_receiver.bind(kWakeAddress);
  wake_sender.set(zmq::sockopt::linger, 0);
  wake_sender.connect(kWakeAddress);
}

void MessageBus::Data::Connect(const BusPeer& peer) {
  zmq::socket_t socket(context, zmq::socket_type::dealer);
  SetCommonOptions(socket);
  SetHeartbeatOptions(socket);
  // Messages for a disconnected peer are dropped, as they would be stale by the
  // time it reconnects.
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMillis);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMillis);
  socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMillis);
  if (uses_curve()) {
    socket.set(zmq::sockopt::curve_serverkey, peer.public_key);
    socket.set(zmq::sockopt::curve_publickey,
               DerivePublicKey(options.secret_key));
    socket.set(zmq::sockopt::curve_secretkey, options.secret_key);
  } else {
    socket.set(zmq::sockopt::routing_id, options.self.str());
  }
  socket.connect(Address(peer.address));
  outbound.erase(peer.id);
  outbound.emplace(peer.id, Outbound{peer, std::move(socket)});
}

void MessageBus::Data::Deliver(zmq::message_t& body,
                               const std::string& sender,
                               const Receiver& receiver) {
  ++counters.received_messages;
  counters.received_bytes += body.size();
  wire::Envelope envelope;
  const bool parsed =
      !body.more() &&
      envelope.ParseFromArray(body.data(), static_cast<int>(body.size()));
  // The sender is identified by the connection, not by the message.
  if (!parsed || envelope.from() != sender) {
    ++counters.refused_messages;
    LogLine("transport.refused").Add("claimed", envelope.from()).Warn();
    return;
  }
  KindCounters& kind = counters.by_kind[envelope.body_case()];
  ++kind.received_messages;
  kind.received_bytes += body.size();
  receiver(envelope);
}

void MessageBus::Data::ReceiveInbound(const Receiver& receiver,
                                      std::size_t& left) {
  while (left > 0) {
    zmq::message_t identity;
    if (!inbound.recv(identity, zmq::recv_flags::dontwait))
      return;
    zmq::message_t body;
    if (!identity.more() || !inbound.recv(body, zmq::recv_flags::dontwait))
      continue;
    --left;
    Deliver(body, uses_curve() ? body.gets("User-Id") : identity.to_string(),
            receiver);
  }
}

void MessageBus::Data::ReceiveReplies(const Receiver& receiver,
                                      std::size_t& left) {
  // The receiver may connect and disconnect peers, so the ids are copied first.
  std::vector<HostId> peers;
  for (const auto& [id, out] : outbound)
    peers.push_back(id);
  for (const HostId& peer : peers) {
    while (left > 0) {
      const auto it = outbound.find(peer);
      zmq::message_t body;
      if (it == outbound.end() ||
          !it->second.socket.recv(body, zmq::recv_flags::dontwait)) {
        break;
      }
      --left;
      Deliver(body, peer.str(), receiver);
    }
  }
}

bool MessageBus::Data::SendTo(const HostId& to, const std::string& bytes) {
  const auto it = outbound.find(to);
  if (it != outbound.end()) {
    return it->second.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
  }
  if (uses_curve() || !options.listen)
    return false;
  try {
    const auto flags = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
    return inbound.send(zmq::buffer(to.str()), flags).has_value() &&
           inbound.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
               .has_value();
  } catch (const zmq::error_t& e) {
    if (e.num() != EHOSTUNREACH)
      throw;
    return false;  // not connected
  }
}

void MessageBus::Data::DrainWakeups() {
  zmq::message_t message;
  while (wake_receiver.recv(message, zmq::recv_flags::dontwait)) {
  }
}

MessageBus::MessageBus() = default;

MessageBus::~MessageBus() = default;

Result<std::unique_ptr<MessageBus>, TransportError> MessageBus::Open(
    const BusOptions& options) {
  if (!options.secret_key.empty()) {
    const std::string public_key = DerivePublicKey(options.secret_key);
    const auto self = std::find_if(
        options.known_hosts.begin(), options.known_hosts.end(),
        [&](const settings::HostEntry& h) { return h.id == options.self; });
    if (public_key.empty() || self == options.known_hosts.end() ||
        self->public_key != public_key) {
      return Fail(TransportError{
          TransportErrorCode::kBadKey,
          "the secret key does not belong to this host's public key"});
    }
  }
  std::unique_ptr<MessageBus> bus(new MessageBus);
  try {
    bus->data_ = std::make_unique<Data>(options);
    bus->data_->Bind();
    for (const BusPeer& peer : options.peers)
      bus->data_->Connect(peer);
  } catch (const zmq::error_t& e) {
    return Fail(TransportError{
        TransportErrorCode::kCannotBind,
        (options.listen ? options.listen->ToString() : "") + ": " + e.what()});
  }
  return bus;
}

void MessageBus::Connect(const BusPeer& peer) {
  const auto it = data_->outbound.find(peer.id);
  if (it == data_->outbound.end() || !(it->second.peer == peer))
    data_->Connect(peer);
}

void MessageBus::Disconnect(const HostId& peer) {
  data_->outbound.erase(peer);
}

bool MessageBus::Send(const HostId& to, wire::Envelope envelope) {
  envelope.set_from(data_->options.self.str());
  const std::string bytes = envelope.SerializeAsString();
  if (!data_->SendTo(to, bytes)) {
    ++data_->counters.dropped_messages;
    return false;
  }
  ++data_->counters.sent_messages;
  data_->counters.sent_bytes += bytes.size();
  KindCounters& kind = data_->counters.by_kind[envelope.body_case()];
  ++kind.sent_messages;
  kind.sent_bytes += bytes.size();
  return true;
}

bool MessageBus::Poll(Millis timeout,
                      const Receiver& receiver,
                      std::size_t max_messages) {
  if (timeout > Millis(0)) {
    std::vector<zmq::pollitem_t> items = {
        {data_->inbound.handle(), 0, ZMQ_POLLIN, 0},
        {data_->wake_receiver.handle(), 0, ZMQ_POLLIN, 0}};
    for (auto& [id, out] : data_->outbound)
      items.push_back({out.socket.handle(), 0, ZMQ_POLLIN, 0});
    zmq::poll(items, timeout);
  }
  data_->DrainWakeups();
  // Replies first: there is one sender for each, while any number of hosts may
  // send inbound messages.
  std::size_t left = max_messages;
  data_->ReceiveReplies(receiver, left);
  data_->ReceiveInbound(receiver, left);
  return left == 0;
}

std::vector<int> MessageBus::Descriptors() const {
  std::vector<int> descriptors = {data_->inbound.get(zmq::sockopt::fd)};
  for (const auto& [id, out] : data_->outbound)
    descriptors.push_back(out.socket.get(zmq::sockopt::fd));
  return descriptors;
}

void MessageBus::Wake() {
  std::scoped_lock lock(data_->wake_mutex);
  data_->wake_sender.send(zmq::message_t(), zmq::send_flags::dontwait);
}

const BusCounters& MessageBus::counters() const {
  return data_->counters;
}

}  // namespace endivecart::transport
