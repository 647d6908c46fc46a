#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
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

// Guards against TWICE: the upstream at an address had another id by the time
// of the next send, which then went out on the connection of the refusal.
BOOST_AUTO_TEST_CASE(
    a_refusal_written_twice_is_told_apart_at_a_reused_address) {
  const auto repeat_refusals = answer;
  answer = [&](RawUpstream::Connection& connection, std::size_t number) {
    repeat_refusals(connection, number);
    if (number != upstreams.size())
      return;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      upstreams::Announcement successor =
          gateway.upstreams().Find(UpstreamId("u" + std::to_string(i)))->last;
      successor.id = UpstreamId("successor" + std::to_string(i));
      ++successor.start_time_ms;
      gateway.upstreams().Apply(successor, loop.Now());
    }
  };
  const std::string received = Send("/once/");
  BOOST_TEST(runs == 1);
  BOOST_TEST(HasStatus(received, 200));
}

// Guards against TWICE: a caller that was refused repeated its request under
// the same id, which went out on a connection that had carried it before.
BOOST_AUTO_TEST_CASE(
    a_refusal_written_twice_is_told_apart_in_a_callers_repeat) {
  const auto repeat_refusals = answer;
  answer = [this](RawUpstream::Connection& connection, std::size_t) {
    Reply(connection, NotRunAnswer("1"));
    refused_on.push_back(&connection);
  };
  BOOST_TEST(HasStatus(Send("/once/"), 503));
  answer = [&](RawUpstream::Connection& connection, std::size_t) {
    repeat_refusals(connection, requests.size());
  };
  const std::string received = Send("/once/");
  BOOST_TEST(runs == 1);
  BOOST_TEST(HasStatus(received, 200));
}

// Guards against the loss of a request whose connection brought the copy of
// another request's answer first.
BOOST_DATA_TEST_CASE_F(RepeatedRefusals,
                       a_copy_of_another_answer_costs_a_request_nothing,
                       boost::unit_test::data::make({"refusal", "answer",
                                                     "two refusals"}),
                       form) {
  std::string copy = NotRunAnswer("1");
  if (std::string(form) == "answer")
    copy = CompleteAnswer("1", "no");
  if (std::string(form) == "two refusals")
    copy += copy;
  answer = [&](RawUpstream::Connection& connection, std::size_t number) {
    if (number <= upstreams.size()) {
      Reply(connection, NotRunAnswer("1"));
    } else if (requests.back().find("Id: 1\r\n") != std::string::npos) {
      Reply(connection, CompleteAnswer("1", "yes"));
    } else {
      ++runs;
      Reply(connection, copy);
      Reply(connection, CompleteAnswer("2", "yes"));
    }
  };
  Send("/once/", "1");
  const std::string received = Send("/once/", "2");
  BOOST_TEST(runs == 1);
  BOOST_TEST(HasStatus(received, 200));
  BOOST_TEST(received.ends_with("yes"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
