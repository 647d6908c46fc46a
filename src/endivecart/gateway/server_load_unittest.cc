#include <boost/test/unit_test.hpp>
#include <random>

#include "endivecart/gateway/gateway.h"
#include "endivecart/gateway/upstream_tracker.h"

namespace endivecart::gateway {
namespace {

using estimates::kServerLoadLifetime;
using scheduling::PlaceByLoad;

BOOST_AUTO_TEST_SUITE(gateway_server_load, *boost::unit_test::label("gateway"))

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
