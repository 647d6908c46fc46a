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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
