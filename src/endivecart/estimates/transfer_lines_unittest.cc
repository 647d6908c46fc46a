#include <boost/test/unit_test.hpp>

#include "endivecart/estimates/estimates.h"

namespace endivecart::estimates {
namespace {

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

const LinkGroup kOneHost{"stores", 1, 2};
const LinkGroup kManyHosts{"stores", 98, 17};

BOOST_AUTO_TEST_SUITE(estimates_transfers, *boost::unit_test::label("gateway"))

// Guards against fetches that all wait for one store while another is idle.
BOOST_AUTO_TEST_CASE(planned_transfers_wait_for_each_other_until_they_end) {
  TransferLines lines;
  lines.Add("a", kOneHost, 30, At(0));
  lines.Add("a", kOneHost, 30, At(0));
  BOOST_TEST(lines.WaitMs("a", kOneHost, At(0)) == 60);
  BOOST_TEST(lines.WaitMs("a", kOneHost, At(50)) == 10);
  BOOST_TEST(lines.WaitMs("a", kOneHost, At(70)) == 0);
  BOOST_TEST(lines.WaitMs("b", kOneHost, At(0)) == 0);
}

// Guards against a store that all hosts overload, since each one counts only
// its own transfers.
BOOST_AUTO_TEST_CASE(a_hot_part_at_98_hosts_makes_a_long_queue_at_its_store) {
  TransferLines lines;
  // Two of this host's four transfers a second are from the hot store.
  for (int at = 0; at < 10000; at += 250) {
    const bool is_hot = at % 500 == 0;
    lines.Add(is_hot ? "hot" : "s" + std::to_string(at / 250 % 16), kManyHosts,
              25, At(at));
  }
  const double hot_ms = lines.WaitMs("hot", kManyHosts, At(10000));
  const double other_ms = lines.WaitMs("s1", kManyHosts, At(10000));
  BOOST_TEST(hot_ms > 200);
  BOOST_TEST(other_ms < 40);
  // An idle time empties the queues.
  BOOST_TEST(lines.WaitMs("hot", kManyHosts, At(40000)) < 1);
}

// Guards against a link that one late event makes look overloaded.
BOOST_AUTO_TEST_CASE(late_first_events_raise_the_expected_wait_for_a_while) {
  TransferLines lines;
  lines.AddObservedWait("a", 3000, At(0));
  BOOST_TEST(lines.WaitMs("a", kOneHost, At(0)) < 100);
  for (int i = 0; i < 10; ++i)
    lines.AddObservedWait("a", 500, At(0));
  BOOST_TEST(lines.WaitMs("a", kOneHost, At(0)) > 250);
  BOOST_TEST(lines.WaitMs("a", kOneHost, At(10000)) < 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(estimates_hits, *boost::unit_test::label("gateway"))

// Guards against fetches from engines that have evicted the part.
BOOST_AUTO_TEST_CASE(an_engine_that_used_a_part_lately_likely_has_it) {
  CacheHits hits;
  const EngineRun e1{UpstreamId("e1"), 1};
  hits.RecordUse(7, e1, At(0));
  BOOST_CHECK(hits.EvidenceFor(7, e1, false, At(500)) ==
              CacheEvidence::kUsedNow);
  BOOST_CHECK(hits.EvidenceFor(7, e1, false, At(3000)) ==
              CacheEvidence::kUsedLately);
  BOOST_CHECK(hits.EvidenceFor(7, e1, true, At(30000)) == CacheEvidence::kHome);
  const EngineRun restarted{UpstreamId("e1"), 2};
  BOOST_CHECK(hits.EvidenceFor(7, restarted, false, At(0)) ==
              CacheEvidence::kNone);
  BOOST_TEST(hits.UsersOf(7, At(3000)).size() == 1u);
  BOOST_TEST(hits.UsersOf(7, At(5000)).empty());
}

// Guards against a belief in hits that first events contradict.
BOOST_AUTO_TEST_CASE(first_events_teach_how_often_parts_are_there) {
  CacheHits hits;
  const routes::ServiceId service("s");
  const auto rate = [&](int at) {
    return hits.Rate(service, CacheEvidence::kUsedNow, At(at));
  };
  const double initial = rate(0);
  for (int i = 0; i < 40; ++i)
    hits.Add(service, CacheEvidence::kUsedNow, 480, 60, 500, At(0));
  BOOST_TEST(rate(0) < 0.3);
  BOOST_TEST(rate(300000) > initial - 0.01);
  // Too short to tell.
  hits.Add(service, CacheEvidence::kHome, 70, 60, 70, At(0));
  BOOST_TEST(hits.Rate(service, CacheEvidence::kHome, At(0)) == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::estimates
