#include <boost/test/unit_test.hpp>

#include "support/gateway_fleet.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFleet;
using tests::RawProxy;
using tests::RawUpstream;

// Six hosts, of which three send through the others, as they are cut off from
// all upstreams. Requests for "/plain/held" are never answered.
struct RelayingFleet : GatewayFleet {
  static constexpr int kHosts = 6;
  static constexpr Millis kContactWindow{3000};

  RelayingFleet() : GatewayFleet(kHosts, 0, true) {
    on_request = [this](Upstream&, RawUpstream::Connection& connection,
                        const std::string& request) {
      if (request.starts_with("GET /plain/held ")) {
        held.push_back(&connection);
      } else {
        AnswerPlain(connection, request);
      }
    };
    for (int i = 0; i < 3; ++i)
      StartUpstream("v1", "plain");
    RunFor(Millis(300));
    Run(Millis(500));
    for (const std::size_t host : {0, 2, 3})
      CutLinks(host, RawProxy::Cut::kReset);
    Run(kContactWindow);
    RunFor(Millis(500));
  }
  // Sends 100 requests a second to all hosts in turn.
  void Run(Millis time) {
    const TimePoint end = loop.Now() + time;
    for (; loop.Now() < end; ++round_) {
      SendPlain(round_ % kHosts, "/plain/x");
      RunFor(Millis(10));
    }
  }

  std::vector<RawUpstream::Connection*> held;

 private:
  int round_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(gateway_callers_left_fleet,
                         RelayingFleet,
                         *boost::unit_test::label("gateway"))

// Guards against GONE: see gateway_callers_left. Here some hosts would pass the
// request on to another one.
BOOST_AUTO_TEST_CASE(no_host_passes_on_a_request_whose_caller_left_unread) {
  for (int i = 0; i < 5 * kHosts; ++i)
    SendPlain(i % kHosts, "/plain/held");
  LeaveAll();
  RunFor(Millis(1000));
  BOOST_TEST(held.size() == 0u);
}

BOOST_AUTO_TEST_CASE(work_ends_when_its_caller_leaves_also_by_way_of_a_relay) {
  for (int host = 0; host < kHosts; ++host)
    SendPlain(host, "/plain/held");
  RunUntil([this] { return held.size() == kHosts; });
  BOOST_TEST(held.size() == std::size_t{kHosts});
  LeaveAll();
  RunFor(Millis(100));
  for (const RawUpstream::Connection* connection : held)
    BOOST_TEST(connection->ended);
  for (std::size_t host = 0; host < kHosts; ++host)
    BOOST_TEST(gateway(host).active() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
