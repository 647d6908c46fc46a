#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "support/gateway_fleet.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFleet;
using tests::RawProxy;
using tests::RawUpstream;

// Six hosts, of which some lose their links to all upstreams.
struct CutFleet : GatewayFleet {
  static constexpr int kHosts = 6;
  static constexpr Millis kContactWindow{3000};

  CutFleet() : GatewayFleet(kHosts, 6, true) {
    on_request = [](Upstream&, RawUpstream::Connection& connection,
                    const std::string& request) {
      if (request.starts_with("GET /plain/")) {
        AnswerPlain(connection, request);
      } else {
        Answer(connection, request);
      }
    };
    for (int i = 0; i < 3; ++i)
      StartUpstream("v1", "plain");
    RunFor(Millis(300));
  }
  // Sends prompts and other requests to each host in turn, 100 a second;
  // answers are collected by host.
  void Run(Millis time) {
    const TimePoint end = loop.Now() + time;
    for (; loop.Now() < end; ++round_) {
      const int host = round_ % kHosts;
      if (round_ / kHosts % 2 == 0) {
        SendPrompt(host, "h" + std::to_string(host));
      } else {
        SendPlain(host, "/plain/h" + std::to_string(host));
      }
      RunFor(Millis(10));
    }
  }
  // Share of the requests to a host that were answered with success.
  double ServedBy(int host) {
    double served = 0;
    double all = 0;
    for (const std::string prefix : {"h", "/plain/h"}) {
      for (const std::string& status : answers[prefix + std::to_string(host)]) {
        served += status == "HTTP/1.1 200 OK" ? 1 : 0;
        ++all;
      }
    }
    return all == 0 ? 0 : served / all;
  }

 private:
  int round_ = 0;
};

std::string CutName(RawProxy::Cut cut) {
  switch (cut) {
    case RawProxy::Cut::kHang:
      return "hang";
    case RawProxy::Cut::kReset:
      return "reset";
    case RawProxy::Cut::kRefuseNew:
      return "refuse new";
  }
  return "";
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_cut_off_hosts,
                         CutFleet,
                         *boost::unit_test::label("gateway"))

// Guards against RECOVER: a host that had lost its links to all upstreams
// refused its callers, while other hosts were served by the same upstreams.
BOOST_DATA_TEST_CASE(callers_of_hosts_that_reach_no_upstream_are_served,
                     boost::unit_test::data::make({0, 1, 2}),
                     way) {
  const auto cut = static_cast<RawProxy::Cut>(way);
  Run(Millis(500));
  for (const std::size_t host : {0, 2, 3})
    CutLinks(host, cut);
  Run(kContactWindow);
  RunFor(Millis(500));
  SendPlain(1, "/plain/other");
  answers.clear();
  Run(Millis(1500));
  RunFor(Millis(500));
  SendPlain(1, "/plain/other");  // collects the answers
  for (int host = 0; host < kHosts; ++host)
    BOOST_TEST(ServedBy(host) >= 0.98,
               CutName(cut) << ", host " << host << ": " << ServedBy(host));
}

BOOST_AUTO_TEST_CASE(hosts_use_their_own_links_again_when_these_return) {
  Run(Millis(300));
  for (const std::size_t host : {0, 2, 3})
    CutLinks(host, RawProxy::Cut::kReset);
  Run(Millis(1500));
  for (const std::size_t host : {0, 2, 3})
    RestoreLinks(host);
  Run(Millis(1000));
  answers.clear();
  Run(Millis(1000));
  RunFor(Millis(300));
  SendPlain(1, "/plain/other");  // collects the answers
  for (int host = 0; host < kHosts; ++host) {
    BOOST_TEST(ServedBy(host) == 1.0);
    BOOST_TEST(!gateway(static_cast<std::size_t>(host)).reach().IsCutOff());
  }
}

// Guards against BUDGET: a host that could open no connection sent what it had
// under way once more through other hosts, uncounted, though it had arrived.
BOOST_AUTO_TEST_CASE(
    requests_that_arrived_before_a_cut_are_repeated_within_the_limit) {
  constexpr int kBurst = 30;
  constexpr double kRetryRatio = 0.2;
  std::map<std::string, int> arrivals;
  std::vector<std::pair<RawUpstream::Connection*, std::string>> held;
  on_request = [&](Upstream&, RawUpstream::Connection& connection,
                   const std::string& request) {
    const bool is_first = ++arrivals[Field(request, "Id")] == 1;
    if (is_first && request.starts_with("GET /plain/h0")) {
      held.emplace_back(&connection, request);
    } else {
      AnswerPlain(connection, request);
    }
  };
  const auto send_burst = [&] {
    for (int i = 0; i < kBurst; ++i)
      SendPlain(0, "/plain/h0");
    RunFor(Millis(100));
  };
  send_burst();
  BOOST_REQUIRE(held.size() == kBurst);
  for (const auto& [connection, request] : held)
    AnswerPlain(*connection, request);
  RunFor(Millis(100));
  // The second burst uses the connections of the first.
  CutLinks(0, RawProxy::Cut::kRefuseNew);
  send_burst();
  const std::size_t arrived = arrivals.size();
  BOOST_TEST(arrived > kBurst + kBurst / 2);
  const TimePoint end = loop.Now() + kContactWindow;
  while (loop.Now() < end) {
    SendPlain(1, "/plain/h1");  // a relay has to have answers itself
    RunFor(Millis(100));
  }
  int repeats = 0;
  for (const auto& [id, count] : arrivals)
    repeats += count - 1;
  BOOST_TEST_MESSAGE("arrived " << arrived << ", repeats " << repeats);
  BOOST_TEST(repeats <= kRetryRatio * static_cast<double>(arrivals.size()));
}

// Guards against BUDGET: what an upstream had refused was sent once more
// through other hosts, uncounted, while the host was cut off.
BOOST_AUTO_TEST_CASE(
    refused_requests_are_repeated_through_other_hosts_within_the_limit) {
  constexpr int kBurst = 30;
  constexpr double kRetryRatio = 0.2;
  std::map<std::string, int> arrivals;
  std::vector<std::pair<RawUpstream::Connection*, std::string>> held;
  on_request = [&](Upstream&, RawUpstream::Connection& connection,
                   const std::string& request) {
    const bool is_first = ++arrivals[Field(request, "Id")] == 1;
    if (is_first && request.starts_with("GET /once/h0")) {
      held.emplace_back(&connection, request);
    } else {
      AnswerPlain(connection, request);
    }
  };
  for (int i = 0; i < kBurst; ++i)
    SendPlain(0, "/once/h0");
  RunFor(Millis(100));
  BOOST_REQUIRE(held.size() == kBurst);
  CutLinks(0, RawProxy::Cut::kRefuseNew);
  for (int i = 0; i < 15; ++i) {
    SendPlain(1, "/once/h1");  // a relay has to have answers itself
    RunFor(Millis(100));
  }
  for (const auto& [connection, request] : held) {
    Reply(*connection,
          "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: " + Field(request, "Id") +
              "\r\nContent-Length: 0\r\n\r\n");
  }
  RunFor(Millis(500));
  int repeats = 0;
  for (const auto& [id, count] : arrivals)
    repeats += count - 1;
  BOOST_TEST_MESSAGE("requests " << arrivals.size() << ", repeats " << repeats);
  BOOST_TEST(repeats > 0);
  BOOST_TEST(repeats <= kRetryRatio * static_cast<double>(arrivals.size()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::gateway
