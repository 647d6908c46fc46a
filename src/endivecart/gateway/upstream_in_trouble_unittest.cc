#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "support/gateway_fixture.h"
#include "support/resetting_server.h"

// Guards against MIXED: callers got what an upstream in trouble had sent of an
// answer before it reset the connection as a complete answer; such quick ends
// drew nearly all uploads to it.

namespace endivecart::gateway {
namespace {

using tests::GatewayFixture;
using tests::RawCaller;
using tests::RawUpstream;
using tests::Reply;
using tests::ResettingServer;

constexpr std::size_t kUploadBytes = 3500000;
constexpr int kUploads = 30;

// Two upstreams, of which the second reads uploads and answers them.
struct TroubleFixture : GatewayFixture {
  TroubleFixture() {
    upstreams[1].on_bytes = [](RawUpstream::Connection& server) {
      const std::size_t head = server.received.find("\r\n\r\n") + 4;
      if (server.received.size() < head + kUploadBytes)
        return;
      server.received.clear();
      Reply(server, CompleteAnswer("1", "whole"));
    };
  }
  // Returns all bytes that the caller of an upload receives.
  std::string Upload(const std::string& path) {
    RawCaller caller(loop, server->port());
    caller.Write(
        "POST " + path + " HTTP/1.1\r\nHost: a\r\nId: 1\r\nKey: k\r\n" +
        "Connection: close\r\nContent-Length: " + std::to_string(kUploadBytes) +
        "\r\n\r\n" + std::string(kUploadBytes, 'u'));
    RunUntil([&] { return caller.ended(); });
    return caller.received();
  }

  // Makes the first upstream one at this address.
  void Replace(const settings::Endpoint& address) {
    auto announcement = gateway.upstreams().Find(UpstreamId("u0"))->last;
    announcement.sequence = 2;
    announcement.address = address;
    gateway.upstreams().Apply(announcement, loop.Now());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_upstreams_in_trouble,
                         TroubleFixture,
                         *boost::unit_test::label("gateway"))

BOOST_DATA_TEST_CASE_F(TroubleFixture,
                       a_piece_of_an_answer_is_not_passed_on_as_a_whole,
                       boost::unit_test::data::make({"/safe/", "/once/"}),
                       path) {
  ResettingServer in_trouble("HTTP/1.1 200 OK\r\nSigned: s\r\nId: 1\r\n\r\n" +
                             std::string(1000, 'p'));
  Replace(in_trouble.address());
  int pieces = 0;
  int whole = 0;
  for (int i = 0; i < kUploads; ++i) {
    const std::string received = Upload(path);
    pieces += received.find("ppp") != std::string::npos ? 1 : 0;
    whole += received.ends_with("whole") ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("pieces " << pieces << ", whole " << whole << ", begun "
                               << in_trouble.requests());
  BOOST_TEST(pieces == 0);
  BOOST_TEST(whole >= kUploads / 2);
  BOOST_TEST(in_trouble.requests() > 0);
  BOOST_TEST(in_trouble.requests() <= kUploads / 2);
}

BOOST_AUTO_TEST_CASE(
    an_answer_without_a_valid_status_ends_its_request_at_once) {
  int begun = 0;
  upstreams[0].on_bytes = [&begun](RawUpstream::Connection& server) {
    if (server.received.size() > sizeof server.buffer)
      return;
    ++begun;
    Reply(server, "HTTP/1.1 000 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  };
  const TimePoint start = loop.Now();
  for (int i = 0; i < kUploads && begun == 0; ++i) {
    const std::string received = Upload("/once/");
    BOOST_TEST((HasStatus(received, 502) || received.ends_with("whole")));
  }
  BOOST_TEST(begun > 0);
  // The time limit of the route.
  BOOST_CHECK(loop.Now() - start < Millis(3000));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::gateway
