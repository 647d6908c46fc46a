#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <vector>

#include "endivecart/limits/limits.h"

namespace endivecart::limits {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

BOOST_AUTO_TEST_SUITE(limits_of_waits, *boost::unit_test::label("limits"))

BOOST_AUTO_TEST_CASE(a_wait_lasts_as_long_as_named_and_ends_by_itself) {
  NamedWaits waits(1);
  BOOST_TEST(waits.OnNamed("u/1", 0.25, kStart));
  BOOST_TEST((waits.TimeLeft("u/1", kStart + Millis(249)) > Millis(0)));
  BOOST_TEST((waits.TimeLeft("u/1", kStart + Millis(313)) == Millis(0)));
  waits.Expire(kStart + Millis(313));
  BOOST_TEST(waits.empty());
}

BOOST_AUTO_TEST_CASE(a_later_shorter_wait_does_not_end_an_earlier_one) {
  NamedWaits waits(1);
  waits.OnNamed("u/1", 4, kStart);
  waits.OnNamed("u/1", 0.1, kStart + Millis(100));
  BOOST_TEST((waits.TimeLeft("u/1", kStart + Millis(3999)) > Millis(0)));
}

BOOST_AUTO_TEST_CASE(a_wait_concerns_one_incarnation) {
  NamedWaits waits(1);
  waits.OnNamed("u/1", 4, kStart);
  BOOST_TEST((waits.TimeLeft("u/2", kStart) == Millis(0)));
}

BOOST_AUTO_TEST_CASE(a_wait_of_years_is_cut) {
  for (const double seconds : {1e6, 1e300, std::numeric_limits<double>::max(),
                               std::numeric_limits<double>::infinity()}) {
    NamedWaits waits(1);
    BOOST_TEST(!waits.OnNamed("u/1", seconds, kStart));
    const Millis left = waits.TimeLeft("u/1", kStart);
    BOOST_TEST((left >= NamedWaits::kMaxWait));
    BOOST_TEST((left <= NamedWaits::kMaxWait + Millis(2000)));
  }
}

BOOST_AUTO_TEST_CASE(a_wait_that_is_not_positive_is_ignored) {
  NamedWaits waits(1);
  for (const double seconds : {0.0, -1.0, std::nan("")})
    BOOST_TEST(!waits.OnNamed("u/1", seconds, kStart));
  BOOST_TEST(waits.empty());
}

// Guards against FAILBACK and LIMIT: hosts that were all told to wait until the
// same time would all return in one instant.
BOOST_DATA_TEST_CASE(hosts_return_spread_over_time,
                     boost::unit_test::data::make({6, 70, 300}),
                     hosts) {
  constexpr Millis kWait{4000};
  constexpr int kSlices = 10;
  std::vector<int> returns(kSlices + 1);
  for (int host = 0; host < hosts; ++host) {
    NamedWaits waits(StableHash("10.2.0." + std::to_string(host)));
    waits.OnNamed("i-1/1000", 4, kStart);
    const Millis after =
        waits.TimeLeft("i-1/1000", kStart + kWait - Millis(1)) - Millis(1);
    BOOST_TEST((after >= Millis(0)));
    ++returns.at(static_cast<std::size_t>(after.count() * kSlices / 1000));
  }
  for (const int count : returns)
    BOOST_TEST(count <= std::max(3, hosts / 5));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::limits
