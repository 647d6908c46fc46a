#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "endivecart/net/net.h"
#include "support/loop_fixture.h"
#include "support/resetting_server.h"

// Guards against MIXED: callers got as a complete answer what a server in
// trouble had sent of it before it reset the connection, and answers whose
// status HTTP doesn't define were waited out.

namespace endivecart::net {
namespace {

using tests::LoopFixture;
using tests::RawUpstream;
using tests::Reply;
using tests::ResettingServer;

// More than the kernel takes before the server reads it.
constexpr std::size_t kUploadBytes = 16000000;
constexpr int kUploads = 30;
const std::string kWithoutLength = "HTTP/1.1 200 OK\r\n\r\n";
const std::string kPiece(1000, 'x');

// A server that answers uploads as soon as their first bytes arrive.
struct EarlyServer : LoopFixture {
  EarlyServer() : upstream(loop), client(loop) {}

  struct Outcome {
    HttpCallPtr call;
    HttpResponseHead head;
    std::string body;
    std::optional<CallResult> end;
  };

  std::shared_ptr<Outcome> Upload(const settings::Endpoint& address) {
    auto outcome = std::make_shared<Outcome>();
    HttpRequest request;
    request.method = "POST";
    request.target = "/";
    request.fields.Add("Host", "a");
    request.body = Body(std::string(kUploadBytes, 'u'));
    outcome->call = client.Start(
        address, request, CallOptions(),
        {[outcome](const HttpResponseHead& head) { outcome->head = head; },
         [outcome](std::string_view bytes) { outcome->body += bytes; },
         [outcome](CallResult result) { outcome->end = result; }});
    RunUntil([&] { return outcome->end.has_value(); });
    BOOST_REQUIRE(outcome->end.has_value());
    return outcome;
  }

  RawUpstream upstream;
  HttpClient client;
};

BOOST_FIXTURE_TEST_SUITE(net_early_responses,
                         EarlyServer,
                         *boost::unit_test::label("net"))

BOOST_AUTO_TEST_CASE(a_response_without_length_is_broken_by_a_reset) {
  ResettingServer server(kWithoutLength + kPiece);
  int complete = 0;
  for (int i = 0; i < kUploads; ++i) {
    const auto outcome = Upload(server.address());
    complete += outcome->end == CallResult::kComplete ? 1 : 0;
    BOOST_TEST(outcome->body == kPiece);
  }
  BOOST_TEST(complete == 0);
}

BOOST_AUTO_TEST_CASE(a_response_of_known_length_is_complete_before_a_reset) {
  ResettingServer server("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" +
                         kPiece);
  for (int i = 0; i < kUploads; ++i) {
    const auto outcome = Upload(server.address());
    BOOST_CHECK(outcome->end == CallResult::kComplete);
    BOOST_TEST(outcome->body == kPiece);
  }
  BOOST_TEST(client.IdleConnectionsTo(server.address()) == 0u);
}

// Guards against LOST: the next response on a connection was never read after
// one that had come before its request was written.
BOOST_AUTO_TEST_CASE(a_response_that_came_early_is_followed_by_the_next) {
  constexpr std::string_view kResponse =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  std::size_t responses = 0;
  upstream.on_bytes = [&](RawUpstream::Connection& server) {
    const std::size_t request =
        server.received.find("\r\n\r\n") + 4 + kUploadBytes;
    if (server.received.size() > responses * request) {
      ++responses;
      Reply(server, std::string(kResponse));
    }
  };
  for (int i = 0; i < 3; ++i)
    BOOST_CHECK(Upload(upstream.address())->end == CallResult::kComplete);
  BOOST_TEST(upstream.connections.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_orderly_close_after_the_upload_completes_a_response) {
  upstream.on_bytes = [](RawUpstream::Connection& server) {
    if (server.received.size() <= sizeof server.buffer)
      Reply(server, kWithoutLength + kPiece);
    if (server.received.size() >= kUploadBytes &&
        server.received.size() ==
            server.received.find("\r\n\r\n") + 4 + kUploadBytes) {
      server.socket.close();
    }
  };
  const auto outcome = Upload(upstream.address());
  BOOST_CHECK(outcome->end == CallResult::kComplete);
  BOOST_TEST(outcome->body == kPiece);
}

BOOST_DATA_TEST_CASE_F(EarlyServer,
                       a_status_that_http_does_not_define_is_no_response,
                       boost::unit_test::data::make({"000", "099", "101", "600",
                                                     "999"}),
                       status) {
  upstream.on_bytes = [&](RawUpstream::Connection& server) {
    if (server.received.size() <= sizeof server.buffer) {
      Reply(server, "HTTP/1.1 " + std::string(status) +
                        " X\r\nContent-Length: 2\r\n\r\nok");
    }
  };
  const auto outcome = Upload(upstream.address());
  BOOST_CHECK(outcome->end == CallResult::kMalformedResponse);
  BOOST_TEST(outcome->head.status == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::net
