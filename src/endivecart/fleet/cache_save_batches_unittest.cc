#include "endivecart/fleet/cache_save_batches.h"

#include <boost/test/unit_test.hpp>

#include "endivecart/fleet/save_grant_log.h"

namespace endivecart::fleet {
namespace {

constexpr Millis kLifetime{10000};

// A leader whose proposals are decided by hand.
struct Leader {
  Leader()
      : batches(catalog,
                timers,
                {[this](const wire::FleetCommand& command,
                        std::function<void(bool)> done) {
                   proposals.push_back(command.grant_saves());
                   this->done = std::move(done);
                 },
                 [this](const HostId&, const wire::CacheSaveGrant& grant) {
                   (grant.parts().empty() ? denials : grants)
                       .push_back(grant.number());
                 }}) {
    timers.Advance(Millis(1'000'000));
    routes::CacheStore settings;
    settings.address = {"10.0.0.1", 80};
    settings.cache_tokens = 10000;
    catalog.SetStores({settings});
    catalog.SetRequestLimit(kLifetime);
    catalog.OnLeadershipGained(3, timers.Now(), false);
    batches.OnLeadershipGained(false);
    batches.Tick();
    Decide(true);
    List();
    timers.Advance(Millis(5000));
    proposals.clear();
  }
  void List() {
    timers.Advance(Millis(5000));
    catalog.NextReads(timers.Now());
    catalog.OnList({"10.0.0.1", 80}, {1, 1, {}, {}}, timers.Now());
  }
  void Decide(bool is_decided) { std::exchange(done, nullptr)(is_decided); }
  void Claim(std::uint64_t number, std::uint64_t part) {
    wire::CacheSaveClaim claim;
    claim.set_term(3);
    claim.set_number(number);
    claim.set_lifetime_ms(static_cast<std::uint32_t>(kLifetime.count()));
    claim.add_parts()->set_key(part);
    batches.OnClaim(HostId("a"), claim);
  }

  ManualTimerService timers;
  CacheCatalog catalog;
  std::vector<wire::GrantSavesCommand> proposals;
  std::function<void(bool)> done;
  std::vector<std::uint64_t> grants;
  std::vector<std::uint64_t> denials;
  CacheSaveBatches batches;
};

BOOST_AUTO_TEST_SUITE(fleet_save_batches, *boost::unit_test::label("fleet"))

// Guards against MIXED: a grant that the next leader doesn't know.
BOOST_FIXTURE_TEST_CASE(a_claim_is_answered_once_its_grant_is_decided, Leader) {
  Claim(1, 7);
  BOOST_TEST(grants.empty());
  BOOST_REQUIRE(proposals.size() == 1u);
  BOOST_TEST(proposals[0].grants_size() == 1);
  BOOST_TEST(proposals[0].grants(0).ends_in_ms() == 13500u);
  Decide(true);
  BOOST_TEST(grants == std::vector<std::uint64_t>{1},
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(claims_wait_for_the_batch_under_way, Leader) {
  Claim(1, 7);
  Claim(2, 8);
  Claim(3, 9);
  Claim(4, 7);  // another claim has it
  timers.Advance(Millis(10));
  BOOST_TEST(proposals.size() == 1u);
  Decide(true);
  BOOST_TEST(proposals.size() == 1u);  // the log is applying entries
  timers.Advance(CacheSaveBatches::kMinInterval);
  BOOST_REQUIRE(proposals.size() == 2u);
  BOOST_TEST(proposals[1].grants_size() == 2);
  Decide(true);
  BOOST_TEST(grants.size() == 3u);
  BOOST_TEST(denials.size() == 1u);
}

// Guards against overload of the control hosts.
BOOST_FIXTURE_TEST_CASE(there_are_at_most_50_batches_a_second, Leader) {
  for (std::uint64_t i = 0; i < 1000; ++i) {
    Claim(i, i);
    if (done)
      Decide(true);
    timers.Advance(Millis(1));
  }
  BOOST_TEST(proposals.size() <= 50u);
  BOOST_TEST(proposals.size() > 40u);
  BOOST_TEST(grants.size() > 900u);
}

BOOST_FIXTURE_TEST_CASE(without_claims_nothing_is_proposed, Leader) {
  Claim(1, 7);
  Decide(true);
  for (int i = 0; i < 100; ++i) {
    timers.Advance(Millis(50));
    batches.Tick();
  }
  List();
  BOOST_TEST(proposals.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_grant_that_is_not_decided_is_taken_back, Leader) {
  Claim(1, 7);
  Decide(false);
  BOOST_TEST(grants.empty());
  timers.Advance(CacheSaveBatches::kFailurePause);
  Claim(2, 7);
  BOOST_REQUIRE(proposals.size() == 2u);
  // The log may have the first grant all the same.
  BOOST_REQUIRE(proposals[1].ended_size() == 1);
  BOOST_TEST(proposals[1].ended(0).claim() == 1u);
  BOOST_TEST(proposals[1].grants(0).claim() == 2u);
  Decide(false);
  timers.Advance(CacheSaveBatches::kFailurePause);
  Claim(3, 8);
  BOOST_TEST(proposals.back().ended_size() == 2);
}

BOOST_FIXTURE_TEST_CASE(claims_that_waited_too_long_are_not_logged, Leader) {
  Claim(1, 7);
  Claim(2, 8);
  timers.Advance(CacheSaveLedger::kClaimWait);
  Claim(3, 9);
  Decide(true);
  timers.Advance(Millis(10));
  BOOST_REQUIRE(proposals.size() == 2u);
  BOOST_REQUIRE(proposals[1].grants_size() == 1);
  BOOST_TEST(proposals[1].grants(0).claim() == 3u);
}

BOOST_FIXTURE_TEST_CASE(grants_that_ended_leave_the_log_with_the_next_batch,
                        Leader) {
  Claim(1, 7);
  Decide(true);
  timers.Advance(CacheSaveLedger::GrantTime(kLifetime));
  Claim(2, 8);
  BOOST_REQUIRE(proposals.size() == 2u);
  BOOST_TEST(proposals[1].ended_size() == 1);
}

BOOST_FIXTURE_TEST_CASE(a_leader_that_knows_too_little_announces_nothing,
                        Leader) {
  catalog.OnLeadershipGained(3, timers.Now(), true);
  batches.OnLeadershipGained(false);
  batches.Tick();
  Claim(1, 7);
  BOOST_TEST(proposals.empty());
  BOOST_TEST(denials.size() == 1u);
  timers.Advance(CacheSaveLedger::GrantTime(kLifetime));
  batches.Tick();
  BOOST_REQUIRE(proposals.size() == 1u);
  BOOST_TEST(proposals[0].replaces_all());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
