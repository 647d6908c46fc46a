#include <boost/test/unit_test.hpp>

#include "support/gateway_fleet.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFleet;
using tests::RawUpstream;

// Nine upstreams, of which the first names a limit after a while.
struct LimitedFleet : GatewayFleet {
  static constexpr int kHosts = 6;
  static constexpr double kLimit = 1.5;  // requests per second

  LimitedFleet() : GatewayFleet(kHosts, 9) {
    on_request = [this](Upstream& upstream, RawUpstream::Connection& connection,
                        const std::string& request) {
      const bool is_limited = names_limit && &upstream == upstreams[0].get();
      if (is_limited)
        limited_requests.push_back(loop.Now());
      Answer(connection, request,
             is_limited ? "Limit: " + std::to_string(kLimit) + "\r\n" : "");
    };
  }
  // Sends prompts to all hosts in turn, 100 a second.
  void Run(Millis time) {
    const TimePoint end = loop.Now() + time;
    for (int i = 0; loop.Now() < end; ++i) {
      SendPrompt(i % kHosts, "common,p" + std::to_string(i % 40));
      RunFor(Millis(10));
    }
  }

  bool names_limit = false;
  std::vector<TimePoint> limited_requests;
};

BOOST_FIXTURE_TEST_SUITE(gateway_request_limits,
                         LimitedFleet,
                         *boost::unit_test::label("gateway"))

// Guards against LIMIT: hosts sent an upstream as much as before although it
// had named a limit for all of them together.
BOOST_AUTO_TEST_CASE(an_upstream_gets_no_more_than_the_limit_that_it_named) {
  constexpr Millis kContactWindow{3000};
  constexpr Millis kSpan{4000};
  Run(Millis(300));
  names_limit = true;
  Run(kContactWindow + kSpan + Millis(500));
  BOOST_REQUIRE(!limited_requests.empty());
  const TimePoint told = limited_requests.front() + Millis(500);
  const TimePoint from = limited_requests.front() + kContactWindow;
  std::ptrdiff_t most = 0;
  for (const TimePoint& end : limited_requests) {
    const auto counts = [&](TimePoint at) {
      return at >= told && at > end - kSpan && at <= end;
    };
    if (end >= from)
      most = std::max(most, std::count_if(limited_requests.begin(),
                                          limited_requests.end(), counts));
  }
  BOOST_TEST_MESSAGE("most in a span " << most << ", in all "
                                       << limited_requests.size());
  const double allowed =
      1.5 * kLimit * static_cast<double>(kSpan.count()) / 1000 + 5;
  BOOST_TEST(static_cast<double>(most) <= allowed);
  // The limit is used, not only respected.
  BOOST_TEST(std::count_if(limited_requests.begin(), limited_requests.end(),
                           [&](TimePoint at) { return at >= from; }) >= 2);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_names_no_limit_any_more_is_used_again) {
  Run(Millis(300));
  names_limit = true;
  Run(Millis(2000));
  names_limit = false;
  Run(Millis(2500));
  const std::size_t before = upstreams[0]->requests.size();
  Run(Millis(1000));
  BOOST_TEST(upstreams[0]->requests.size() - before > 2 * kLimit);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
