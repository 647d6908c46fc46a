#include "endivecart/net/exchange_history.h"

#include <boost/test/unit_test.hpp>

#include "endivecart/net/net.h"
#include "support/loop_fixture.h"

// Guards against TWICE: a request went out once more on the connection of its
// refusal, where a copy of that came first.

namespace endivecart::net {
namespace {

using tests::LoopFixture;
using tests::RawUpstream;
using tests::Reply;

struct IdentifiedCalls : LoopFixture {
  IdentifiedCalls() {
    server.on_bytes = [](RawUpstream::Connection& connection) {
      Reply(connection, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    };
  }
  // Returns the number of connections after a call with this id.
  std::size_t ConnectionsAfter(const std::string& id) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    CallOptions options;
    options.identity.request_id = id;
    bool ended = false;
    const auto call =
        client.Start(server.address(), request, options,
                     {[](const HttpResponseHead&) {}, [](std::string_view) {},
                      [&](CallResult) { ended = true; },
                      [id](const HttpResponseHead&) { return id; }});
    RunUntil([&] { return ended; });
    return server.connections.size();
  }

  RawUpstream server{loop};
  HttpClient client{loop};
};

BOOST_FIXTURE_TEST_SUITE(net_exchange_history,
                         IdentifiedCalls,
                         *boost::unit_test::label("net"))

BOOST_AUTO_TEST_CASE(a_connection_carries_each_id_once) {
  BOOST_TEST(ConnectionsAfter("a") == 1u);
  BOOST_TEST(ConnectionsAfter("a") == 2u);
  BOOST_TEST(ConnectionsAfter("b") == 2u);
  BOOST_TEST(ConnectionsAfter("b") == 2u);
  BOOST_TEST(ConnectionsAfter("b") == 3u);
}

BOOST_AUTO_TEST_CASE(a_connection_ends_with_the_ids_that_it_remembers) {
  for (std::size_t i = 0; i < ExchangeHistory::kMaxIds; ++i)
    BOOST_TEST(ConnectionsAfter(std::to_string(i)) == 1u);
  BOOST_TEST(ConnectionsAfter("next") == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::net
