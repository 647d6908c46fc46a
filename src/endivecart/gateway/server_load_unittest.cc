#include <boost/test/unit_test.hpp>
#include <random>

#include "endivecart/gateway/gateway.h"
#include "endivecart/gateway/server_load.h"
#include "endivecart/gateway/upstream_tracker.h"

namespace endivecart::gateway {
namespace {

BOOST_AUTO_TEST_SUITE(gateway_server_load, *boost::unit_test::label("gateway"))

BOOST_AUTO_TEST_CASE(a_fresh_report_replaces_what_is_known) {
  BOOST_TEST(EstimateRequests(1, {{6, 10, 6}, Millis(0), 1, 1}) == 16);
  BOOST_TEST(EstimateRequests(20, {{2, 0, 6}, Millis(0), 1, 1}) == 2);
}

BOOST_AUTO_TEST_CASE(a_report_counts_less_as_it_ages) {
  int last = 100;
  for (int age = 0; age <= 1200; age += 100) {
    const int estimate = EstimateRequests(0, {{6, 14, 6}, Millis(age), 0, 0});
    BOOST_TEST(estimate <= last);
    last = estimate;
  }
  BOOST_TEST(last == 0);
  BOOST_TEST(EstimateRequests(3, {{6, 14, 6}, kServerLoadLifetime, 0, 0}) == 3);
}

BOOST_AUTO_TEST_CASE(own_requests_since_the_report_are_added) {
  BOOST_TEST(EstimateRequests(4, {{3, 0, 6}, Millis(0), 1, 5}) == 7);
  // The upstream can't have fewer than this host's own.
  BOOST_TEST(EstimateRequests(9, {{0, 0, 6}, Millis(0), 9, 9}) == 9);
}

BOOST_AUTO_TEST_CASE(implausible_reports_are_recognized) {
  BOOST_TEST(IsPlausible({6, 100, 6}));
  BOOST_TEST(!IsPlausible({7, 0, 6}));
  BOOST_TEST(!IsPlausible({0, 0, 0}));
  BOOST_TEST(!IsPlausible({-1, 0, 6}));
  BOOST_TEST(!IsPlausible({1, -1, 6}));
  BOOST_TEST(!IsPlausible({1, 2000000000, 6}));
  BOOST_TEST(IsPlausible({1, 0, 6, 250}));
  BOOST_TEST(!IsPlausible({1, 0, 6, 0}));
  BOOST_TEST(!IsPlausible({1, 0, 6, 10001}));
}

// Pattern: callers outside this system, or hosts that are cut off, fill a
// server. Only its own report shows it.
BOOST_AUTO_TEST_CASE(a_server_that_reports_a_queue_gets_less_while_it_lasts) {
  TimePoint now{Millis(1000000)};
  UpstreamTracker tracker(DomainId("a"), [&now] { return now; });
  for (const char* id : {"s1", "s2"}) {
    upstreams::Announcement announcement;
    announcement.id = UpstreamId(id);
    announcement.service = routes::ServiceId("orders");
    announcement.address = {std::string("10.0.0.") + (id + 1), 80};
    announcement.slots = 6;
    tracker.Apply(announcement, now);
  }
  UpstreamTracker::Query query;
  query.service = routes::ServiceId("orders");
  std::mt19937_64 random(5);
  const auto choose = [&] {
    const auto candidates = tracker.Candidates(query, nullptr, nullptr);
    return candidates[PlaceByLoad(candidates, random())->index].id.str();
  };
  const auto count_first = [&] {
    int count = 0;
    for (int i = 0; i < 1000; ++i)
      count += choose() == "s1" ? 1 : 0;
    return count;
  };
  tracker.RecordServerLoad(UpstreamId("s1"), {6, 60, 6});
  BOOST_TEST(count_first() < 250);
  now += kServerLoadLifetime;
  BOOST_TEST(count_first() > 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
