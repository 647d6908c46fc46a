#include <boost/test/unit_test.hpp>
#include <thread>

#include "endivecart/transport/transport.h"

namespace endivecart::transport {
namespace {

constexpr int kFirstPort = 22900;

struct Peer {
  settings::HostSettings settings;
  std::unique_ptr<MessageBus> bus;
};

// Returns settings of hosts that list each other's keys.
std::vector<Peer> MakePeers(int count, int port) {
  std::vector<Peer> peers(static_cast<std::size_t>(count));
  std::vector<settings::HostEntry> entries;
  for (int i = 0; i < count; ++i) {
    const CurveKeyPair keys = GenerateCurveKeyPair();
    settings::HostSettings& settings =
        peers[static_cast<std::size_t>(i)].settings;
    settings.host = HostId("h" + std::to_string(i));
    settings.domain = DomainId("a");
    settings.control = {"127.0.0.1", port + i};
    settings.secret_key = keys.secret_key;
    entries.push_back({settings.host, settings.domain, settings.control,
                       keys.public_key, false});
  }
  for (Peer& peer : peers)
    peer.settings.hosts = entries;
  return peers;
}

wire::Envelope Hello() {
  wire::Envelope envelope;
  envelope.mutable_share_ask()->set_sequence(7);
  return envelope;
}

// Sends until `receiver` gets a message from `sender`; returns 0 on timeout.
int Exchange(Peer& sender, Peer& receiver) {
  int received = 0;
  for (int i = 0; i < 100 && received == 0; ++i) {
    sender.bus->Send(receiver.settings.host, Hello());
    receiver.bus->Poll(Millis(20), [&](const wire::Envelope& envelope) {
      received += envelope.from() == sender.settings.host.str() ? 1 : 0;
    });
  }
  return received;
}

// Options of a host "s" that listens, and of a host "a" that connects to it,
// without keys.
BusOptions ServerOptions(const settings::Endpoint& address) {
  BusOptions options;
  options.self = HostId("s");
  options.listen = address;
  return options;
}

BusOptions ClientOptions(const settings::Endpoint& server) {
  BusOptions options;
  options.self = HostId("a");
  options.peers = {{HostId("s"), server, ""}};
  return options;
}

BOOST_AUTO_TEST_SUITE(message_bus, *boost::unit_test::label("transport"))

BOOST_AUTO_TEST_CASE(
    listed_hosts_exchange_messages_and_are_identified_by_their_keys) {
  auto peers = MakePeers(2, kFirstPort);
  for (Peer& peer : peers) {
    auto bus = MessageBus::Open(BusOptionsFor(peer.settings));
    BOOST_REQUIRE(bus.has_value());
    peer.bus = std::move(*bus);
  }
  BOOST_TEST(Exchange(peers[0], peers[1]) > 0);
}

BOOST_AUTO_TEST_CASE(a_host_with_an_unknown_key_is_rejected_and_logged) {
  auto peers = MakePeers(2, kFirstPort + 10);
  std::string log;
  std::mutex mutex;
  SetLogSinkForTest([&](const std::string& line) {
    std::scoped_lock lock(mutex);
    log += line;
  });
  peers[1].bus = std::move(*MessageBus::Open(BusOptionsFor(peers[1].settings)));
  // The sender's key is not among those that peers[1] lists.
  Peer unlisted;
  const CurveKeyPair keys = GenerateCurveKeyPair();
  unlisted.settings = peers[0].settings;
  unlisted.settings.secret_key = keys.secret_key;
  unlisted.settings.hosts[0].public_key = keys.public_key;
  unlisted.bus = std::move(*MessageBus::Open(BusOptionsFor(unlisted.settings)));
  int received = 0;
  for (int i = 0; i < 50; ++i) {
    unlisted.bus->Send(peers[1].settings.host, Hello());
    peers[1].bus->Poll(Millis(10), [&](const wire::Envelope&) { ++received; });
  }
  unlisted.bus.reset();
  peers[1].bus.reset();
  SetLogSinkForTest(nullptr);
  BOOST_TEST(received == 0);
  BOOST_TEST(log.find("transport.stranger") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_bus_does_not_open_with_a_secret_key_of_another_host) {
  auto peers = MakePeers(1, kFirstPort + 20);
  peers[0].settings.secret_key = GenerateCurveKeyPair().secret_key;
  const auto bus = MessageBus::Open(BusOptionsFor(peers[0].settings));
  BOOST_REQUIRE(!bus.has_value());
  BOOST_TEST((bus.error().code == TransportErrorCode::kBadKey));
}

// Guards against a crash of the receiver after a network partition heals: a
// host has reconnected meanwhile, and messages on its previous connection
// arrive late.
BOOST_AUTO_TEST_CASE(a_reconnected_host_replaces_its_previous_connection) {
  const settings::Endpoint address{"127.0.0.1", kFirstPort + 30};
  const auto server = MessageBus::Open(ServerOptions(address));
  BOOST_REQUIRE(server.has_value());
  const BusOptions options = ClientOptions(address);
  auto former = MessageBus::Open(options);
  BOOST_REQUIRE(former.has_value());
  std::uint64_t received = 0;
  const auto count = [&](const wire::Envelope&) { ++received; };
  const auto send_until = [&](MessageBus& bus, std::uint64_t least) {
    for (int i = 0; i < 500 && received < least; ++i) {
      bus.Send(HostId("s"), wire::Envelope());
      (*server)->Poll(Millis(10), count);
    }
  };
  send_until(**former, 1);
  BOOST_REQUIRE(received > 0);
  const auto latter = MessageBus::Open(options);
  BOOST_REQUIRE(latter.has_value());
  send_until(**latter, received + 5);
  for (int i = 0; i < 100; ++i) {
    (*former)->Send(HostId("s"), wire::Envelope());
    (*server)->Poll(Millis(1), count);
  }
  former->reset();
  // Longer than the heartbeat interval of the bus.
  std::this_thread::sleep_for(Millis(2900));
  (*server)->Poll(Millis(10), count);
  const std::uint64_t before = received;
  send_until(**latter, before + 1);
  BOOST_TEST(received > before);
}

// Pattern: a flood of soft state on one bus, while another one has a message
// that must not wait.
BOOST_AUTO_TEST_CASE(a_limited_poll_leaves_the_other_messages_for_the_next) {
  const settings::Endpoint address{"127.0.0.1", kFirstPort + 40};
  const auto server = MessageBus::Open(ServerOptions(address));
  BOOST_REQUIRE(server.has_value());
  const BusOptions options = ClientOptions(address);
  const auto sender = MessageBus::Open(options);
  BOOST_REQUIRE(sender.has_value());
  std::size_t received = 0;
  const auto count = [&](const wire::Envelope&) { ++received; };
  for (int i = 0; i < 500 && received == 0; ++i) {
    (*sender)->Send(HostId("s"), wire::Envelope());
    (*server)->Poll(Millis(10), count);
  }
  BOOST_REQUIRE(received > 0);
  received = 0;
  constexpr std::size_t kFlood = 100;
  for (std::size_t i = 0; i < kFlood; ++i)
    (*sender)->Send(HostId("s"), wire::Envelope());
  constexpr std::size_t kLimit = 8;
  std::size_t most = 0;
  for (int i = 0; i < 500 && received < kFlood; ++i) {
    const std::size_t before = received;
    const bool has_more = (*server)->Poll(Millis(10), count, kLimit);
    most = std::max(most, received - before);
    BOOST_TEST(has_more == (received - before == kLimit));
  }
  BOOST_TEST(received >= kFlood);
  BOOST_TEST(most == kLimit);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::transport
