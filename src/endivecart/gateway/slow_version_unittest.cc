#include <boost/test/unit_test.hpp>

#include "support/gateway_fleet.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFleet;
using tests::RawUpstream;
using tests::Reply;

// A service that is moved to a version which answers as soon as the old one,
// but with long pauses between the events.
struct SlowVersionFleet : GatewayFleet {
  static constexpr Millis kOldGap{5};
  static constexpr Millis kNewGap{60};
  static constexpr Millis kMoveTime{1000};

  SlowVersionFleet() : GatewayFleet(1, 2) {
    StartUpstream("v2");
    on_request = [this](Upstream& upstream, RawUpstream::Connection& connection,
                        const std::string& request) {
      new_requests += upstream.version == "v2" ? 1 : 0;
      Reply(connection,
            "HTTP/1.1 200 OK\r\nSigned: s\r\nId: " + Field(request, "Id") +
                "\r\nTransfer-Encoding: chunked\r\n\r\n");
      SendEvent(connection, 1, upstream.version == "v2" ? kNewGap : kOldGap);
    };
    fleet::Decisions decisions;
    decisions.moves[routes::ServiceId("s")] = {VersionId("v2"), kMoveTime,
                                               fleet::MoveState::kRunning, 7};
    SetDecisions(decisions);
    RunFor(Millis(100));
  }
  void SendEvent(RawUpstream::Connection& connection, int number, Millis gap) {
    constexpr int kEvents = 40;
    if (connection.ended)
      return;
    const std::string event = "id: " + std::to_string(number) + "\ndata: \n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    Reply(connection,
          size + event + "\r\n" + (number == kEvents ? "0\r\n\r\n" : ""));
    if (number == kEvents)
      return;
    later.push_back(
        loop.After(gap, [this, &connection, number, gap](TimePoint) {
          SendEvent(connection, number + 1, gap);
        }));
  }
  moves::OutcomeCounts Counts() {
    const auto reports = gateway(0).moves().Reports();
    if (reports.empty())
      return {};
    return fleet::CountsFromWire(reports[0])["all routes"];
  }

  int new_requests = 0;
  std::vector<std::unique_ptr<TimerSubscription>> later;
};

BOOST_FIXTURE_TEST_SUITE(gateway_slow_versions,
                         SlowVersionFleet,
                         *boost::unit_test::label("gateway"))

// Guards against EXPOSURE: a version that answers several times slower was
// completed, since only the time to the first event counted, and only at the
// end of a stream.
BOOST_AUTO_TEST_CASE(slow_streams_count_against_a_version_while_they_run) {
  const TimePoint began = loop.Now();
  for (int i = 0; i < 40; ++i) {
    SendPrompt(0, "common,old");
    RunFor(Millis(15));
  }
  RunUntil([&] { return loop.Now() - began > kMoveTime; });
  const int before = new_requests;
  for (int i = 0; i < 10; ++i)
    SendPrompt(0, "common,new");
  RunFor(Millis(1500));  // the streams last 2.4 s
  BOOST_TEST(new_requests - before == 10);
  BOOST_TEST(Counts().slow_gaps >= 10u);
  BOOST_TEST(Counts().requests == static_cast<unsigned>(new_requests));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
