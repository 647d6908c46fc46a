#include <boost/test/unit_test.hpp>

#include "endivecart/gateway/send_checks.h"

namespace endivecart::gateway {
namespace {

// A send that keeps all promises; each test spoils one thing.
struct SoundSend {
  SoundSend() {
    caller.id = RequestId("r1");
    caller.prompt = Prompt{ModelId("m"), 100, 10, {}, {}};
    upstream.id = UpstreamId("u");
    upstream.service = routes::ServiceId("s");
    upstream.domain = DomainId("a");
    upstream.software_version = VersionId("v1");
    request.caller = &caller;
    request.upstream = upstream.id;
    request.weights_version = 3;
    request.cache_label = "m.3";
    facts.request = &request;
    facts.upstream = &upstream;
    facts.decisions = &decisions;
    facts.service = upstream.service;
  }

  // Whether exactly this promise is found broken, and counted.
  bool Breaks(Invariant invariant) {
    const std::uint64_t before = InvariantMonitor::Get().Violations(invariant);
    const std::uint64_t all = InvariantMonitor::Get().TotalViolations();
    const bool held = CheckSend(facts);
    return !held &&
           InvariantMonitor::Get().Violations(invariant) == before + 1 &&
           InvariantMonitor::Get().TotalViolations() == all + 1;
  }

  CallerRequest caller;
  upstreams::Announcement upstream;
  fleet::Decisions decisions;
  UpstreamRequest request;
  SendFacts facts;
};

BOOST_FIXTURE_TEST_SUITE(gateway_promises,
                         SoundSend,
                         *boost::unit_test::label("gateway"))

BOOST_AUTO_TEST_CASE(a_sound_send_is_let_through) {
  BOOST_TEST(CheckSend(facts));
}

BOOST_AUTO_TEST_CASE(no_send_goes_to_a_leaving_upstream) {
  upstream.state = upstreams::UpstreamState::kDraining;
  BOOST_TEST(Breaks(Invariant::kLeavingGetsNoWork));
}

BOOST_AUTO_TEST_CASE(no_send_goes_into_a_domain_taken_out) {
  decisions.domains[DomainId("a")] = {true, 1};
  BOOST_TEST(Breaks(Invariant::kDomainOutGetsNoWork));
}

BOOST_AUTO_TEST_CASE(no_send_goes_to_a_version_that_was_rolled_back) {
  decisions.moves[facts.service] = {VersionId("v1"), Millis(1),
                                    fleet::MoveState::kRolledBack, 1};
  BOOST_TEST(Breaks(Invariant::kBadVersionShare));
}

BOOST_AUTO_TEST_CASE(
    nothing_that_may_have_run_is_sent_again_unless_idempotent) {
  facts.may_have_run = true;
  BOOST_TEST(Breaks(Invariant::kAtMostOnce));
  facts.may_repeat = true;
  BOOST_TEST(CheckSend(facts));
}

BOOST_AUTO_TEST_CASE(a_cold_upstream_gets_only_what_this_host_has_a_share_of) {
  facts.is_cold = true;
  BOOST_TEST(Breaks(Invariant::kUpstreamCapacity));
  facts.took_cold_share = true;
  BOOST_TEST(CheckSend(facts));
}

BOOST_AUTO_TEST_CASE(a_label_of_other_weights_is_not_used) {
  request.cache_label = "m.2";
  BOOST_TEST(Breaks(Invariant::kVersionIsolation));
}

BOOST_AUTO_TEST_CASE(a_shared_label_without_an_expected_version_is_not_used) {
  request.weights_version.reset();
  BOOST_TEST(Breaks(Invariant::kVersionIsolation));
}

BOOST_AUTO_TEST_CASE(a_request_that_shares_nothing_takes_nothing_from_others) {
  request.cache_label = "r1";
  request.weights_version.reset();
  BOOST_TEST(CheckSend(facts));
  request.fetch_cache_from = {settings::Endpoint{"10.0.0.1", 80}};
  BOOST_TEST(Breaks(Invariant::kVersionIsolation));
}

BOOST_AUTO_TEST_CASE(an_isolated_customer_uses_its_own_label) {
  facts.isolated_customer = CustomerId("c");
  request.cache_label = "m.3.c";
  BOOST_TEST(CheckSend(facts));
  request.cache_label = "m.3";
  BOOST_TEST(!CheckSend(facts));
}

BOOST_AUTO_TEST_CASE(a_request_goes_to_the_upstream_that_it_names) {
  request.upstream = UpstreamId("other");
  BOOST_TEST(Breaks(Invariant::kAnswerComplete));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
