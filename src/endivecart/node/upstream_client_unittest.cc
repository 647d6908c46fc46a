#include "endivecart/node/upstream_client.h"

#include <boost/test/unit_test.hpp>

#include "support/loop_fixture.h"

namespace endivecart::node {
namespace {

using tests::LoopFixture;
using tests::RawUpstream;
using tests::Reply;

struct ControlHost : LoopFixture {
  ControlHost() : store(loop), client(loop) {}

  // Calls the store and returns the status that the caller gets.
  int Call(const char* method = "GET") {
    std::optional<int> status;
    net::HttpRequest request;
    request.method = method;
    request.target = "/";
    request.fields.Add("Host", "a");
    client.Call(store.address(), request,
                [&](int result, const std::string&) { status = result; });
    for (int i = 0; i < 1000 && !status; ++i)
      RunFor(Millis(0));
    BOOST_REQUIRE(status.has_value());
    return *status;
  }

  RawUpstream store;
  UpstreamClient client;
};

BOOST_AUTO_TEST_SUITE(node_upstream_client, *boost::unit_test::label("net"))

BOOST_FIXTURE_TEST_CASE(a_complete_answer_is_returned, ControlHost) {
  store.on_bytes = [](auto& connection) {
    Reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  };
  BOOST_TEST(Call() == 200);
}

// Guards against an order that is repeated since the copy of an earlier answer
// was taken for its own.
BOOST_FIXTURE_TEST_CASE(an_order_has_a_connection_of_its_own, ControlHost) {
  std::size_t calls = 0;
  store.on_bytes = [&](RawUpstream::Connection& connection) {
    const bool is_order = connection.received.starts_with("POST");
    const std::string busy = "HTTP/1.1 409 Busy\r\nContent-Length: 0\r\n\r\n";
    const std::string accepted = "HTTP/1.1 202 Ok\r\nContent-Length: 0\r\n\r\n";
    connection.received.clear();
    const bool repeats =
        ++calls > 1 && &connection == store.connections[0].get();
    Reply(connection, (repeats ? busy : "") + (is_order ? accepted : busy));
  };
  BOOST_TEST(Call() == 409);
  BOOST_TEST(Call("POST") == 202);
}

// Guards against FAULT: a store sent a body without end; the control host kept
// all of it and was killed at its memory limit.
BOOST_FIXTURE_TEST_CASE(a_body_without_end_is_no_answer, ControlHost) {
  const std::string bytes(64UL << 10, 'x');
  bool is_open = true;
  std::function<void(RawUpstream::Connection&)> flood =
      [&](RawUpstream::Connection& connection) {
        connection.socket.async_write_some(
            boost::asio::buffer(bytes),
            [&](const boost::system::error_code& error, std::size_t) {
              is_open = !error;
              if (is_open)
                flood(connection);
            });
      };
  store.on_bytes = [&](RawUpstream::Connection& connection) {
    Reply(connection, "HTTP/1.1 200 OK\r\n\r\n");
    flood(connection);
  };
  const TimePoint start = loop.Now();
  BOOST_TEST(Call() == 0);
  BOOST_TEST((loop.Now() == start));  // not by the time limit
  RunUntil([&] { return !is_open; });
  BOOST_TEST(!is_open);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::node
