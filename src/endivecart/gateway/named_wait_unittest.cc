#include <boost/test/unit_test.hpp>

#include "support/gateway_fleet.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFleet;
using tests::RawUpstream;
using tests::Reply;

// Upstreams of which the first refuses requests, and names a wait with that,
// while `wait_s` isn't empty.
struct WaitingFleet : GatewayFleet {
  static constexpr int kHosts = 6;
  static constexpr Millis kInFlight{500};

  WaitingFleet() : GatewayFleet(kHosts, 1) {
    for (int i = 0; i < 4; ++i)
      plain.push_back(&StartUpstream("v1", "plain"));
    RunFor(Millis(300));
    on_request = [this](Upstream& upstream, RawUpstream::Connection& connection,
                        const std::string& request) {
      const bool refuses =
          !wait_s.empty() && (all_wait || &upstream == plain[0]);
      if (&upstream == plain[0])
        arrivals.push_back({HostOf(request), loop.Now(), refuses});
      if (!refuses) {
        AnswerPlain(connection, request);
        return;
      }
      ++refusals;
      Reply(connection,
            "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: " + Field(request, "Id") +
                "\r\nWait: " + wait_s + "\r\nContent-Length: 0\r\n\r\n");
    };
  }
  static int HostOf(const std::string& request) {
    return request[request.find("/plain/") + 7] - '0';
  }
  // Sends requests to all hosts in turn, 200 a second.
  void Run(Millis time) {
    const TimePoint end = loop.Now() + time;
    for (int i = 0; loop.Now() < end; ++i) {
      const int host = i % kHosts;
      SendPlain(host, "/plain/" + std::to_string(host) + "/" +
                          std::to_string(sent++));
      RunFor(Millis(5));
    }
  }
  // Returns the most requests of one host that reached the first upstream
  // between half a second after it had named a wait to that host and its end.
  std::ptrdiff_t MostWithinAWait(Millis wait) const {
    std::ptrdiff_t most = 0;
    for (const Arrival& named : arrivals) {
      const auto is_within = [&](const Arrival& arrival) {
        return arrival.host == named.host &&
               arrival.at > named.at + kInFlight &&
               arrival.at < named.at + wait;
      };
      if (named.refused)
        most = std::max(
            most, std::count_if(arrivals.begin(), arrivals.end(), is_within));
    }
    return most;
  }
  int Answers(const std::string& status) const {
    int count = 0;
    for (const auto& [key, lines] : answers) {
      count += static_cast<int>(
          std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
            return line.starts_with("HTTP/1.1 " + status);
          }));
    }
    return count;
  }

  struct Arrival {
    int host;
    TimePoint at;
    bool refused;
  };
  std::vector<Upstream*> plain;
  std::vector<Arrival> arrivals;  // at the first upstream
  std::string wait_s;
  bool all_wait = false;
  int refusals = 0;
  int sent = 0;
};

BOOST_FIXTURE_TEST_SUITE(gateway_named_waits,
                         WaitingFleet,
                         *boost::unit_test::label("gateway"))

// Guards against BUDGET: hosts went on sending to an upstream that had refused
// with 503 and Retry-After, and so had asked for nothing for a while.
BOOST_AUTO_TEST_CASE(
    an_upstream_gets_nothing_from_a_host_that_it_told_to_wait) {
  Run(Millis(300));
  wait_s = "2";
  Run(Millis(4500));
  BOOST_REQUIRE(refusals > 0);
  BOOST_TEST_MESSAGE("refusals " << refusals << ", most within a wait "
                                 << MostWithinAWait(Millis(2000)));
  BOOST_TEST(MostWithinAWait(Millis(2000)) == 0);
  RunFor(Millis(500));
  LeaveAll();  // collects the answers
  BOOST_TEST(Answers("200") == sent);
}

BOOST_AUTO_TEST_CASE(an_upstream_is_used_again_after_the_wait_that_it_named) {
  wait_s = "1";
  Run(Millis(500));
  wait_s.clear();
  Run(Millis(1500));
  const std::size_t before = arrivals.size();
  Run(Millis(1000));
  BOOST_TEST(arrivals.size() - before > 20);
}

BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_while_all_upstreams_wait) {
  Run(Millis(300));
  wait_s = "30";
  all_wait = true;
  Run(Millis(1000));
  const int refusals_before = refusals;
  const int answers_before = Answers("503");
  const int sent_before = sent;
  Run(Millis(1000));
  RunFor(Millis(20));
  BOOST_TEST(refusals == refusals_before);
  BOOST_TEST(Answers("503") - answers_before >= sent - sent_before);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_is_not_bound_by_the_wait_of_the_last) {
  wait_s = "30";
  Run(Millis(300));
  Crash(*plain[0]);
  wait_s.clear();
  plain[0] = &StartUpstream("v1", "plain");
  arrivals.clear();
  Run(Millis(1000));
  BOOST_TEST(arrivals.size() > 20);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
