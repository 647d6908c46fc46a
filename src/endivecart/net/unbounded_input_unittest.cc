// Peers that send bytes without end, or stop in the middle of a head.

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "endivecart/net/net.h"
#include "support/loop_fixture.h"

namespace endivecart::net {
namespace {

using tests::LoopFixture;
using tests::RawCaller;
using tests::RawUpstream;
using tests::Reply;

// More than any reader may hold.
constexpr std::size_t kFloodBytes = 4UL << 20;
constexpr std::size_t kMaxHeldBytes = 256UL << 10;

const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Writes without end to a peer that reads, until the peer closes.
class Flood : public std::enable_shared_from_this<Flood> {
 public:
  explicit Flood(boost::asio::ip::tcp::socket& socket) : socket_(socket) {}

  void Start() {
    socket_.async_write_some(
        boost::asio::buffer(bytes_),
        [self = shared_from_this()](const boost::system::error_code& error,
                                    std::size_t written) {
          self->sent_ += written;
          self->ended_ = error || self->sent_ >= kFloodBytes;
          if (!self->ended_)
            self->Start();
        });
  }
  bool ended() const { return ended_; }
  std::size_t sent() const { return sent_; }

 private:
  boost::asio::ip::tcp::socket& socket_;
  const std::string bytes_ = std::string(4096, 'f');
  std::size_t sent_ = 0;
  bool ended_ = false;
};

struct ClientOfFlood : LoopFixture {
  ClientOfFlood() : upstream(loop), client(loop) {}

  void Get() {
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    request.fields.Add("Host", "a");
    call = client.Start(upstream.address(), request, CallOptions(),
                        {[](const HttpResponseHead&) {},
                         [this](std::string_view bytes) { body += bytes; },
                         [this](CallResult result) { end = result; }});
  }

  RawUpstream upstream;
  HttpClient client;
  HttpCallPtr call;
  std::string body;
  std::optional<CallResult> end;
};

BOOST_AUTO_TEST_SUITE(net_unbounded_input, *boost::unit_test::label("net"))

// Guards against LOST: a server sent bytes without end where a chunk should
// begin; the host kept them all and ran out of memory.
BOOST_DATA_TEST_CASE_F(ClientOfFlood,
                       an_answer_that_never_gets_on_is_malformed,
                       boost::unit_test::data::make(
                           {std::string(),
                            std::string("HTTP/1.1 200 OK\r\nA: "), kChunkedHead,
                            kChunkedHead + "1;name=", kChunkedHead + "1\r\nx",
                            kChunkedHead + "0\r\nA: "}),
                       start) {
  std::shared_ptr<Flood> flood;
  upstream.on_bytes = [&](RawUpstream::Connection& connection) {
    Reply(connection, start);
    flood = std::make_shared<Flood>(connection.socket);
    flood->Start();
  };
  Get();
  RunUntil([&] { return end.has_value() || (flood && flood->ended()); });
  BOOST_REQUIRE(end.has_value());
  BOOST_CHECK(end == CallResult::kMalformedResponse);
  BOOST_TEST(body.size() <= 1u);
  BOOST_TEST(flood->sent() < kFloodBytes);
}

// The server answers before it has read the request, and goes on sending.
BOOST_FIXTURE_TEST_CASE(bytes_after_a_complete_answer_are_not_read,
                        ClientOfFlood) {
  std::shared_ptr<Flood> flood;
  upstream.on_bytes = [&](RawUpstream::Connection& connection) {
    if (flood)
      return;
    Reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    flood = std::make_shared<Flood>(connection.socket);
    flood->Start();
  };
  Get();
  RunUntil([&] { return end.has_value(); });
  BOOST_CHECK(end == CallResult::kComplete);
  BOOST_TEST(body == "ok");
  RunFor(Millis(50));
  BOOST_TEST(flood->sent() < kFloodBytes);
}

// Guards against MIXED and ORDER: a server stopped in the middle of its head
// and closed, and its caller got a short answer as if it were whole.
BOOST_DATA_TEST_CASE_F(ClientOfFlood,
                       a_head_that_was_cut_is_no_answer,
                       boost::unit_test::data::xrange(53),
                       kept) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\nA: b\r\n\r\n";
  BOOST_REQUIRE(head.size() == 53u);
  upstream.on_bytes = [&](RawUpstream::Connection& connection) {
    Reply(connection, head.substr(0, static_cast<std::size_t>(kept)));
    connection.socket.close();
  };
  Get();
  RunUntil([&] { return end.has_value(); });
  BOOST_REQUIRE(end.has_value());
  BOOST_CHECK(end == CallResult::kBroken);
}

BOOST_DATA_TEST_CASE_F(LoopFixture,
                       a_request_that_never_gets_on_is_rejected,
                       boost::unit_test::data::make(
                           {std::string(), std::string("GET / HTTP/1.1\r\nA: "),
                            std::string("POST / HTTP/1.1\r\nHost: a\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n"),
                            std::string("POST / HTTP/1.1\r\nHost: a\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n"
                                        "1\r\nx\r\n0\r\nA: ")}),
                       start) {
  bool was_handled = false;
  const auto server = std::move(
      *HttpServer::Listen(loop, tests::AnyPort(), HttpServerLimits(),
                          [&](const HttpExchangePtr&) { was_handled = true; }));
  RawCaller caller(loop, server->port());
  caller.Write(start);
  std::size_t sent = 0;
  while (caller.received().empty() && !caller.ended() && sent < kFloodBytes) {
    caller.Write(std::string(4096, 'f'));
    sent += 4096;
    RunFor(Millis(0));
  }
  BOOST_TEST(sent < kMaxHeldBytes);
  BOOST_TEST(caller.received().starts_with("HTTP/1.1 4"));
  BOOST_TEST(!was_handled);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::net
