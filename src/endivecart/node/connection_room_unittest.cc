#include "endivecart/node/connection_room.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "support/loop_fixture.h"

namespace endivecart::node {
namespace {

BOOST_AUTO_TEST_SUITE(node_connection_room, *boost::unit_test::label("net"))

// Guards against a host that runs out of descriptors: 2,870 on the smallest, of
// which 200 are for files.
BOOST_AUTO_TEST_CASE(connections_leave_descriptors_for_upstreams) {
  const ConnectionLimits small = ConnectionLimitsFor(2870);
  BOOST_TEST(small.callers + small.relay < 2670u * 3 / 5);
  BOOST_TEST(small.operators <= 2670u / 2);
  BOOST_TEST(ConnectionLimitsFor(0).callers > 0u);
  BOOST_TEST(ConnectionLimitsFor(1'000'000).callers == 2500u);
}

// Guards against a control host that looks through all connections for each new
// one of thousands of upstreams.
BOOST_FIXTURE_TEST_CASE(the_longest_idle_connections_make_room_for_new_ones,
                        tests::LoopFixture) {
  constexpr std::size_t kSlots = 8;
  const auto server = std::move(*net::HttpServer::Listen(
      loop, tests::AnyPort(), {}, [](const net::HttpExchangePtr& exchange) {
        exchange->Respond(net::MakeResponse(200, "", ""));
      }));
  std::vector<std::unique_ptr<tests::RawCaller>> callers;
  for (std::size_t i = 0; i + 1 < kSlots; ++i) {
    if (i == 1)
      RunFor(Millis(700));
    callers.push_back(std::make_unique<tests::RawCaller>(loop, server->port()));
    RunUntil([&] { return server->connections() == i + 1; });
  }
  RunFor(Millis(1100));
  KeepSlotsFree(*server, kSlots);
  BOOST_TEST(server->connections() == kSlots - 1);
  tests::RawCaller last(loop, server->port());
  RunUntil([&] { return server->connections() == kSlots; });
  KeepSlotsFree(*server, kSlots);
  RunUntil([&] { return callers.front()->ended(); });
  BOOST_TEST(callers.front()->ended());
  BOOST_TEST(!callers.back()->ended());
  BOOST_TEST(server->connections() == kSlots - 1);
}

// Guards against a document whose values cost far more than its text.
BOOST_AUTO_TEST_CASE(the_estimate_of_json_follows_its_values) {
  const std::string one_string = "\"" + std::string(10'000, 'x') + "\"";
  std::string many_values = "[1";
  while (many_values.size() < one_string.size())
    many_values += ",1";
  BOOST_TEST(EstimateJsonBytes(many_values) >
             10 * EstimateJsonBytes(one_string));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::node
