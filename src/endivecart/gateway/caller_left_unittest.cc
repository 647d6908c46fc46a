#include <boost/test/unit_test.hpp>

#include "support/gateway_fixture.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFixture;
using tests::RawCaller;
using tests::Reply;

BOOST_FIXTURE_TEST_SUITE(gateway_callers_left,
                         GatewayFixture,
                         *boost::unit_test::label("gateway"))

// Guards against GONE: a host that was busy read a request after its caller had
// left, and sent it to an upstream before it saw that.
BOOST_AUTO_TEST_CASE(a_request_whose_caller_left_unread_reaches_no_upstream) {
  constexpr int kCallers = 20;
  answer = [](auto& connection, auto) {
    Reply(connection, CompleteAnswer("1", "yes"));
  };
  for (int i = 0; i < kCallers; ++i) {
    RawCaller caller(loop, server->port());
    caller.Write(Request("/safe/"));
    caller.Close();
  }
  RunFor(Millis(1000));
  BOOST_TEST(requests.size() == 0u);
  BOOST_TEST(gateway.active() == 0u);
}

// The same for the sends after the first one.
BOOST_AUTO_TEST_CASE(a_request_whose_caller_leaves_is_not_sent_again) {
  std::unique_ptr<RawCaller> caller;
  answer = [&](auto& connection, auto) {
    caller->Close();
    Reply(connection, NotRunAnswer("1"));
  };
  for (int i = 0; i < 20; ++i) {
    requests.clear();
    caller = std::make_unique<RawCaller>(loop, server->port());
    caller->Write(Request("/safe/"));
    RunFor(Millis(100));
    BOOST_TEST(requests.size() == 1u);
  }
  BOOST_TEST(gateway.active() == 0u);
}

BOOST_AUTO_TEST_CASE(callers_that_stay_are_served_among_others_that_left) {
  answer = [](auto& connection, auto) {
    Reply(connection, CompleteAnswer("1", "yes"));
  };
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(std::make_unique<RawCaller>(loop, server->port()));
    callers.back()->Write(Request("/safe/"));
    if (i % 2 == 0)
      callers.back()->Close();
  }
  RunFor(Millis(1000));
  BOOST_TEST(requests.size() == 10u);
  for (std::size_t i = 1; i < callers.size(); i += 2)
    BOOST_TEST(HasStatus(callers[i]->received(), 200));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
