#include <boost/test/unit_test.hpp>

#include "endivecart/gateway/cache_save_claims.h"

namespace endivecart::gateway {
namespace {

constexpr Millis kLifetime{10000};
constexpr std::uint64_t kTerm = 3;

// A host and what it sends to the leader.
struct Host {
  Host() {
    claims.SetSender([this](wire::Envelope envelope) {
      sent.push_back(std::move(envelope));
      return leader_is_reachable;
    });
  }

  bool Claim() {
    return claims.Claim(kTerm, parts, kLifetime,
                        [this](const SavePermits& permits) {
                          ++answers;
                          granted = permits;
                          return takes_permits;
                        });
  }
  void Answer(const wire::CacheSaveClaim& claim, int granted_parts) {
    wire::CacheSaveGrant grant;
    grant.set_term(claim.term());
    grant.set_number(claim.number());
    for (int i = 0; i < granted_parts; ++i)
      *grant.add_parts() = claim.parts(i);
    claims.OnGrant(grant, newest_term);
  }

  const std::vector<SavePart> parts{{0, 11, 1, {"10.0.0.2", 80}},
                                    {1, 12, 0, {"10.0.0.1", 80}}};
  std::uint64_t newest_term = kTerm;
  bool leader_is_reachable = true;
  bool takes_permits = true;
  int answers = 0;
  SavePermits granted;
  std::vector<wire::Envelope> sent;
  ManualTimerService timers;
  CacheSaveClaims claims{100, timers};
};

BOOST_AUTO_TEST_SUITE(gateway_save_claims, *boost::unit_test::label("gateway"))

BOOST_FIXTURE_TEST_CASE(a_request_gets_the_parts_that_the_leader_grants, Host) {
  BOOST_TEST(Claim());
  const auto& claim = sent.at(0).cache_save_claim();
  BOOST_TEST(claim.term() == kTerm);
  BOOST_TEST(claim.parts_size() == 2);
  BOOST_TEST(claim.lifetime_ms() == 10000u);
  Answer(claim, 1);
  BOOST_TEST(answers == 1);
  BOOST_CHECK(granted.parts == std::vector<SavePart>{parts[0]});
  // The other one is another request's for now.
  BOOST_TEST(Claim());
  BOOST_TEST(sent.at(1).cache_save_claim().parts_size() == 1);
  BOOST_TEST(sent.at(1).cache_save_claim().parts(0).key() == 11u);
}

BOOST_FIXTURE_TEST_CASE(no_request_waits_for_a_silent_leader, Host) {
  BOOST_TEST(Claim());
  timers.Advance(CacheSaveClaims::kMaxWait);
  BOOST_TEST(answers == 1);
  BOOST_TEST(granted.empty());
  BOOST_TEST(!Claim());
  timers.Advance(CacheSaveClaims::kSilentPause);
  BOOST_TEST(Claim());
}

BOOST_FIXTURE_TEST_CASE(a_grant_that_comes_too_late_is_given_back, Host) {
  BOOST_TEST(Claim());
  const auto claim = sent.at(0).cache_save_claim();
  timers.Advance(CacheSaveClaims::kMaxWait);
  Answer(claim, 2);
  BOOST_TEST(answers == 1);
  const auto& release = sent.at(1).cache_save_release();
  BOOST_TEST(release.saves_size() == 2);
  BOOST_TEST(release.saves(0).claim() == claim.number());
  BOOST_TEST(!release.was_sent());
  BOOST_TEST(claims.Outstanding().empty());
}

// Guards against MIXED: the new leader would not know of the save.
BOOST_FIXTURE_TEST_CASE(a_grant_of_an_earlier_leader_is_given_back, Host) {
  BOOST_TEST(Claim());
  newest_term = kTerm + 1;
  Answer(sent.at(0).cache_save_claim(), 2);
  BOOST_TEST(answers == 1);
  BOOST_TEST(granted.empty());
  BOOST_TEST(sent.at(1).cache_save_release().saves_size() == 2);
  BOOST_TEST(claims.Outstanding().empty());
}

BOOST_FIXTURE_TEST_CASE(saves_are_reported_for_as_long_as_they_may_begin,
                        Host) {
  using Ledger = fleet::CacheSaveLedger;
  BOOST_TEST(Claim());
  Answer(sent.at(0).cache_save_claim(), 2);
  timers.Advance(Millis(1000));
  const auto outstanding = claims.Outstanding();
  BOOST_TEST(outstanding.size() == 2u);
  const Millis all =
      kLifetime + Ledger::kTransferWait + Ledger::kMargin - Millis(1000);
  BOOST_TEST(outstanding.at(0).ends_in_ms() >= all.count());
  claims.Release(granted, true);
  timers.Advance(Ledger::kTransferWait - Millis(1));
  BOOST_TEST(claims.Outstanding().size() == 2u);
  timers.Advance(Millis(1));
  BOOST_TEST(claims.Outstanding().empty());
}

BOOST_FIXTURE_TEST_CASE(a_grant_for_a_request_that_has_ended_is_given_back,
                        Host) {
  takes_permits = false;
  BOOST_TEST(Claim());
  Answer(sent.at(0).cache_save_claim(), 2);
  BOOST_TEST(sent.at(1).cache_save_release().saves_size() == 2);
}

// Guards against saving a part with each prompt because its store drops it.
BOOST_FIXTURE_TEST_CASE(a_part_that_was_sent_is_not_saved_again_and_again,
                        Host) {
  BOOST_TEST(Claim());
  Answer(sent.at(0).cache_save_claim(), 2);
  claims.Release(granted, true);
  BOOST_TEST(!Claim());
  timers.Advance(CacheSaveClaims::kSentPause);
  BOOST_TEST(Claim());
}

BOOST_FIXTURE_TEST_CASE(nothing_is_claimed_without_a_leader, Host) {
  leader_is_reachable = false;
  BOOST_TEST(!Claim());
  timers.Advance(CacheSaveClaims::kMaxWait);
  BOOST_TEST(answers == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
