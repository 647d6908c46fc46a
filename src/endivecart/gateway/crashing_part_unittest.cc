#include <boost/test/unit_test.hpp>

#include "support/gateway_fleet.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFleet;
using tests::RawUpstream;

// Upstreams that crash under any prompt with the part "bad", and are replaced
// soon after.
struct CrashingFleet : GatewayFleet {
  static constexpr int kHosts = 6;
  static constexpr Millis kTimeToCrash{5};
  static constexpr Millis kTimeToReturn{250};

  CrashingFleet() : GatewayFleet(kHosts, 9) {
    on_request = [this](Upstream& upstream, RawUpstream::Connection& connection,
                        const std::string& request) {
      if (Field(request, "Prompt-Parts").find("bad") == std::string::npos) {
        Answer(connection, request);
        return;
      }
      bad_requests.push_back(loop.Now());
      later.push_back(loop.After(kTimeToCrash, [&](TimePoint now) {
        if (upstream.ended)
          return;
        Crash(upstream);
        crashes.push_back(now);
        later.push_back(
            loop.After(kTimeToReturn, [this](TimePoint) { StartUpstream(); }));
      }));
    };
  }
  // Sends one prompt with the bad part and two sound ones to each host in turn,
  // `rounds` times. All share their first part.
  void Run(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      const std::string own = std::to_string(round);
      SendPrompt(round % kHosts, "common,s" + own);
      SendPrompt(round % kHosts, "common,bad,t" + own);
      SendPrompt((round + 1) % kHosts, "common,u" + own);
      RunFor(Millis(20));
    }
  }

  std::vector<TimePoint> bad_requests;  // that reached an upstream
  std::vector<TimePoint> crashes;
  std::vector<std::unique_ptr<TimerSubscription>> later;
};

BOOST_FIXTURE_TEST_SUITE(gateway_crashing_parts,
                         CrashingFleet,
                         *boost::unit_test::label("gateway"))

// Guards against BUDGET: requests with a prompt part that crashes upstreams
// were sent to one upstream after the other, by all hosts.
BOOST_AUTO_TEST_CASE(
    a_part_that_crashed_five_upstreams_reaches_three_more_at_most) {
  constexpr Millis kContactWindow{3000};
  for (int round = 0; round < 50; ++round)
    SendPrompt(round % kHosts, "common,w" + std::to_string(round));
  RunFor(Millis(100));
  Run(250);
  const std::size_t known = std::min<std::size_t>(crashes.size(), 5);
  BOOST_REQUIRE_GE(known, 1u);
  const TimePoint limit = crashes[known - 1] + kContactWindow;
  const auto later_requests =
      std::count_if(bad_requests.begin(), bad_requests.end(),
                    [&](TimePoint at) { return at > limit; });
  BOOST_TEST_MESSAGE("crashes " << crashes.size() << ", requests later "
                                << later_requests);
  BOOST_TEST((loop.Now() > limit));
  BOOST_TEST(later_requests <= 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
