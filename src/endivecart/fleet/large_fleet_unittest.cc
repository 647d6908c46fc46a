// Guards against control work that grows with hosts times upstreams: a fleet of
// 300 entry hosts once kept its control hosts so busy that a configuration
// could not be read back. Counts what the real feeds and followers of a whole
// fleet exchange, on a network without delay and with a manual clock.

#include "large_fleet_fixture.h"

#include <boost/test/unit_test.hpp>

namespace endivecart::fleet {
namespace {

constexpr Millis kStart{5000};
constexpr Millis kCounted{3000};

// Counts a fleet after its start. Returns the bytes a second of its leader.
double LeaderBytesPerSecond(int hosts, int upstreams, bool legacy) {
  Fleet fleet(hosts, upstreams, legacy);
  fleet.RunFor(kStart);
  fleet.ResetCounts();
  fleet.RunFor(kCounted);
  fleet.Print(std::to_string(hosts) + " hosts, " + std::to_string(upstreams) +
                  " upstreams" + (legacy ? ", earlier release" : ""),
              kCounted);
  return fleet.ControlBytesPerSecond(0, kCounted);
}

BOOST_AUTO_TEST_SUITE(large_fleet, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(control_sends_less_than_2_kb_a_second_for_each_host) {
  constexpr int kHosts = 300;
  BOOST_TEST(LeaderBytesPerSecond(kHosts, 3000, false) < 2000.0 * kHosts);
}

BOOST_AUTO_TEST_CASE(control_bytes_grow_no_faster_than_hosts) {
  const double of_100 = LeaderBytesPerSecond(100, 1000, false);
  const double of_300 = LeaderBytesPerSecond(300, 3000, false);
  BOOST_TEST(of_300 < 3 * of_100);
}

BOOST_AUTO_TEST_CASE(hosts_of_an_earlier_release_get_messages_that_they_read) {
  Fleet fleet(10, 60, true);
  fleet.RunFor(Millis(4000));
  fleet.StopWork();
  BOOST_TEST(fleet.HeardCount(0) == 60u);
  BOOST_TEST(fleet.OldestHeard(0).count() <= 2100);
  fleet.RunFor(Millis(600));
  BOOST_TEST(fleet.WrongLoads(0, 0) == 0);
}

BOOST_AUTO_TEST_CASE(hosts_know_the_others_work_and_which_upstream_is_silent) {
  Fleet fleet(110, 1200, false);
  fleet.RunFor(Millis(6000));
  BOOST_TEST(fleet.HeardCount(0) == 1200u);
  BOOST_TEST(fleet.OldestHeard(0).count() <= 1900);
  fleet.Silence(7);
  fleet.StopWork();
  fleet.RunFor(Millis(3500));
  BOOST_TEST(fleet.WrongLoads(0, kSlots / LoadTable::kSlotsPerQuantum - 1) ==
             0);
  BOOST_TEST(fleet.HeardAge(0, 7).count() >= 2300);
  BOOST_TEST(fleet.HeardAge(0, 8).count() <= 2500);
}

BOOST_AUTO_TEST_CASE(up_to_100_hosts_poll_each_250_ms) {
  Fleet small(100, 10, false);
  small.RunFor(Millis(3000));
  BOOST_TEST(small.PollInterval(0).count() == 250);
  Fleet large(300, 10, false);
  large.RunFor(Millis(3000));
  BOOST_TEST(large.PollInterval(0).count() == 750);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
