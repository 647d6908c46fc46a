#include <boost/test/unit_test.hpp>

#include "endivecart/gateway/send_invariants.h"

namespace endivecart::gateway {
namespace {

// A send that satisfies all invariants; each test violates one of them.
struct ValidSend {
  ValidSend() {
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
    context.request = &request;
    context.upstream = &upstream;
    context.decisions = &decisions;
    context.service = upstream.service;
    context.caller_was_there = true;
  }

  // Returns whether exactly this invariant is violated and counted.
  bool Violates(Invariant invariant) {
    return IsOnlyOneViolated(invariant,
                             [this] { return CheckSendInvariants(context); });
  }
  static bool IsOnlyOneViolated(Invariant invariant,
                                const std::function<bool()>& check) {
    const std::uint64_t before = InvariantMonitor::Get().Violations(invariant);
    const std::uint64_t all = InvariantMonitor::Get().TotalViolations();
    const bool held = check();
    return !held &&
           InvariantMonitor::Get().Violations(invariant) == before + 1 &&
           InvariantMonitor::Get().TotalViolations() == all + 1;
  }

  CallerRequest caller;
  upstreams::Announcement upstream;
  fleet::Decisions decisions;
  UpstreamRequest request;
  SendContext context;
};

BOOST_FIXTURE_TEST_SUITE(gateway_promises,
                         ValidSend,
                         *boost::unit_test::label("gateway"))

BOOST_AUTO_TEST_CASE(a_send_that_satisfies_all_invariants_is_allowed) {
  BOOST_TEST(CheckSendInvariants(context));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_told_this_host_to_wait_gets_no_sends) {
  context.is_waiting = true;
  BOOST_TEST(Violates(Invariant::kUpstreamCapacity));
}

BOOST_AUTO_TEST_CASE(a_draining_upstream_gets_no_sends) {
  upstream.state = upstreams::UpstreamState::kDraining;
  BOOST_TEST(Violates(Invariant::kLeavingGetsNoWork));
}

BOOST_AUTO_TEST_CASE(a_domain_taken_out_gets_no_sends) {
  decisions.domains[DomainId("a")] = {true, 1};
  BOOST_TEST(Violates(Invariant::kDomainOutGetsNoWork));
}

BOOST_AUTO_TEST_CASE(a_version_that_was_rolled_back_gets_no_sends) {
  decisions.moves[context.service] = {VersionId("v1"), Millis(1),
                                      fleet::MoveState::kRolledBack, 1};
  BOOST_TEST(Violates(Invariant::kBadVersionShare));
}

BOOST_AUTO_TEST_CASE(
    a_request_that_may_have_run_is_not_retried_unless_idempotent) {
  context.may_have_run = true;
  BOOST_TEST(Violates(Invariant::kAtMostOnce));
  context.may_repeat = true;
  BOOST_TEST(CheckSendInvariants(context));
}

BOOST_AUTO_TEST_CASE(a_cold_upstream_gets_no_request_without_a_permit) {
  context.is_cold = true;
  BOOST_TEST(Violates(Invariant::kUpstreamCapacity));
  context.has_cold_start_permit = true;
  BOOST_TEST(CheckSendInvariants(context));
}

BOOST_AUTO_TEST_CASE(a_limited_upstream_gets_no_request_without_a_permit) {
  context.is_limited = true;
  BOOST_TEST(Violates(Invariant::kUpstreamCapacity));
  context.has_limit_permit = true;
  BOOST_TEST(CheckSendInvariants(context));
}

BOOST_AUTO_TEST_CASE(a_quarantined_prompt_is_sent_only_as_a_trial) {
  context.is_quarantined = true;
  BOOST_TEST(Violates(Invariant::kQuarantinedPartGetsNoWork));
  context.is_trial = true;
  BOOST_TEST(CheckSendInvariants(context));
}

BOOST_AUTO_TEST_CASE(a_cache_label_of_another_weights_version_is_not_used) {
  request.cache_label = "m.2";
  BOOST_TEST(Violates(Invariant::kVersionIsolation));
}

BOOST_AUTO_TEST_CASE(a_shared_label_without_an_expected_version_is_not_used) {
  request.weights_version.reset();
  BOOST_TEST(Violates(Invariant::kVersionIsolation));
}

BOOST_AUTO_TEST_CASE(a_request_with_an_unshared_label_fetches_no_cache) {
  request.cache_label = "r1";
  request.weights_version.reset();
  BOOST_TEST(CheckSendInvariants(context));
  request.fetch_cache_from = {settings::Endpoint{"10.0.0.1", 80}};
  BOOST_TEST(Violates(Invariant::kVersionIsolation));
}

// Guards against MIXED: a part was fetched that a store had not completed.
BOOST_AUTO_TEST_CASE(
    from_stores_only_complete_parts_are_fetched_by_a_deadline) {
  request.fetch_cache_from = {settings::Endpoint{"10.0.0.1", 80}};
  BOOST_TEST(Violates(Invariant::kCacheBlockSealed));
  request.fetch_until_ms = 1;
  FetchContext store{true, true, true, true};
  context.fetches = {store};
  BOOST_TEST(CheckSendInvariants(context));
  context.fetches[0].is_complete = false;
  BOOST_TEST(Violates(Invariant::kCacheBlockSealed));
  context.fetches[0] = store;
  context.fetches[0].may_hold = false;
  BOOST_TEST(Violates(Invariant::kStaysInRegion));
}

// Guards against MIXED and against work for engines that are about to leave.
BOOST_AUTO_TEST_CASE(engines_are_asked_for_parts_only_while_sound) {
  request.fetch_cache_from = {settings::Endpoint{"10.0.0.1", 80}};
  FetchContext engine;
  engine.is_known = engine.may_hold = engine.is_ready = true;
  engine.weights_version = 3;
  context.fetches = {engine};
  BOOST_TEST(CheckSendInvariants(context));
  context.fetches[0].weights_version = 2;
  BOOST_TEST(Violates(Invariant::kVersionIsolation));
  const auto violates_with = [&](bool FetchContext::*field, bool value) {
    context.fetches[0] = engine;
    context.fetches[0].*field = value;
    return Violates(Invariant::kLeavingGetsNoWork);
  };
  BOOST_TEST(violates_with(&FetchContext::is_ready, false));
  BOOST_TEST(violates_with(&FetchContext::is_cold, true));
  BOOST_TEST(violates_with(&FetchContext::is_silent, true));
}

BOOST_AUTO_TEST_CASE(an_isolated_customer_uses_its_own_label) {
  context.cache_scope.isolated_customer = CustomerId("c");
  request.cache_label = "m.3.c";
  BOOST_TEST(CheckSendInvariants(context));
  request.cache_label = "m.3";
  BOOST_TEST(!CheckSendInvariants(context));
}

BOOST_AUTO_TEST_CASE(shared_cache_has_the_label_of_its_generation) {
  context.cache_scope.generation = 9;
  request.cache_label = "m.3@9";
  BOOST_TEST(CheckSendInvariants(context));
  request.cache_label = "m.3";
  BOOST_TEST(!CheckSendInvariants(context));
}

BOOST_AUTO_TEST_CASE(a_request_goes_only_to_the_upstream_that_it_names) {
  request.upstream = UpstreamId("other");
  BOOST_TEST(Violates(Invariant::kAnswerComplete));
}

BOOST_AUTO_TEST_CASE(a_brittle_upstream_gets_no_more_than_it_has_room_for) {
  context.is_brittle = true;
  BOOST_TEST(Violates(Invariant::kUpstreamCapacity));
  context.has_room = true;
  BOOST_TEST(CheckSendInvariants(context));
}

BOOST_AUTO_TEST_CASE(no_request_is_sent_without_a_look_for_its_caller) {
  context.caller_was_there = false;
  BOOST_TEST(Violates(Invariant::kCallerIsThere));
  RelayContext relay;
  relay.request = &caller;
  BOOST_TEST(IsOnlyOneViolated(Invariant::kCallerIsThere,
                               [&] { return CheckRelayInvariants(relay); }));
}

BOOST_AUTO_TEST_CASE(a_request_is_relayed_once_within_its_regions) {
  RelayContext relay;
  relay.request = &caller;
  relay.caller_was_there = true;
  const auto check = [&relay] { return CheckRelayInvariants(relay); };
  BOOST_TEST(check());
  relay.was_relayed = true;
  BOOST_TEST(IsOnlyOneViolated(Invariant::kRelayedOnce, check));
  relay.was_relayed = false;
  relay.may_be_there = false;
  BOOST_TEST(IsOnlyOneViolated(Invariant::kStaysInRegion, check));
  relay.may_be_there = true;
  relay.may_have_run = true;
  BOOST_TEST(IsOnlyOneViolated(Invariant::kAtMostOnce, check));
  relay.may_repeat = true;
  relay.is_quarantined = true;
  BOOST_TEST(IsOnlyOneViolated(Invariant::kQuarantinedPartGetsNoWork, check));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
