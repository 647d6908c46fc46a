#include <boost/test/unit_test.hpp>

#include "support/gateway_fleet.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFleet;
using tests::RawUpstream;

// Six hosts and four upstreams. The first one fails each request while
// `is_failing`.
struct FailingFleet : GatewayFleet {
  static constexpr int kHosts = 6;

  FailingFleet() : GatewayFleet(kHosts, 0) {
    on_request = [this](Upstream& upstream, RawUpstream::Connection& connection,
                        const std::string& request) {
      if (upstream.id == upstreams.front()->id)
        requests.push_back(loop.Now());
      if (is_failing && upstream.id == upstreams.front()->id) {
        Reply(connection,
              "HTTP/1.1 500 Error\r\nSigned: s\r\nId: " + Field(request, "Id") +
                  "\r\nContent-Length: 0\r\n\r\n");
      } else {
        AnswerPlain(connection, request);
      }
    };
    for (int i = 0; i < 4; ++i)
      StartUpstream("v1", "plain");
    RunFor(Millis(300));
  }
  // Sends 100 requests a second to all hosts in turn.
  void Run(Millis time) {
    const TimePoint end = loop.Now() + time;
    for (; loop.Now() < end; ++round_) {
      SendPlain(round_ % kHosts, "/plain/x");
      RunFor(Millis(10));
    }
  }

  bool is_failing = true;
  std::vector<TimePoint> requests;  // that reached the first upstream

 private:
  int round_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(gateway_failing_upstreams,
                         FailingFleet,
                         *boost::unit_test::label("gateway"))

// Guards against each host finding out by itself that an upstream fails: the
// more hosts, the more requests failed there, again and again.
BOOST_AUTO_TEST_CASE(all_hosts_together_try_a_failing_upstream_rarely) {
  constexpr Millis kContactWindow{3000};
  constexpr Millis kTime{4000};
  // A trial each half second, twice that while a failure isn't known to all.
  constexpr std::size_t kTrialsPerS = 4;
  Run(kContactWindow);
  requests.clear();
  answers.clear();
  Run(kTime);
  BOOST_TEST_MESSAGE("requests at the failing upstream: " << requests.size());
  BOOST_TEST(requests.size() <= kTrialsPerS * kTime.count() / 1000);
  for (const std::string& status : answers["/plain/x"])
    BOOST_TEST(status == "HTTP/1.1 200 OK");
  // It is used again soon after it has recovered.
  is_failing = false;
  Run(kContactWindow);
  requests.clear();
  Run(Millis(1000));
  BOOST_TEST(requests.size() > 10u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
