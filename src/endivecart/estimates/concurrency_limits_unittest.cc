#include <boost/test/unit_test.hpp>
#include <random>

#include "endivecart/estimates/estimates.h"

namespace endivecart::estimates {
namespace {

const UpstreamId kUpstream("u");

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

// Adds samples at all numbers of requests up to `most`. Beyond `sustained`, an
// answer takes longer in proportion.
void AddSamples(ConcurrencyLimits& limits, int sustained, int most, int from) {
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> noise(0.8, 1.2);
  for (int i = 0; i < 2000; ++i) {
    const int requests = 1 + static_cast<int>(random() % most);
    const double usual_ms = 20 + 0.3 * requests;
    limits.Add(kUpstream, requests,
               noise(random) * usual_ms *
                   std::max(1.0, static_cast<double>(requests) / sustained),
               At(from + i));
  }
}

BOOST_AUTO_TEST_SUITE(estimates_concurrency,
                      *boost::unit_test::label("estimates"))

// Covers an upstream that is slow from half full on.
BOOST_AUTO_TEST_CASE(the_limit_is_where_answers_begin_to_take_longer) {
  ConcurrencyLimits limits;
  AddSamples(limits, 16, 32, 0);
  const auto limit = limits.LimitOf(kUpstream, At(2000));
  BOOST_REQUIRE(limit.has_value());
  BOOST_TEST(*limit >= 12);
  BOOST_TEST(*limit <= 20);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_sustains_all_its_requests_has_no_limit) {
  ConcurrencyLimits limits;
  AddSamples(limits, 100, 32, 0);
  BOOST_TEST(!limits.LimitOf(kUpstream, At(2000)).has_value());
  BOOST_TEST(!limits.LimitOf(UpstreamId("other"), At(2000)).has_value());
}

BOOST_AUTO_TEST_CASE(the_limit_follows_changes_within_seconds) {
  ConcurrencyLimits limits;
  AddSamples(limits, 8, 32, 0);
  BOOST_TEST(limits.LimitOf(kUpstream, At(2000)).value() < 12);
  for (int round = 1; round < 6; ++round)
    AddSamples(limits, 100, 32, round * 2000);
  BOOST_TEST(!limits.LimitOf(kUpstream, At(12000)).has_value());
  BOOST_TEST(!limits.LimitOf(kUpstream, At(60000)).has_value());
  limits.Expire(At(90000));
}

BOOST_AUTO_TEST_CASE(a_few_slow_answers_are_no_evidence) {
  ConcurrencyLimits limits;
  AddSamples(limits, 100, 16, 0);
  for (int i = 0; i < 4; ++i)
    limits.Add(kUpstream, 30, 500, At(2000));
  BOOST_TEST(!limits.LimitOf(kUpstream, At(2000)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::estimates
