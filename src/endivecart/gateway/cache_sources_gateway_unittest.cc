#include <boost/test/unit_test.hpp>

#include "support/gateway_fixture.h"

namespace endivecart::gateway {
namespace {

// A gateway with two engines whose links are known.
struct EngineFixture : tests::GatewayFixture {
  EngineFixture() {
    routes::RoutingConfiguration configuration = table->configuration();
    routes::EngineLimits engine;
    engine.cache_tokens = 1000000;
    engine.bytes_per_token = 100000;
    engine.link_mbps = 800000;
    configuration.services[0].engine = engine;
    table = std::make_shared<const routes::RouteTable>(
        std::make_shared<const routes::RoutingConfiguration>(configuration));
    ApplyDecisions({});
    for (int i = 0; i < 2; ++i)
      SetWeights(i, 5);
    answer = [](auto& connection, auto) {
      tests::Reply(connection,
                   StreamHead("1") + Chunk("data: x\n\n") + "0\r\n\r\n");
    };
    home = SendPrompt();
  }
  static UpstreamId IdOf(int upstream) {
    return UpstreamId("u" + std::to_string(upstream));
  }
  void SetWeights(int upstream, std::uint64_t version) {
    gateway.upstreams().RecordWeights(IdOf(upstream), ModelId("m"), version);
  }
  // Sends a prompt and returns the number of the engine that got it.
  int SendPrompt() {
    const std::string received =
        Send("/stream/", "1", "Key: k\r\nModel: m\r\nParts: head,own\r\n");
    BOOST_TEST(HasStatus(received, 200));
    return requests.back().find("Upstream: u1") == std::string::npos ? 0 : 1;
  }
  // Sends a prompt to the other engine, because the home is busy.
  void SendAwayFromHome() {
    gateway.upstreams().StartWork(IdOf(home), 500000, 0);
    BOOST_TEST(SendPrompt() != home);
  }
  std::uint64_t Count(const std::string& kind) const {
    return metrics.CounterValue("endivecart_cache_parts_total",
                                "source=\"" + kind + "\"");
  }

  int home = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_cache_engines,
                         EngineFixture,
                         *boost::unit_test::label("gateway"))

// Guards against prefill of parts that the home has.
BOOST_AUTO_TEST_CASE(away_from_its_home_a_prompt_fetches_its_parts_from_there) {
  BOOST_TEST(Count("prefill") == 1u);
  BOOST_TEST(SendPrompt() == home);
  BOOST_TEST(Count("memory") == 1u);
  SendAwayFromHome();
  BOOST_TEST(Count("home") == 1u);
}

// Guards against MIXED: the home has loaded other weights.
BOOST_AUTO_TEST_CASE(an_engine_with_other_weights_is_not_asked_for_parts) {
  SetWeights(home, 6);
  SendAwayFromHome();
  BOOST_TEST(Count("home") + Count("engine") == 0u);
}

// Guards against transfers from an engine that has just started.
BOOST_AUTO_TEST_CASE(a_cold_engine_is_not_asked_for_parts) {
  auto announcement = gateway.upstreams().Find(IdOf(home))->last;
  ++announcement.sequence;
  announcement.cold_for = Millis(60000);
  gateway.upstreams().Apply(announcement, loop.Now());
  SendAwayFromHome();
  BOOST_TEST(Count("home") + Count("engine") == 0u);
}

// Guards against transfers from an engine that is about to leave.
BOOST_AUTO_TEST_CASE(a_leaving_engine_is_not_asked_for_parts) {
  Announce(home, upstreams::UpstreamState::kDraining, 2);
  BOOST_TEST(SendPrompt() != home);
  BOOST_TEST(Count("home") + Count("engine") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::gateway
