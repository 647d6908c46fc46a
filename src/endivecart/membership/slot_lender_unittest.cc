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

BOOST_AUTO_TEST_CASE(granted_slots_never_exceed_the_capacity) {
  SlotLender lender(kLease, kHold);
  lender.SetCapacity("u", 4);
  BOOST_TEST(lender.Renew("u", kA, {3, 0}, At(0)) == 3);
  BOOST_TEST(lender.Renew("u", kB, {3, 0}, At(0)) == 1);
  BOOST_TEST(lender.Outstanding("u", At(0)) == 4);
}

BOOST_AUTO_TEST_CASE(contended_slots_are_divided_by_demand) {
  SlotLender lender(kLease, kHold);
  lender.SetCapacity("u", 8);
  lender.Renew("u", kA, {8, 0}, At(0));
  lender.Renew("u", kB, {8, 0}, At(0));
  BOOST_TEST(lender.Renew("u", kA, {8, 0}, At(1000)) == 4);
  BOOST_TEST(lender.Renew("u", kB, {8, 0}, At(1000)) == 4);
}

BOOST_AUTO_TEST_CASE(a_single_slot_can_pass_from_one_host_to_another) {
  SlotLender lender(kLease, kHold);
  lender.SetCapacity("u", 1);
  BOOST_TEST(lender.Renew("u", kA, {1, 0}, At(0)) == 1);
  BOOST_TEST(lender.Renew("u", kB, {1, 0}, At(0)) == 0);
  BOOST_TEST(lender.Renew("u", kA, {0, 0}, At(10)) == 0);
  BOOST_TEST(lender.Renew("u", kB, {1, 0}, At(20)) == 1);
}

BOOST_AUTO_TEST_CASE(
    slots_of_a_silent_borrower_count_as_used_until_a_report_shows_idle) {
  SlotLender lender(kLease, kHold);
  lender.SetCapacity("u", 2);
  lender.Renew("u", kA, {2, 2}, At(0));
  BOOST_TEST(lender.Renew("u", kB, {2, 0}, At(3500)) == 0);
  lender.SetRunning("u", 1, At(3600));  // within the report lag
  BOOST_TEST(lender.Renew("u", kB, {2, 0}, At(3700)) == 0);
  lender.SetRunning("u", 1, At(4600));
  BOOST_TEST(lender.Renew("u", kB, {2, 0}, At(4700)) == 1);
  lender.SetRunning("u", 0, At(5000));
  BOOST_TEST(lender.Renew("u", kB, {2, 0}, At(5100)) == 2);
}

BOOST_AUTO_TEST_CASE(
    a_new_home_grants_nothing_until_the_old_grants_have_expired) {
  SlotLender lender(kLease, kHold);
  lender.SetCapacity("u", 4);
  lender.BlockUntil("u", At(3000));
  BOOST_TEST(lender.Renew("u", kA, {4, 0}, At(2999)) == 0);
  BOOST_TEST(lender.Renew("u", kA, {4, 0}, At(3000)) == 4);
}

BOOST_AUTO_TEST_CASE(slots_reserved_for_a_partitioned_host_are_not_lent) {
  SlotLender lender(kLease, kHold);
  lender.SetCapacity("u", 4, 2);
  BOOST_TEST(lender.Renew("u", kA, {4, 0}, At(0)) == 2);
}

BOOST_AUTO_TEST_CASE(fixed_shares_add_up_to_the_capacity) {
  for (int capacity = 0; capacity < 20; ++capacity) {
    int sum = 0;
    for (int rank = 0; rank < 3; ++rank)
      sum += FixedShare(capacity, 3, rank);
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

BOOST_AUTO_TEST_CASE(an_expired_lease_starts_no_work) {
  SlotBorrower borrower;
  borrower.SetGrant("u", 1, At(100));
  BOOST_TEST(borrower.TryAcquire("u", At(50)));
  BOOST_TEST(!borrower.TryAcquire("u", At(50)));
  borrower.Release("u", At(60));
  BOOST_TEST(!borrower.TryAcquire("u", At(100)));
}

BOOST_AUTO_TEST_CASE(a_late_grant_does_not_replace_a_newer_one) {
  SlotBorrower borrower;
  borrower.SetGrant("u", 1, At(200));
  borrower.SetGrant("u", 5, At(100));
  BOOST_TEST(borrower.Slots("u", At(50)) == 1);
}

BOOST_AUTO_TEST_CASE(
    a_new_upstreams_limit_grows_only_with_successful_requests) {
  SlowStart slow_start(8);
  BOOST_TEST(slow_start.limit() == 1);
  slow_start.OnFinished(true);
  BOOST_TEST(slow_start.limit() == 2);
  slow_start.OnFinished(false);
  slow_start.OnFinished(false);
  BOOST_TEST(slow_start.limit() == 1);
  for (int i = 0; i < 7; ++i)
    slow_start.OnFinished(true);
  BOOST_TEST(slow_start.complete());
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_or_cold_signs_restart_the_slow_start) {
  UpstreamRoster roster(Millis(3000));
  Upstream upstream;
  upstream.id = UpstreamId("u");
  upstream.capacity = 2;
  upstream.incarnation = 5;
  roster.Announce(upstream, At(0));
  roster.OnEvidence({upstream.id, 5, 10, 0, 0, 0});
  BOOST_TEST(roster.Current().front().concurrency_limit == 2);
  roster.OnEvidence({upstream.id, 5, 0, 0, 3, 0});
  BOOST_TEST(roster.Current().front().concurrency_limit == 1);
  roster.OnEvidence({upstream.id, 5, 10, 0, 0, 0});
  upstream.incarnation = 6;
  roster.Announce(upstream, At(100));
  BOOST_TEST(roster.Current().front().concurrency_limit == 1);
  upstream.incarnation = 5;  // delayed announcement of an earlier start
  roster.Announce(upstream, At(200));
  BOOST_TEST(roster.Current().front().incarnation == 6U);
  BOOST_TEST(roster.Expire(At(3100)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::membership
