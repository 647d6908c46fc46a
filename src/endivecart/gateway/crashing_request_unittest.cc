#include <boost/test/unit_test.hpp>

#include "support/gateway_fleet.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFleet;
using tests::RawUpstream;

const std::string kCrashingPath = "/plain/bad";

// Three plain upstreams that crash under one request, whichever caller's
// attempt it is, and return soon after.
struct CrashingFleet : GatewayFleet {
  static constexpr int kHosts = 6;
  static constexpr Millis kTimeToCrash{60};
  static constexpr Millis kTimeToReturn{300};

  CrashingFleet() : GatewayFleet(kHosts, 0) {
    on_request = [this](Upstream& upstream, RawUpstream::Connection& connection,
                        const std::string& request) {
      if (request.find(kCrashingPath) == std::string::npos) {
        AnswerPlain(connection, request);
        return;
      }
      bad_requests.push_back(loop.Now());
      later.push_back(loop.After(kTimeToCrash, [&](TimePoint now) {
        if (upstream.ended)
          return;
        Crash(upstream);
        crashes.push_back(now);
        later.push_back(loop.After(kTimeToReturn, [this](TimePoint) {
          StartUpstream("v1", "plain");
        }));
      }));
    };
    for (int i = 0; i < 3; ++i)
      StartUpstream("v1", "plain");
    RunFor(Millis(300));
  }
  // Sends sound requests to all hosts in turn, 100 a second, each of them one
  // of a few that are repeated, and the crashing one to a host every half
  // second.
  void Run(Millis time) {
    const TimePoint end = loop.Now() + time;
    for (; loop.Now() < end; ++round_) {
      SendPlain(round_ % kHosts, "/plain/s" + std::to_string(round_ % 20));
      if (round_ % 50 == 0)
        SendPlain(round_ / 50 % kHosts, kCrashingPath);
      RunFor(Millis(10));
    }
  }

  std::vector<TimePoint> bad_requests;  // that reached an upstream
  std::vector<TimePoint> crashes;
  std::vector<std::unique_ptr<TimerSubscription>> later;

 private:
  int round_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(gateway_crashing_requests,
                         CrashingFleet,
                         *boost::unit_test::label("gateway"))

// Guards against BUDGET: a request that crashes the upstreams that run it was
// sent to one after the other, by all hosts.
BOOST_AUTO_TEST_CASE(
    a_request_that_crashed_three_upstreams_reaches_three_more_at_most) {
  constexpr Millis kContactWindow{3000};
  Run(Millis(7000));
  const std::size_t known = std::min<std::size_t>(crashes.size(), 3);
  BOOST_REQUIRE_GE(known, 1u);
  const TimePoint limit = crashes[known - 1] + kContactWindow;
  const auto later_requests =
      std::count_if(bad_requests.begin(), bad_requests.end(),
                    [&](TimePoint at) { return at > limit; });
  BOOST_TEST_MESSAGE("crashes " << crashes.size() << ", requests later "
                                << later_requests);
  BOOST_TEST((loop.Now() > limit));
  BOOST_TEST(later_requests <= 3);
  // Requests that ran beside it are answered again.
  RunFor(Millis(500));
  answers.clear();
  Run(Millis(1000));
  RunFor(Millis(100));
  SendPlain(0, "/plain/s0");  // collects the answers
  for (const auto& [path, statuses] : answers) {
    for (const std::string& status : statuses) {
      if (path == kCrashingPath) {
        BOOST_TEST(status.starts_with("HTTP/1.1 503"));
      } else {
        BOOST_TEST(status == "HTTP/1.1 200 OK", path << ": " << status);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
