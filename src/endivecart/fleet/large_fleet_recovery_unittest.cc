// Guards against a control host that needs longer to bring all hosts back than
// they wait for its answers: after a start of 300 hosts, and after the loss of
// the leader, whole lists of 3,000 upstreams were sent to each host by each
// control host, and sent again since they came too late.

#include <boost/test/unit_test.hpp>

#include "large_fleet_fixture.h"

namespace endivecart::fleet {
namespace {

constexpr Millis kSettled{6000};
constexpr Millis kCounted{3000};
constexpr Millis kElectionTime{1300};
constexpr Millis kUntilServing{4000};
constexpr std::size_t kMaxMessageBytes = 150000;

struct PerPoll {
  double bytes = 0;
  double entries = 0;
};

// Returns the size of an update to an entry host, with all control hosts.
PerPoll UpdateSize(int hosts, int upstreams) {
  Fleet fleet(hosts, upstreams, false);
  fleet.RunFor(kSettled);
  fleet.ResetCounts();
  fleet.RunFor(kCounted);
  const Count updates = fleet.CountOf("updates");
  const auto messages = static_cast<double>(updates.messages);
  const PerPoll size{static_cast<double>(updates.bytes) / messages,
                     static_cast<double>(updates.entries) / messages};
  BOOST_TEST_MESSAGE(hosts << " hosts: " << size.bytes << " bytes and "
                           << size.entries << " entries an update, "
                           << messages / 3 / hosts
                           << " updates a second and host");
  return size;
}

// Runs until all hosts serve, but not for longer than `limit`. Returns the time
// it took.
Millis RunUntilServing(Fleet& fleet, int hosts, Millis limit) {
  Millis taken{0};
  for (; taken < limit && fleet.CountServing() < hosts; taken += Millis(50))
    fleet.RunFor(Millis(50));
  BOOST_TEST(fleet.CountServing() == hosts);
  const Count updates = fleet.CountOf("updates");
  const Count announced = fleet.CountOf("  of these announcements");
  BOOST_TEST_MESSAGE(hosts << " hosts serve after " << taken.count() << " ms, "
                           << updates.messages << " updates of "
                           << updates.bytes / 1000 << " kB, "
                           << announced.entries << " announcements, largest "
                           << updates.largest << " bytes");
  return taken;
}

BOOST_AUTO_TEST_SUITE(large_fleet_recovery, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(an_update_to_300_hosts_is_no_larger_than_one_to_100) {
  const PerPoll of_6 = UpdateSize(6, 60);
  const PerPoll of_100 = UpdateSize(100, 1000);
  const PerPoll of_300 = UpdateSize(300, 3000);
  BOOST_TEST(of_6.bytes < of_100.bytes);
  BOOST_TEST(of_300.bytes < of_100.bytes);
  BOOST_TEST(of_300.entries < of_100.entries);
}

BOOST_AUTO_TEST_CASE(all_hosts_serve_soon_after_all_have_started) {
  constexpr int kHosts = 300;
  constexpr int kUpstreams = 3000;
  Fleet fleet(kHosts, kUpstreams, false);
  const Millis taken = RunUntilServing(fleet, kHosts, kUntilServing);
  BOOST_TEST(taken.count() <= 2500);
  const Count announced = fleet.CountOf("  of these announcements");
  BOOST_TEST(announced.entries < 3ULL * kHosts * kUpstreams);
  BOOST_TEST(fleet.CountOf("updates").largest < kMaxMessageBytes);
}

BOOST_AUTO_TEST_CASE(new_hosts_get_the_upstreams_once_and_in_parts) {
  constexpr int kHosts = 300;
  constexpr int kUpstreams = 3000;
  Fleet fleet(kHosts, kUpstreams, false);
  fleet.RunFor(kSettled);
  fleet.RestartEntryHosts();
  fleet.ResetCounts();
  RunUntilServing(fleet, kHosts, kUntilServing);
  const Count announced = fleet.CountOf("  of these announcements");
  BOOST_TEST(announced.entries < 2ULL * kHosts * kUpstreams);
  const Count updates = fleet.CountOf("updates");
  BOOST_TEST(updates.largest < kMaxMessageBytes);
  // The routing document comes from one control host.
  BOOST_TEST(updates.bytes - announced.bytes < 3 * kRoutingBytes * kHosts);
}

BOOST_AUTO_TEST_CASE(loss_of_the_leader_costs_no_announcements) {
  for (const int hosts : {6, 100, 300}) {
    Fleet fleet(hosts, 10 * hosts, false);
    fleet.RunFor(kSettled);
    BOOST_TEST(fleet.CountServing() == hosts);
    fleet.ResetCounts();
    fleet.Lose(0);
    fleet.SetLeader(-1);
    fleet.RunFor(kElectionTime);
    fleet.SetLeader(1);
    RunUntilServing(fleet, hosts, kUntilServing);
    const Count announced = fleet.CountOf("  of these announcements");
    BOOST_TEST(announced.entries < static_cast<std::uint64_t>(hosts));
    BOOST_TEST(fleet.CountOf("updates").largest < kMaxMessageBytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
