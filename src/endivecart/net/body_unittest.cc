// Bytes that bodies of messages hold.

#include <malloc.h>

#include <boost/test/unit_test.hpp>

#include "endivecart/net/net.h"
#include "support/loop_fixture.h"

namespace endivecart::net {
namespace {

using tests::LoopFixture;
using tests::RawCaller;

constexpr std::size_t kLargeBytes = 4UL << 20;
// Heads, buffers and whatever else isn't a body.
constexpr std::size_t kOtherBytes = 512UL << 10;

std::size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string HeadOf(const std::string& target, std::size_t length) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

BOOST_AUTO_TEST_SUITE(net_body_copies, *boost::unit_test::label("net"))

// Guards against LOST: each layer held a copy of a large body, and a few
// requests took a host over its memory.
BOOST_FIXTURE_TEST_CASE(a_body_that_is_being_sent_is_not_copied, LoopFixture) {
  // A peer that reads nothing. The body doesn't fit in the kernel's buffers.
  constexpr std::size_t kUnsentBytes = 32UL << 20;
  const boost::asio::ip::tcp::acceptor upstream(
      loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
  HttpClient client(loop);
  HttpRequest request;
  request.method = "POST";
  request.target = "/";
  request.body = std::string(kUnsentBytes, 'b');
  const std::size_t before = AllocatedBytes();
  const auto call = client.Start(
      settings::Endpoint{"127.0.0.1", upstream.local_endpoint().port()},
      request, CallOptions(),
      {[](const HttpResponseHead&) {}, [](std::string_view) {},
       [](CallResult) {}});
  RunUntil([&] { return call->may_have_been_sent(); });
  BOOST_TEST(call->may_have_been_sent());
  BOOST_TEST(AllocatedBytes() < before + kOtherBytes);
}

// Guards against LOST: a host kept as many copies of a large body as there are
// layers that look at the request.
BOOST_FIXTURE_TEST_CASE(copies_of_a_received_request_share_its_body,
                        LoopFixture) {
  HttpExchangePtr held;
  const auto server = std::move(*HttpServer::Listen(
      loop, tests::AnyPort(), HttpServerLimits(),
      [&held](HttpExchangePtr exchange) { held = std::move(exchange); }));
  RawCaller caller(loop, server->port());
  caller.Write(HeadOf("/", kLargeBytes));
  const std::string piece(64UL << 10, 'b');
  for (std::size_t sent = 0; sent < kLargeBytes; sent += piece.size()) {
    caller.Write(piece);
    RunFor(Millis(1));
  }
  RunUntil([&] { return held != nullptr; });
  BOOST_REQUIRE(held != nullptr);
  const std::size_t before = AllocatedBytes();
  const HttpRequest copy = held->request();
  BOOST_TEST(copy.body.size() == kLargeBytes);
  BOOST_TEST(AllocatedBytes() < before + kOtherBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::net
