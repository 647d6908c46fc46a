#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "support/gateway_fixture.h"
#include "support/gateway_fleet.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFixture;
using tests::GatewayFleet;
using tests::RawCaller;
using tests::RawProxy;
using tests::RawUpstream;
using tests::Reply;

constexpr std::uint64_t kUnixMs = 500000000;

// Discards what was counted, and tells the time.
void StartCounting(Gateway& gateway) {
  gateway.usage().OnTime(std::nullopt, gateway.Now(), gateway.Now());
  gateway.usage().OnTime(kUnixMs, gateway.Now(), gateway.Now());
}

std::uint64_t Counted(Gateway& gateway) {
  const auto usage = gateway.UsageSince(0);
  std::uint64_t sum = 0;
  for (const auto& record : usage.value().report.records())
    sum += record.customer() == "c" ? record.count() : 0;
  return sum;
}

struct CountingGateway : GatewayFixture {
  CountingGateway() { StartCounting(gateway); }
};

// Guards against usage reports that differ from what upstreams ran.
BOOST_FIXTURE_TEST_SUITE(gateway_usage_counting,
                         CountingGateway,
                         *boost::unit_test::label("gateway"))

BOOST_AUTO_TEST_CASE(a_resumed_stream_counts_once) {
  answer = [](auto& connection, std::size_t number) {
    if (number == 1) {
      Reply(connection, StreamHead("1") + Chunk("id: 1\ndata: a\n\n"));
      connection.socket.close();
    } else {
      Reply(connection,
            StreamHead("1") + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    }
  };
  Send("/resumable/");
  BOOST_TEST(requests.size() == 2u);
  BOOST_TEST(Counted(gateway) == 1u);
  // The caller resumes it.
  Send("/resumable/", "1", "Key: k\r\nLast-Event: 1\r\n");
  BOOST_TEST(requests.size() == 3u);
  BOOST_TEST(Counted(gateway) == 1u);
}

BOOST_AUTO_TEST_CASE(a_stream_without_an_event_does_not_count) {
  answer = [](auto& connection, auto) {
    Reply(connection, StreamHead("1"));
    connection.socket.close();
  };
  Send("/stream/");
  BOOST_TEST(requests.size() == 1u);
  BOOST_TEST(Counted(gateway) == 0u);
}

BOOST_AUTO_TEST_CASE(a_retried_request_counts_once) {
  answer = [](auto& connection, std::size_t number) {
    Reply(connection, number == 1 ? "HTTP/1.1 500 Oh\r\nSigned: s\r\nId: 1\r\n"
                                    "Content-Length: 0\r\n\r\n"
                                  : CompleteAnswer("1", "yes"));
  };
  BOOST_TEST(HasStatus(Send("/safe/"), 200));
  BOOST_TEST(requests.size() == 2u);
  BOOST_TEST(Counted(gateway) == 1u);
}

BOOST_AUTO_TEST_CASE(requests_that_no_upstream_is_known_to_have_run_count_not) {
  answer = [](auto& connection, auto) { Reply(connection, NotRunAnswer("1")); };
  BOOST_TEST(HasStatus(Send("/once/"), 503));
  answer = [](auto& connection, auto) { connection.socket.close(); };
  BOOST_TEST(HasStatus(Send("/once/"), 502));
  answer = [](auto& connection, auto) {
    Reply(connection,
          "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
  };
  BOOST_TEST(HasStatus(Send("/once/"), 502));
  BOOST_TEST(HasStatus(Send("/none/"), 404));
  BOOST_TEST(Counted(gateway) == 0u);
}

// Guards against windows that are closed while an upstream still runs requests
// that began in them.
BOOST_AUTO_TEST_CASE(a_request_counts_at_the_time_when_it_was_sent) {
  RawUpstream::Connection* held = nullptr;
  answer = [&held](auto& connection, auto) { held = &connection; };
  RawCaller caller(loop, server->port());
  caller.Write(Request("/once/"));
  RunUntil([&] { return held != nullptr; });
  const auto complete_until = [this] {
    return gateway.UsageSince(0)->report.complete_until_ms();
  };
  const std::uint64_t sent_at = complete_until();
  RunFor(Millis(50));
  BOOST_TEST(complete_until() == sent_at);
  Reply(*held, CompleteAnswer("1", "yes"));
  RunUntil([&] { return caller.ended(); });
  BOOST_TEST(complete_until() >= sent_at + 50);
  BOOST_TEST(Counted(gateway) == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

// Three hosts, of which the last is cut off and sends through the others.
struct CountingRelays : GatewayFleet {
  static constexpr int kHosts = 3;

  CountingRelays() : GatewayFleet(kHosts, 0, true, true) {
    on_request = [](Upstream&, RawUpstream::Connection& connection,
                    const std::string& request) {
      AnswerPlain(connection, request);
    };
    StartUpstream("v1", "plain");
    StartUpstream("v1", "plain");
    RunFor(Millis(300));
    Run(Millis(500));
    CutLinks(kHosts - 1, RawProxy::Cut::kReset);
    Run(Millis(3000));
  }
  void Run(Millis time) {
    const TimePoint end = loop.Now() + time;
    for (int round = 0; loop.Now() < end; ++round) {
      SendPlain(round % kHosts, "/plain/x");
      RunFor(Millis(10));
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(gateway_usage_counting_relays,
                         CountingRelays,
                         *boost::unit_test::label("gateway"))

BOOST_AUTO_TEST_CASE(a_relayed_request_counts_once) {
  for (int i = 0; i < 10; ++i) {
    SendPlain(kHosts - 1, "/plain/billed/x", "Key: k\r\n");
    RunFor(Millis(20));
  }
  RunFor(Millis(200));
  SendPlain(1, "/plain/x");  // collects the answers
  const auto& statuses = answers["/plain/billed/x"];
  BOOST_TEST(std::count(statuses.begin(), statuses.end(), "HTTP/1.1 200 OK") ==
             10);
  BOOST_TEST(Counted(gateway(2)) == 0u);
  BOOST_TEST(Counted(gateway(0)) + Counted(gateway(1)) == 10u);
  // Counted by the host that relays it.
  SendRelayed("/plain/billed/y", "Key: k\r\nEndivecart-Usage-Counted: 1\r\n");
  RunFor(Millis(200));
  SendPlain(1, "/plain/x");  // collects the answers
  BOOST_TEST(
      answers["/plain/billed/y"] == std::vector<std::string>{"HTTP/1.1 200 OK"},
      boost::test_tools::per_element());
  BOOST_TEST(Counted(gateway(0)) + Counted(gateway(1)) == 10u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
