// Which connections a server closes to accept another beyond its limit.

#include <boost/test/unit_test.hpp>

#include "endivecart/net/net.h"
#include "support/loop_fixture.h"

namespace endivecart::net {
namespace {

using tests::LoopFixture;
using tests::RawCaller;

// A server for two connections that keeps requests until the test answers them.
struct TwoSlots : LoopFixture {
  TwoSlots() {
    HttpServerLimits limits;
    limits.max_connections = 2;
    server = std::move(*HttpServer::Listen(
        loop, tests::AnyPort(), limits, [this](HttpExchangePtr exchange) {
          held.push_back(std::move(exchange));
        }));
  }

  // Sends a request and answers it, so that the connection is kept idle.
  void GetAnswer(RawCaller& caller) {
    caller.Write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    RunUntil([&] { return held.size() == 1; });
    BOOST_REQUIRE(held.size() == 1u);
    held.front()->Respond(MakeResponse(200, "text/plain", "a"));
    held.clear();
    RunUntil([&] { return !caller.received().empty(); });
  }

  std::vector<HttpExchangePtr> held;
  std::unique_ptr<HttpServer> server;
};

BOOST_AUTO_TEST_SUITE(net_full_server, *boost::unit_test::label("net"))

// Guards against operators who are kept out of a control host by thousands of
// idle connections.
BOOST_FIXTURE_TEST_CASE(a_full_server_closes_the_connection_idle_for_longest,
                        TwoSlots) {
  RawCaller oldest(loop, server->port());
  RunUntil([&] { return server->connections() == 1; });
  RunFor(Millis(5));
  RawCaller busy(loop, server->port());
  busy.Write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([&] { return held.size() == 1; });
  RawCaller third(loop, server->port());
  third.Write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([&] { return held.size() == 2; });
  BOOST_TEST(held.size() == 2u);
  RunUntil([&] { return oldest.ended(); });
  BOOST_TEST(oldest.ended());
  // Both requests are in progress, so there is nothing to close.
  RawCaller fourth(loop, server->port());
  RunUntil([&] { return fourth.ended(); });
  BOOST_TEST(fourth.ended());
  BOOST_TEST(!busy.ended());
  BOOST_TEST(!third.ended());
}

// Guards against operators who are kept out by upstreams that keep connections
// on which they were answered.
BOOST_FIXTURE_TEST_CASE(a_full_server_closes_the_longest_idle_answered_one,
                        TwoSlots) {
  RawCaller oldest(loop, server->port());
  GetAnswer(oldest);
  RunFor(Millis(50));
  RawCaller newer(loop, server->port());
  GetAnswer(newer);
  RunFor(kMinCloseAge + Millis(100));
  RawCaller third(loop, server->port());
  third.Write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([&] { return held.size() == 1 && oldest.ended(); });
  BOOST_TEST(held.size() == 1u);
  BOOST_TEST(oldest.ended());
  BOOST_TEST(!newer.ended());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::net
