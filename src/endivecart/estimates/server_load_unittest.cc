#include <boost/test/unit_test.hpp>

#include "endivecart/estimates/estimates.h"

namespace endivecart::estimates {
namespace {

BOOST_AUTO_TEST_SUITE(estimates_server_load,
                      *boost::unit_test::label("estimates"))

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
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::estimates
