#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>

#include "support/gateway_fixture.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFixture;
using tests::RawCaller;
using tests::RawUpstream;
using tests::Reply;

constexpr Millis kPause{150};

// A host whose streams last as long as the test says.
struct StoppingHost : GatewayFixture {
  StoppingHost() {
    answer = [this](RawUpstream::Connection& connection, std::size_t) {
      running = &connection;
      Reply(connection, StreamHead("1"));
      Reply(connection, Chunk("id: 1\ndata: x\n\n"));
    };
  }

  static std::string KeptRequest(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\nId: 1\r\nKey: k\r\n\r\n";
  }
  // Starts a stream, lets it run for `time`, and ends it.
  void RunStream(RawCaller& caller, Millis time) {
    StartStream(caller);
    RunFor(time);
    EndStream();
  }
  void StartStream(RawCaller& caller) {
    running = nullptr;
    caller.Write(KeptRequest("/stream/"));
    RunUntil([&] { return running != nullptr; });
  }
  void EndStream() {
    Reply(*running, "0\r\n\r\n");
    RunFor(Millis(5));
  }

  RawUpstream::Connection* running = nullptr;
};

BOOST_AUTO_TEST_SUITE(gateway_planned_stop, *boost::unit_test::label("gateway"))

// Guards against LOST: a stream had begun before the stop, so that its channel
// stayed open; the next request on it was passed on and cut by the end of the
// process.
BOOST_FIXTURE_TEST_CASE(
    a_request_that_cannot_end_before_the_process_is_rejected,
    StoppingHost) {
  RawCaller caller(loop, server->port());
  StartStream(caller);
  RunFor(Millis(1000));
  server->DisableKeepAlive();
  gateway.StopBy(loop.Now() + Millis(1200));
  RunFor(Millis(500));
  EndStream();
  const std::size_t sends = requests.size();
  const std::size_t before = caller.received().size();
  caller.Write(KeptRequest("/stream/"));
  RunFor(kPause);
  const std::string last = caller.received().substr(before);
  BOOST_TEST(HasStatus(last, 503));
  BOOST_TEST(last.find("Connection: close") != std::string::npos);
  BOOST_TEST(requests.size() == sends);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_can_end_before_the_process_is_served,
                        StoppingHost) {
  RawCaller caller(loop, server->port());
  RunStream(caller, Millis(100));
  gateway.StopBy(loop.Now() + Millis(1200));
  const std::size_t sends = requests.size();
  RunStream(caller, Millis(100));
  BOOST_TEST(requests.size() == sends + 1);
  BOOST_TEST(caller.received().ends_with("0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(a_request_whose_time_limit_is_short_enough_is_served,
                        StoppingHost) {
  RawCaller caller(loop, server->port());
  gateway.StopBy(loop.Now() + Millis(3100));  // the route's limit is 3 s
  StartStream(caller);
  BOOST_TEST(running != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_request_of_unknown_length_is_rejected, StoppingHost) {
  RawCaller caller(loop, server->port());
  gateway.StopBy(loop.Now() + Millis(2900));
  caller.Write(KeptRequest("/once/"));
  RunFor(kPause);
  BOOST_TEST(HasStatus(caller.received(), 503));
}

// Guards against LOST: a stopping host accepted a stream because those before
// it had been short, and cut it at the end of the process.
BOOST_FIXTURE_TEST_CASE(
    once_callers_know_of_the_stop_a_request_that_may_outlast_it_is_rejected,
    StoppingHost) {
  RawCaller caller(loop, server->port());
  RunStream(caller, Millis(100));
  StartStream(caller);
  server->DisableKeepAlive();
  gateway.StopBy(loop.Now() + Millis(2900), loop.Now() + Millis(50));
  RunFor(Millis(50));
  EndStream();
  const std::size_t sends = requests.size();
  const std::size_t before = caller.received().size();
  caller.Write(KeptRequest("/stream/"));
  RunFor(kPause);
  const std::string last = caller.received().substr(before);
  BOOST_TEST(HasStatus(last, 503));
  BOOST_TEST(last.find("Connection: close") != std::string::npos);
  BOOST_TEST(last.find("Retry: ") != std::string::npos);
  BOOST_TEST(requests.size() == sends);
}

BOOST_FIXTURE_TEST_CASE(
    once_callers_know_of_the_stop_a_request_with_a_short_time_limit_is_served,
    StoppingHost) {
  RawCaller caller(loop, server->port());
  gateway.StopBy(loop.Now() + Millis(1000), loop.Now());
  caller.Write(
      "GET /stream/ HTTP/1.1\r\nHost: a\r\nId: 1\r\nKey: k\r\n"
      "Timeout: 800\r\n\r\n");
  RunFor(kPause);
  BOOST_TEST(running != nullptr);
}

// Guards against LOST: only streams that had ended counted, so a long one that
// was still running told nothing about the next one on its route.
BOOST_FIXTURE_TEST_CASE(a_request_is_expected_to_last_as_long_as_one_running,
                        StoppingHost) {
  RawCaller caller(loop, server->port());
  RunStream(caller, Millis(100));
  StartStream(caller);
  RunFor(Millis(1000));
  gateway.StopBy(loop.Now() + Millis(900));
  const std::size_t sends = requests.size();
  RawCaller other(loop, server->port());
  other.Write(KeptRequest("/stream/"));
  RunFor(kPause);
  BOOST_TEST(HasStatus(other.received(), 503));
  BOOST_TEST(requests.size() == sends);
}

// Guards against LOST: a prompt that allows more output than those before was
// expected to take no longer than they did.
BOOST_AUTO_TEST_CASE(a_stream_is_expected_to_use_the_output_it_allows) {
  DurationEstimator durations;
  durations.Add("r", {Millis(300), Millis(100), 3});
  BOOST_TEST(durations.Longest("r", 0)->count() == 375);
  BOOST_TEST(durations.Longest("r", 2)->count() == 375);
  BOOST_TEST(durations.Longest("r", 10)->count() == 1375);
  BOOST_TEST(!durations.Longest("other", 10));
  // Callers may allow any number of events.
  BOOST_TEST(durations.Longest("r", std::numeric_limits<std::int64_t>::max())
                 ->count() > 1375);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
