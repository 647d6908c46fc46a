#include "endivecart/node/duty_inputs.h"

#include <boost/test/unit_test.hpp>

namespace endivecart::node {
namespace {

using upstreams::UpstreamState;

TimePoint At(int millis) {
  return TimePoint(Millis(1'000'000 + millis));
}

struct Fleet {
  Fleet() {
    routes::Service scaled;
    scaled.id = routes::ServiceId("s");
    scaled.scaling = routes::Scaling{1, 9, Millis(8000)};
    scaled.engine.emplace();
    scaled.engine->slots = 4;
    scaled.engine->cache_tokens = 1000;
    routes::Service plain;
    plain.id = routes::ServiceId("p");
    routing.services = {scaled, plain};
  }

  void Announce(const std::string& id,
                const std::string& domain,
                int at,
                UpstreamState state = UpstreamState::kReady) {
    upstreams::Announcement announcement;
    announcement.id = UpstreamId(id);
    announcement.start_time_ms = 1;
    announcement.sequence = ++sequence;
    announcement.service = routes::ServiceId("s");
    announcement.address = {"10.0.0.1", static_cast<int>(std::stoi(id))};
    announcement.domain = DomainId(domain);
    announcement.state = state;
    roster.Apply(announcement, At(at), At(at));
  }
  void Poll(const std::string& domain, std::uint32_t waiting, int at) {
    wire::FleetPoll poll;
    poll.mutable_reach()->set_domain(domain);
    if (waiting > 0) {
      wire::WaitingRecord& record = *poll.add_waiting();
      record.set_service("s");
      record.set_requests(waiting);
    }
    inputs.OnCallerPoll(HostId("h" + domain), poll, At(at));
  }
  duties::ScaledService Collect(int at) {
    const auto collected = inputs.Collect(
        routing, decisions, roster,
        [](const UpstreamId&) {
          wire::UpstreamLoad load;
          load.set_requests(2);
          load.set_held_tokens(250);
          return load;
        },
        At(at));
    BOOST_REQUIRE(collected.services.size() == 1U);
    return collected.services[0];
  }

  routes::RoutingConfiguration routing;
  fleet::Decisions decisions;
  upstreams::UpstreamRegistry roster;
  DutyInputs inputs;
  std::uint64_t sequence = 0;
};

BOOST_AUTO_TEST_SUITE(node_duty_inputs, *boost::unit_test::label("duties"))

BOOST_FIXTURE_TEST_CASE(servers_work_and_waiting_requests_are_summed, Fleet) {
  Announce("1", "a", 0);
  Announce("2", "a", 0);
  Announce("3", "b", 0, UpstreamState::kDraining);
  Poll("a", 3, 0);
  Poll("b", 4, 0);
  decisions.domains[DomainId("b")].out = true;
  const auto service = Collect(1000);
  BOOST_TEST(service.requests_per_server == 4);
  BOOST_TEST(service.waiting_requests == 7);
  BOOST_REQUIRE(service.domains.size() == 2U);
  BOOST_TEST(service.domains[0].ready == 2);
  BOOST_TEST(service.domains[0].requests == 4);
  BOOST_TEST(service.domains[0].memory_share == 0.25);
  BOOST_TEST(!service.domains[0].is_out);
  BOOST_TEST(service.domains[1].leaving == 1);
  BOOST_TEST(service.domains[1].is_out);
}

// Guards against crashed servers that count as present, and against orders for
// a domain of which nothing is known.
BOOST_FIXTURE_TEST_CASE(silent_servers_are_missing_and_silent_domains_unknown,
                        Fleet) {
  Announce("1", "a", 0);
  Announce("2", "b", 0);
  Announce("3", "c", 0);
  Poll("a", 5, 0);
  Poll("b", 0, 4000);
  Announce("3", "c", 4000);
  const auto service = Collect(4001);
  BOOST_TEST(service.waiting_requests == 0);
  BOOST_REQUIRE(service.domains.size() == 3U);
  BOOST_TEST(!service.domains[0].is_reporting);
  BOOST_TEST(service.domains[1].is_reporting);
  BOOST_TEST(service.domains[1].ready == 0);
  BOOST_TEST(service.domains[2].ready == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::node
