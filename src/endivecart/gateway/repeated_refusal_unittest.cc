#include <boost/test/unit_test.hpp>

#include "support/gateway_fixture.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFixture;
using tests::RawUpstream;
using tests::Reply;

// Two upstreams that refuse a request at first. When it is sent again on the
// same connection, they write the earlier refusal once more before they run it.
struct RepeatedRefusals : GatewayFixture {
  RepeatedRefusals() {
    answer = [this](RawUpstream::Connection& connection, std::size_t number) {
      if (number <= upstreams.size()) {
        Reply(connection, NotRunAnswer("1"));
        refused_on.push_back(&connection);
        return;
      }
      if (std::find(refused_on.begin(), refused_on.end(), &connection) !=
          refused_on.end()) {
        Reply(connection, NotRunAnswer("1"));
      }
      ++runs;
      Reply(connection, CompleteAnswer("1", "yes"));
    };
  }

  std::vector<RawUpstream::Connection*> refused_on;
  int runs = 0;
};

BOOST_FIXTURE_TEST_SUITE(gateway_repeated_refusals,
                         RepeatedRefusals,
                         *boost::unit_test::label("gateway"))

// Guards against REFUSED and TWICE: the refusal that an upstream wrote once
// more was taken for the answer to the request's next send.
BOOST_AUTO_TEST_CASE(a_refusal_written_twice_is_not_taken_for_the_next_answer) {
  const std::string received = Send("/once/");
  BOOST_TEST(runs == 1);
  BOOST_TEST(HasStatus(received, 200));
}

BOOST_AUTO_TEST_CASE(a_refusal_written_twice_refuses_no_later_request) {
  refused_on.clear();
  answer = [this](RawUpstream::Connection& connection, std::size_t number) {
    if (number <= 2) {
      Reply(connection, NotRunAnswer("1") + NotRunAnswer("1"));
      return;
    }
    ++runs;
    Reply(connection, CompleteAnswer("2", "yes"));
  };
  Send("/once/", "1");
  runs = 0;
  const std::string received = Send("/once/", "2");
  BOOST_TEST(runs == 1);
  BOOST_TEST(HasStatus(received, 200));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
