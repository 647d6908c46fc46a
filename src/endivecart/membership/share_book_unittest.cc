#include <boost/test/unit_test.hpp>

#include "endivecart/membership/membership.h"

namespace endivecart::membership {
namespace {

const HostId kA("a1");
const HostId kB("b1");
constexpr Millis kLease{3000};
constexpr Millis kHold{30000};

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

BOOST_AUTO_TEST_SUITE(share_book, *boost::unit_test::label("membership"))

BOOST_AUTO_TEST_CASE(slots_out_never_pass_what_the_resource_bears) {
  ShareBook book(kLease, kHold);
  book.SetCapacity("u", 4);
  BOOST_TEST(book.Ask("u", kA, {3, 0}, At(0)) == 3);
  BOOST_TEST(book.Ask("u", kB, {3, 0}, At(0)) == 1);
  BOOST_TEST(book.Outstanding("u", At(0)) == 4);
}

BOOST_AUTO_TEST_CASE(contended_slots_are_divided_by_demand) {
  ShareBook book(kLease, kHold);
  book.SetCapacity("u", 8);
  book.Ask("u", kA, {8, 0}, At(0));
  book.Ask("u", kB, {8, 0}, At(0));
  BOOST_TEST(book.Ask("u", kA, {8, 0}, At(1000)) == 4);
  BOOST_TEST(book.Ask("u", kB, {8, 0}, At(1000)) == 4);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_bears_one_request_works) {
  ShareBook book(kLease, kHold);
  book.SetCapacity("u", 1);
  BOOST_TEST(book.Ask("u", kA, {1, 0}, At(0)) == 1);
  BOOST_TEST(book.Ask("u", kB, {1, 0}, At(0)) == 0);
  BOOST_TEST(book.Ask("u", kA, {0, 0}, At(10)) == 0);
  BOOST_TEST(book.Ask("u", kB, {1, 0}, At(20)) == 1);
}

BOOST_AUTO_TEST_CASE(a_silent_borrowers_slots_count_until_a_report_shows_idle) {
  ShareBook book(kLease, kHold);
  book.SetCapacity("u", 2);
  book.Ask("u", kA, {2, 2}, At(0));
  BOOST_TEST(book.Ask("u", kB, {2, 0}, At(3500)) == 0);
  book.SetRunning("u", 1, At(3600));  // too soon after the lease's end
  BOOST_TEST(book.Ask("u", kB, {2, 0}, At(3700)) == 0);
  book.SetRunning("u", 1, At(4600));
  BOOST_TEST(book.Ask("u", kB, {2, 0}, At(4700)) == 1);
  book.SetRunning("u", 0, At(5000));
  BOOST_TEST(book.Ask("u", kB, {2, 0}, At(5100)) == 2);
}

BOOST_AUTO_TEST_CASE(a_new_home_grants_nothing_until_old_grants_have_run_out) {
  ShareBook book(kLease, kHold);
  book.SetCapacity("u", 4);
  book.BlockUntil("u", At(3000));
  BOOST_TEST(book.Ask("u", kA, {4, 0}, At(2999)) == 0);
  BOOST_TEST(book.Ask("u", kA, {4, 0}, At(3000)) == 4);
}

BOOST_AUTO_TEST_CASE(the_part_of_a_host_that_may_be_cut_off_is_not_lent) {
  ShareBook book(kLease, kHold);
  book.SetCapacity("u", 4, 2);
  BOOST_TEST(book.Ask("u", kA, {4, 0}, At(0)) == 2);
}

BOOST_AUTO_TEST_CASE(fixed_parts_add_up_to_the_capacity) {
  for (int capacity = 0; capacity < 20; ++capacity) {
    int sum = 0;
    for (int rank = 0; rank < 3; ++rank)
      sum += FixedPart(capacity, 3, rank);
    BOOST_TEST(sum == capacity);
  }
}

BOOST_AUTO_TEST_CASE(a_home_moves_only_when_its_host_is_down) {
  const std::vector<HostId> hosts = {HostId("a1"), HostId("a2"), HostId("a3")};
  const auto home = HomeOf("upstream:x", hosts, {});
  BOOST_REQUIRE(home.has_value());
  for (const HostId& host : hosts) {
    const auto moved = HomeOf("upstream:x", hosts, {host});
    BOOST_TEST((*moved == *home) == (host != *home));
  }
  const std::set<HostId> all(hosts.begin(), hosts.end());
  BOOST_TEST((HomeOf("upstream:x", hosts, all) == home));
}

BOOST_AUTO_TEST_CASE(a_lease_that_ran_out_starts_no_work) {
  ShareHolder holder;
  holder.SetGrant("u", 1, At(100));
  BOOST_TEST(holder.TryTake("u", At(50)));
  BOOST_TEST(!holder.TryTake("u", At(50)));
  holder.Give("u", At(60));
  BOOST_TEST(!holder.TryTake("u", At(100)));
}

BOOST_AUTO_TEST_CASE(a_late_grant_does_not_replace_a_newer_one) {
  ShareHolder holder;
  holder.SetGrant("u", 1, At(200));
  holder.SetGrant("u", 5, At(100));
  BOOST_TEST(holder.Slots("u", At(50)) == 1);
}

BOOST_AUTO_TEST_CASE(a_fresh_upstream_grows_by_evidence_only) {
  SlowStart slow_start(8);
  BOOST_TEST(slow_start.bears() == 1);
  slow_start.OnFinished(true);
  BOOST_TEST(slow_start.bears() == 2);
  slow_start.OnFinished(false);
  slow_start.OnFinished(false);
  BOOST_TEST(slow_start.bears() == 1);
  for (int i = 0; i < 7; ++i)
    slow_start.OnFinished(true);
  BOOST_TEST(slow_start.complete());
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_or_cold_signs_start_the_ramp_again) {
  UpstreamRoster roster(Millis(3000));
  Upstream upstream;
  upstream.id = UpstreamId("u");
  upstream.capacity = 2;
  upstream.incarnation = 5;
  roster.Announce(upstream, At(0));
  roster.OnEvidence({upstream.id, 5, 10, 0, 0, 0});
  BOOST_TEST(roster.Current().front().bears == 2);
  roster.OnEvidence({upstream.id, 5, 0, 0, 3, 0});
  BOOST_TEST(roster.Current().front().bears == 1);
  roster.OnEvidence({upstream.id, 5, 10, 0, 0, 0});
  upstream.incarnation = 6;
  roster.Announce(upstream, At(100));
  BOOST_TEST(roster.Current().front().bears == 1);
  upstream.incarnation = 5;  // comes late
  roster.Announce(upstream, At(200));
  BOOST_TEST(roster.Current().front().incarnation == 6U);
  BOOST_TEST(roster.Expire(At(3100)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::membership
