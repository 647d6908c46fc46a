#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "support/cache_fleet.h"

namespace endivecart::gateway {
namespace {

constexpr Millis kRunTime{24000};

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway_cache_protocol,
                      *boost::unit_test::label("gateway"))

BOOST_DATA_TEST_CASE(parts_are_fetched_and_saved_without_trouble,
                     boost::unit_test::data::make({1, 6, 30}),
                     hosts) {
  CacheFleet fleet(static_cast<std::size_t>(hosts), 600, 600, {}, 1);
  fleet.Run(kRunTime);
  BOOST_TEST(fleet.bad_fetches == 0);
  BOOST_TEST(fleet.fetches > 100 * hosts);
}

// Guards against MIXED: a new leader published the stores' parts before it knew
// the servers' clock, and fetches had no deadline until it did.
BOOST_DATA_TEST_CASE(fetches_after_a_change_of_leader_have_deadlines,
                     boost::unit_test::data::make({1, 2, 3}),
                     seed) {
  Troubles troubles;
  troubles.leaders_change = true;
  troubles.labels_retire = true;
  troubles.fetches_are_slow = true;
  CacheFleet fleet(30, 600, 600, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", without deadline "
                                << fleet.fetches_without_deadline << ", bad "
                                << fleet.bad_fetches);
  BOOST_TEST(fleet.fetches_without_deadline == 0);
  BOOST_TEST(fleet.bad_fetches == 0);
  BOOST_TEST(fleet.fetches > 1000);
}

// Guards against MIXED: a host that was still catching up with the removals of
// a restarted store fetched parts that were just being written there again.
BOOST_DATA_TEST_CASE(hosts_that_lag_behind_a_restart_fetch_no_incomplete_part,
                     boost::unit_test::data::make({1, 2, 3}),
                     seed) {
  Troubles troubles;
  troubles.stores_restart = true;
  troubles.updates_are_lost = true;
  CacheFleet fleet(6, 30000, 40, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", bad "
                                << fleet.bad_fetches);
  BOOST_TEST(fleet.bad_fetches == 0);
  BOOST_TEST(fleet.fetches > 1000);
}

// Guards against MIXED: a save that was planned before a store restarted, or by
// a host that didn't know of it, met fetches of the part that was there before.
BOOST_DATA_TEST_CASE(saves_that_cross_a_restart_meet_no_fetch,
                     boost::unit_test::data::make({1, 2, 3}),
                     seed) {
  Troubles troubles;
  troubles.stores_restart = true;
  troubles.updates_are_lost = true;
  troubles.saves_cross_restarts = true;
  CacheFleet fleet(6, 30000, 40, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST(fleet.bad_fetches == 0);
}

// Guards against MIXED: an update that was held up for seconds made what the
// host knew look fresh.
BOOST_DATA_TEST_CASE(updates_that_are_held_up_prove_nothing,
                     boost::unit_test::data::make({1, 2, 3}),
                     seed) {
  Troubles troubles;
  troubles.labels_retire = true;
  troubles.hosts_are_cut_off = true;
  CacheFleet fleet(30, 300, 60, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", bad "
                                << fleet.bad_fetches);
  BOOST_TEST(fleet.bad_fetches == 0);
  BOOST_TEST(fleet.fetches > 1000);
}

// Guards against MIXED: parts were saved to a restarted store while fetches
// that had been planned before could still begin.
BOOST_DATA_TEST_CASE(a_restarted_store_is_written_after_the_last_old_fetch,
                     boost::unit_test::data::make({1, 2, 3}),
                     seed) {
  Troubles troubles;
  troubles.stores_restart = true;
  troubles.fetches_are_slow = true;
  troubles.updates_are_lost = true;
  CacheFleet fleet(30, 600, 60, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", bad "
                                << fleet.bad_fetches);
  BOOST_TEST(fleet.bad_fetches == 0);
  BOOST_TEST(fleet.fetches > 1000);
}

Troubles MixOfTroubles(int seed) {
  Troubles troubles;
  troubles.stores_restart = seed % 2 == 0;
  troubles.labels_retire = true;
  troubles.hosts_are_cut_off = seed % 3 != 0;
  troubles.writers_are_slow = seed % 4 == 0;
  troubles.leaders_change = true;
  troubles.updates_are_lost = true;
  troubles.fetches_are_slow = seed % 5 < 3;
  return troubles;
}

BOOST_DATA_TEST_CASE(no_mix_of_troubles_leads_to_a_bad_fetch,
                     boost::unit_test::data::xrange(1, 11) *
                         boost::unit_test::data::make({3, 30}),
                     seed,
                     hosts) {
  CacheFleet fleet(static_cast<std::size_t>(hosts), 5000, 100,
                   MixOfTroubles(seed), seed);
  fleet.Run(kRunTime);
  BOOST_TEST(fleet.bad_fetches == 0);
}

BOOST_DATA_TEST_CASE(no_mix_with_saves_that_cross_restarts_leads_to_one,
                     boost::unit_test::data::xrange(1, 11) *
                         boost::unit_test::data::make({3, 30}),
                     seed,
                     hosts) {
  Troubles troubles = MixOfTroubles(seed);
  troubles.saves_cross_restarts = true;
  CacheFleet fleet(static_cast<std::size_t>(hosts), 5000, 100, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST(fleet.bad_fetches == 0);
}

// Guards against MIXED: the next leader doesn't know what was granted before
// all processes restarted.
BOOST_DATA_TEST_CASE(no_restart_of_all_processes_leads_to_a_bad_fetch,
                     boost::unit_test::data::xrange(1, 11) *
                         boost::unit_test::data::make({3, 30}),
                     seed,
                     hosts) {
  Troubles troubles = MixOfTroubles(seed);
  troubles.saves_cross_restarts = true;
  troubles.processes_restart = true;
  troubles.answers_are_lost = seed % 2 == 1;
  CacheFleet fleet(static_cast<std::size_t>(hosts), 5000, 100, troubles, seed);
  fleet.Run(2 * kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", saves " << fleet.saves
                                << ", bad " << fleet.bad_fetches);
  BOOST_TEST(fleet.bad_fetches == 0);
}

// Guards against MIXED: a save that was granted before all processes restarted
// begins after the next leader has published the part and its store has
// restarted.
BOOST_DATA_TEST_CASE(saves_that_cross_a_restart_of_all_processes_meet_no_fetch,
                     boost::unit_test::data::xrange(1, 9),
                     seed) {
  Troubles troubles;
  troubles.stores_restart = true;
  troubles.updates_are_lost = true;
  troubles.saves_cross_restarts = true;
  troubles.saves_are_late = true;
  troubles.processes_restart = true;
  CacheFleet fleet(12, 0, 30, troubles, seed);
  fleet.Run(5 * kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", saves " << fleet.saves
                                << ", bad " << fleet.bad_fetches);
  BOOST_TEST(fleet.bad_fetches == 0);
}

// Guards against the loss of the cache on days on which all processes restart:
// nothing was saved for the longest request.
BOOST_AUTO_TEST_CASE(saves_go_on_after_a_restart_of_all_processes) {
  Troubles troubles;
  troubles.saves_cross_restarts = true;
  CacheFleet fleet(6, 0, 600, troubles, 1);
  fleet.Run(kRunTime);
  const int before = fleet.saves;
  BOOST_TEST(before > 0);
  fleet.RestartProcesses();
  // The next leader waits for a store's former fetches in any case.
  fleet.Run(fleet::CacheCatalog::kFreeDelay + Millis(1500));
  BOOST_TEST(fleet.saves > before);
  BOOST_TEST(fleet.bad_fetches == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::gateway
