#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "support/gateway_fixture.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFixture;
using tests::Reply;

// What the upstream answers that is asked to go on with a stream.
struct Continuation {
  const char* what;
  std::string bytes;
};

std::ostream& operator<<(std::ostream& out, const Continuation& continuation) {
  return out << continuation.what;
}

std::string WithBody(const std::string& head, const std::string& body) {
  return head + "Id: 1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

const std::string kSigned = "Signed: s\r\n";
const std::string kEvents = "Content-Type: text/event-stream\r\n";
const std::string kError = "{\"error\":\"overloaded\"}";

const std::vector<Continuation> kContinuations = {
    {"a signed error",
     WithBody("HTTP/1.1 500 Error\r\n" + kSigned, kError + "\n\n")},
    {"an error that looks like a stream",
     WithBody("HTTP/1.1 503 Busy\r\n" + kSigned + kEvents,
              "id: 2\ndata: error\n\n")},
    {"a refusal",
     WithBody("HTTP/1.1 503 Full\r\nNot-Run: 1\r\n", kError + "\n\n")},
    {"a refusal without statement",
     WithBody("HTTP/1.1 429 Slow down\r\n", kError + "\n\n")},
    {"a request error", WithBody("HTTP/1.1 400 Bad\r\n" + kSigned, kError)},
    {"a redirection", WithBody("HTTP/1.1 302 Found\r\n" + kSigned, kError)},
    {"an error in a success", WithBody("HTTP/1.1 200 OK\r\n" + kSigned +
                                           "Content-Type: application/json\r\n",
                                       kError + "\n\n")},
    {"another success",
     WithBody("HTTP/1.1 202 Accepted\r\n" + kSigned + kEvents,
              "id: 2\ndata: error\n\n")},
    {"no content",
     "HTTP/1.1 204 No Content\r\n" + kSigned + kEvents + "Id: 1\r\n\r\n"},
    {"a block without id among events",
     WithBody("HTTP/1.1 200 OK\r\n" + kSigned + kEvents,
              "HTTP/1.1 503 Busy\r\nerror: 1\r\n\r\n")},
    {"a head in the body",
     WithBody("HTTP/1.1 200 OK\r\n" + kSigned + kEvents,
              "id: 2\ndata: b\n\nHTTP/1.1 503 error\r\nId: 1\r\n\r\n")},
    {"no answer", ""},
    {"half a head", "HTTP/1.1 500 error\r\nId: 1\r\n"},
    {"no HTTP", "error\r\n\r\n"},
};

std::string FirstPart() {
  const std::string event = "id: 1\ndata: a\n\n";
  return "HTTP/1.1 200 OK\r\n" + kSigned + kEvents +
         "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
         GatewayFixture::Chunk(event);
}

// Guards against ORDER and MIXED: the error of the upstream that was to go on
// with a broken stream got into the stream, or the stream looked complete.
BOOST_TEST_DECORATOR(*boost::unit_test::label("gateway"))
BOOST_DATA_TEST_CASE_F(GatewayFixture,
                       gateway_a_stream_that_no_upstream_goes_on_with_is_cut,
                       boost::unit_test::data::make(kContinuations),
                       continuation) {
  answer = [&](auto& connection, std::size_t number) {
    Reply(connection, number == 1 ? FirstPart() : continuation.bytes);
    connection.socket.close();
  };
  const std::string received = Send("/resumable/");
  BOOST_TEST(requests.size() >= 2u);
  BOOST_TEST(received.find("data: a") != std::string::npos);
  BOOST_TEST(received.find("error") == std::string::npos);
  BOOST_TEST(received.find("HTTP/1.1", 1) == std::string::npos);
  BOOST_TEST(!received.ends_with("0\r\n\r\n"));
}

}  // namespace
}  // namespace endivecart::gateway
