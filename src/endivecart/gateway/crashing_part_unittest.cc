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

BOOST_AUTO_TEST_CASE(sound_prompts_that_share_other_parts_are_answered) {
  for (int round = 0; round < 50; ++round)
    SendPrompt(round % kHosts, "common,w" + std::to_string(round));
  RunFor(Millis(100));
  Run(100);
  RunFor(Millis(500));
  const std::size_t crashed = crashes.size();
  for (int round = 0; round < kHosts; ++round) {
    SendPrompt(round, "common,later");
    SendPrompt(round, "common,bad,later");
    RunFor(Millis(20));
  }
  RunFor(Millis(300));
  SendPrompt(0, "common,later");  // collects the answers
  BOOST_TEST(answers["common,later"].size() >= std::size_t{kHosts});
  for (const std::string& status : answers["common,later"])
    BOOST_TEST(status == "HTTP/1.1 200 OK");
  BOOST_TEST(answers["common,bad,later"].size() == std::size_t{kHosts});
  for (const std::string& status : answers["common,bad,later"])
    BOOST_TEST(status.starts_with("HTTP/1.1 503"));
  BOOST_TEST(crashes.size() == crashed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
