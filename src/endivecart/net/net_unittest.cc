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

// A server that answers each request with its own target and body.
struct EchoServer : LoopFixture {
  EchoServer() {
    HttpServerLimits limits;
    limits.max_header_bytes = 1024;
    limits.max_body_bytes = 100;
    server = std::move(*HttpServer::Listen(
        loop, tests::AnyPort(), limits, [this](HttpExchangePtr exchange) {
          seen.push_back(exchange->request());
          if (hold) {
            held.push_back(std::move(exchange));
            return;
          }
          exchange->Answer(MakeResponse(
              200, "text/plain",
              exchange->request().target + " " + exchange->request().body));
        }));
  }

  // What a caller gets who sends these bytes.
  std::string Exchange(const std::string& bytes) {
    RawCaller caller(loop, server->port());
    caller.Write(bytes);
    RunUntil([&] { return !caller.received().empty() || caller.ended(); });
    return caller.received();
  }

  bool hold = false;
  std::vector<HttpRequest> seen;
  std::vector<HttpExchangePtr> held;
  std::unique_ptr<HttpServer> server;
};

struct BadRequest {
  const char* why;
  std::string bytes;
  const char* status;
};

std::ostream& operator<<(std::ostream& out, const BadRequest& bad) {
  return out << bad.why;
}

const std::vector<BadRequest> kBadRequests = {
    {"a length beside chunks",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400"},
    {"chunks beside a length",
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
     "Content-Length: 3\r\n\r\n0\r\n\r\n",
     "400"},
    {"two lengths",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
     "Content-Length: 4\r\n\r\nabcd",
     "400"},
    {"a coding other than chunked",
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
     "400"},
    {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
    {"a chunk size that is no number",
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "zz\r\nab\r\n0\r\n\r\n",
     "400"},
    {"a space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "400"},
    {"no HTTP at all", "hello there\r\n\r\n", "400"},
    {"a header that is too large",
     "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n",
     "431"},
    {"a length beyond the limit",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", "413"},
    {"chunks beyond the limit",
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "70\r\n" +
         std::string(0x70, 'x') + "\r\n0\r\n\r\n",
     "413"},
};

BOOST_AUTO_TEST_SUITE(net_server, *boost::unit_test::label("net"))

BOOST_DATA_TEST_CASE_F(EchoServer,
                       a_malformed_request_is_refused_and_never_handled,
                       boost::unit_test::data::make(kBadRequests),
                       bad) {
  const std::string answer = Exchange(bad.bytes);
  BOOST_TEST(answer.find(std::string("HTTP/1.1 ") + bad.status) == 0);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  BOOST_TEST(seen.empty());
}

BOOST_FIXTURE_TEST_CASE(a_body_in_chunks_is_joined, EchoServer) {
  const std::string answer = Exchange(
      "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  BOOST_TEST(answer.find("/x abcde") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_request_sent_ahead_waits_for_the_first_answer,
                        EchoServer) {
  hold = true;
  RawCaller caller(loop, server->port());
  caller.Write(
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([&] { return seen.size() == 1; });
  RunFor(Millis(20));
  BOOST_TEST(seen.size() == 1u);
  held.front()->Answer(MakeResponse(200, "", "first"));
  RunUntil([&] { return seen.size() == 2; });
  BOOST_TEST(seen.at(1).target == "/2");
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_is_noticed_at_once, EchoServer) {
  hold = true;
  RawCaller caller(loop, server->port());
  caller.Write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([&] { return held.size() == 1; });
  bool gone = false;
  held.front()->OnCallerGone([&] { gone = true; });
  caller.Close();
  RunUntil([&] { return gone; });
  BOOST_TEST(gone);
  BOOST_TEST(server->active() == 0u);
}

BOOST_FIXTURE_TEST_CASE(an_aborted_stream_does_not_look_complete, EchoServer) {
  hold = true;
  RawCaller caller(loop, server->port());
  caller.Write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([&] { return held.size() == 1; });
  held.front()->StartAnswer({200, {}});
  held.front()->Write("part");
  RunUntil([&] { return caller.received().find("part") != std::string::npos; });
  held.front()->Abort();
  RunUntil([&] { return caller.ended(); });
  BOOST_TEST(caller.received().find("0\r\n\r\n") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(an_exchange_that_is_dropped_ends_its_connection,
                        EchoServer) {
  hold = true;
  RawCaller caller(loop, server->port());
  caller.Write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([&] { return held.size() == 1; });
  held.clear();
  RunUntil([&] { return caller.ended(); });
  BOOST_TEST(caller.ended());
}

BOOST_FIXTURE_TEST_CASE(after_the_announcement_answers_close_connections,
                        EchoServer) {
  server->AnnounceClose();
  const std::string answer = Exchange("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

// A client and an upstream whose every byte the test decides.
struct ClientFixture : LoopFixture {
  ClientFixture() : upstream(loop), client(loop) {}

  struct Outcome {
    std::unique_ptr<HttpCall> call;
    HttpResponseHead head;
    std::string body;
    std::optional<CallEnd> end;
    bool may_have_been_sent = false;
  };

  std::shared_ptr<Outcome> Get(const settings::Endpoint& address) {
    auto outcome = std::make_shared<Outcome>();
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    request.fields.Add("Host", "a");
    outcome->call = client.Start(
        address, request, CallOptions(),
        {[outcome](const HttpResponseHead& head) { outcome->head = head; },
         [outcome](std::string_view bytes) { outcome->body += bytes; },
         [outcome](CallEnd end) {
           outcome->may_have_been_sent = outcome->call->may_have_been_sent();
           outcome->end = end;
         }});
    return outcome;
  }
  std::shared_ptr<Outcome> GetFromUpstream() {
    auto outcome = Get(upstream.address());
    RunUntil([&] { return outcome->end.has_value(); });
    BOOST_REQUIRE(outcome->end.has_value());
    return outcome;
  }

  RawUpstream upstream;
  HttpClient client;
};

const std::string kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

BOOST_AUTO_TEST_SUITE(net_client, *boost::unit_test::label("net"))

BOOST_FIXTURE_TEST_CASE(a_connection_carries_one_request_after_the_other,
                        ClientFixture) {
  upstream.on_bytes = [](auto& connection) { Reply(connection, kWhole); };
  BOOST_CHECK(GetFromUpstream()->end == CallEnd::kComplete);
  BOOST_CHECK(GetFromUpstream()->end == CallEnd::kComplete);
  BOOST_TEST(upstream.connections.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(bytes_after_an_answer_end_the_connections_use,
                        ClientFixture) {
  upstream.on_bytes = [](auto& connection) {
    Reply(connection, kWhole + kWhole);
  };
  const auto first = GetFromUpstream();
  BOOST_TEST(first->body == "ok");
  GetFromUpstream();
  BOOST_TEST(upstream.connections.size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(a_late_second_answer_belongs_to_no_request,
                        ClientFixture) {
  upstream.on_bytes = [](auto& connection) { Reply(connection, kWhole); };
  GetFromUpstream();
  Reply(*upstream.connections.front(), kWhole);
  // Not even where the loop hasn't seen the stray bytes yet.
  GetFromUpstream();
  BOOST_TEST(upstream.connections.size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_ends_early_is_broken, ClientFixture) {
  upstream.on_bytes = [](auto& connection) {
    Reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
    connection.socket.close();
  };
  const auto outcome = GetFromUpstream();
  BOOST_CHECK(outcome->end == CallEnd::kBroken);
  BOOST_TEST(outcome->may_have_been_sent);
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_length_ends_with_its_connection,
                        ClientFixture) {
  upstream.on_bytes = [](auto& connection) {
    Reply(connection, "HTTP/1.1 200 OK\r\n\r\nall of it");
    connection.socket.close();
  };
  const auto outcome = GetFromUpstream();
  BOOST_CHECK(outcome->end == CallEnd::kComplete);
  BOOST_TEST(outcome->body == "all of it");
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_length_that_is_reset_is_broken,
                        ClientFixture) {
  upstream.on_bytes = [](auto& connection) {
    Reply(connection, "HTTP/1.1 200 OK\r\n\r\nsome");
    connection.socket.set_option(boost::asio::socket_base::linger(true, 0));
    connection.socket.close();
  };
  BOOST_CHECK(GetFromUpstream()->end == CallEnd::kBroken);
}

BOOST_FIXTURE_TEST_CASE(bytes_that_are_no_answer_are_told_apart,
                        ClientFixture) {
  upstream.on_bytes = [](auto& connection) {
    Reply(connection, "rubbish\r\n\r\n");
  };
  BOOST_CHECK(GetFromUpstream()->end == CallEnd::kBadAnswer);
}

BOOST_FIXTURE_TEST_CASE(an_interim_answer_is_passed_over, ClientFixture) {
  upstream.on_bytes = [](auto& connection) {
    Reply(connection, "HTTP/1.1 100 Continue\r\n\r\n" + kWhole);
  };
  const auto outcome = GetFromUpstream();
  BOOST_TEST(outcome->head.status == 200);
  BOOST_TEST(outcome->body == "ok");
}

BOOST_FIXTURE_TEST_CASE(where_nobody_listens_nothing_was_sent, ClientFixture) {
  settings::Endpoint nobody;
  {
    RawUpstream gone(loop);
    nobody = gone.address();
  }
  const auto outcome = Get(nobody);
  RunUntil([&] { return outcome->end.has_value(); });
  BOOST_CHECK(outcome->end == CallEnd::kNotSent);
  BOOST_TEST(!outcome->may_have_been_sent);
}

BOOST_FIXTURE_TEST_CASE(a_cancelled_call_closes_its_connection, ClientFixture) {
  bool received = false;
  upstream.on_bytes = [&](auto&) { received = true; };
  const auto outcome = Get(upstream.address());
  RunUntil([&] { return received; });
  outcome->call.reset();
  RunUntil([&] { return upstream.connections.front()->ended; });
  BOOST_TEST(upstream.connections.front()->ended);
  BOOST_TEST(!outcome->end.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(net_message, *boost::unit_test::label("net"))

BOOST_AUTO_TEST_CASE(fields_of_one_connection_are_not_passed_on) {
  HttpFields fields;
  fields.Add("Connection", "close, X-Secret");
  fields.Add("Keep-Alive", "timeout=5");
  fields.Add("x-secret", "1");
  fields.Add("Transfer-Encoding", "chunked");
  fields.Add("X-Kept", "2");
  fields.RemoveHopByHop();
  BOOST_TEST(fields.all().size() == 1u);
  BOOST_TEST(fields.Find("x-kept").value() == "2");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::net
