#include "endivecart/gateway/send_evidence.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "endivecart/net/response_reader.h"

// Guards against TWICE: the copy of a refusal was taken for the answer to the
// same request's next send, which ran; and against the loss of requests whose
// connection brought a copy of another answer first.

namespace endivecart::gateway {
namespace {

using net::CallResult;

std::string Answer(const char* status, const char* fields = "") {
  return std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 2\r\n" +
         fields + "\r\nok";
}
std::string Refusal(const char* id) {
  return Answer("503 Full",
                (std::string("Not-Run: 1\r\nId: ") + id + "\r\n").c_str());
}
std::string Success(const char* id) {
  return Answer("200 OK", (std::string("Id: ") + id + "\r\n").c_str());
}

// A client connection without a socket, and the end of the call under way.
class Connection final : public net::CallSink {
 public:
  std::string ResponseId(const net::HttpResponseHead& head) const override {
    return std::string(head.fields.Find("Id").value_or(""));
  }
  void OnHead(const net::HttpResponseHead& head) override {
    evidence_.answered = RequestId(ResponseId(head));
    evidence_.states_not_run = head.fields.Has("Not-Run");
  }
  void OnBody(std::string_view) override {}
  void OnEnd(CallResult) override {}

  bool skips_unknown = false;

  bool MayCarry(const char* id) const { return reader_.MayCarry(id); }
  // Returns the effect of a send after which these bytes come, in two pieces,
  // and then, unless they hold its answer, the end of the connection.
  SendEffect Exchange(const char* id,
                      const std::string& received,
                      std::size_t first_piece = 0) {
    evidence_ = {};
    evidence_.bytes_sent = true;
    evidence_.has_own_id = MayCarry(id);
    reader_.Begin(this, false, {id, skips_unknown});
    boost::beast::flat_buffer buffer;
    for (const std::string& piece :
         {received.substr(0, first_piece), received.substr(first_piece)}) {
      boost::asio::buffer_copy(buffer.prepare(piece.size()),
                               boost::asio::buffer(piece));
      buffer.commit(piece.size());
      reader_.Read(buffer);
    }
    if (reader_.is_malformed()) {
      evidence_.end = CallResult::kMalformedResponse;
    } else if (reader_.is_complete() || reader_.ReadEnd()) {
      evidence_.end = CallResult::kComplete;
    }
    reader_.Detach();
    return EffectOf(evidence_, RequestId(id));
  }
  bool is_answered_with(const char* id) const {
    return evidence_.end == CallResult::kComplete &&
           evidence_.answered == RequestId(id);
  }

 private:
  net::ResponseReader reader_{4096, "server"};
  SendEvidence evidence_;
};

// What a connection has carried before the request "x" is sent on it.
const std::string kBefore[] = {"nothing", "y refused", "y answered"};

void Carry(Connection& connection, const std::string& before) {
  if (before == "y refused")
    connection.Exchange("y", Refusal("y"));
  if (before == "y answered")
    connection.Exchange("y", Success("y"));
}

// What comes then. `effect`, `answered`: of "x"; `if_new`: where the connection
// has carried nothing before.
struct Received {
  const char* name;
  std::string bytes;
  SendEffect effect;
  bool answered;
  SendEffect effect_if_new;
  bool answered_if_new;
};

constexpr auto kRefused = SendEffect::kRefused;
constexpr auto kMayHaveRun = SendEffect::kMayHaveRun;

std::vector<Received> AllReceived() {
  const std::string x = Refusal("x");
  const std::string y = Refusal("y");
  return {
      {"nothing", "", kMayHaveRun, false, kMayHaveRun, false},
      {"its refusal", x, kRefused, true, kRefused, true},
      {"its refusal, cut", x.substr(0, x.size() - 1), kMayHaveRun, false,
       kMayHaveRun, false},
      {"its refusal twice", x + x, kRefused, true, kRefused, true},
      {"its answer", Success("x"), kMayHaveRun, true, kMayHaveRun, true},
      {"503 without a statement", Answer("503 Full", "Id: x\r\n"), kMayHaveRun,
       true, kMayHaveRun, true},
      {"a refusal without id", Answer("503 Full", "Not-Run: 1\r\n"),
       kMayHaveRun, false, kMayHaveRun, false},
      {"a refusal of an unknown request", Refusal("z"), kMayHaveRun, false,
       kMayHaveRun, false},
      {"no answer in the protocol", "HTP/1.1 503\r\n\r\n", kMayHaveRun, false,
       kMayHaveRun, false},
      {"a copy", y, kMayHaveRun, false, kMayHaveRun, false},
      {"a copy, then its answer", y + Success("x"), kMayHaveRun, true,
       kMayHaveRun, false},
      {"a copy, then its refusal", y + x, kRefused, true, kMayHaveRun, false},
      {"copies, then its answer", y + Success("y") + y + Success("x"),
       kMayHaveRun, true, kMayHaveRun, false},
      {"a copy without length that holds its refusal",
       "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: y\r\n\r\n" + x, kMayHaveRun,
       false, kMayHaveRun, false},
  };
}

BOOST_AUTO_TEST_SUITE(gateway_send_evidence,
                      *boost::unit_test::label("gateway"))

BOOST_AUTO_TEST_CASE(each_pair_of_what_was_sent_and_what_comes_then) {
  for (const std::string& before : kBefore) {
    for (const Received& received : AllReceived()) {
      for (std::size_t i = 0; i <= received.bytes.size(); ++i) {
        BOOST_TEST_CONTEXT(before << "; " << received.name << "; after " << i) {
          Connection connection;
          Carry(connection, before);
          BOOST_TEST(connection.MayCarry("x"));
          const bool is_new = before == "nothing";
          const SendEffect effect = connection.Exchange("x", received.bytes, i);
          BOOST_TEST(SendEffectName(effect) ==
                     SendEffectName(is_new ? received.effect_if_new
                                           : received.effect));
          BOOST_TEST(connection.is_answered_with("x") ==
                     (is_new ? received.answered_if_new : received.answered));
          BOOST_TEST(!connection.MayCarry("x"));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_refusal_proves_nothing_if_the_connection_had_the_id) {
  SendEvidence evidence{CallResult::kComplete, true, RequestId("x"), true,
                        true};
  BOOST_CHECK(EffectOf(evidence, RequestId("x")) == kRefused);
  evidence.has_own_id = false;
  BOOST_CHECK(EffectOf(evidence, RequestId("x")) == kMayHaveRun);
}

BOOST_AUTO_TEST_CASE(only_a_complete_answer_with_the_id_is_a_refusal) {
  const SendEvidence other{CallResult::kComplete, true, RequestId("y"), true,
                           true};
  BOOST_CHECK(EffectOf(other, RequestId("x")) == kMayHaveRun);
  const SendEvidence cut{CallResult::kBroken, true, RequestId("x"), true, true};
  BOOST_CHECK(EffectOf(cut, RequestId("x")) == kMayHaveRun);
}

BOOST_AUTO_TEST_CASE(what_was_not_sent_has_reached_nothing) {
  for (const CallResult end :
       {CallResult::kNotSent, CallResult::kBroken,
        CallResult::kMalformedResponse, CallResult::kComplete}) {
    const SendEvidence evidence{end, false, RequestId(), true, false};
    BOOST_CHECK(EffectOf(evidence, RequestId("x")) == SendEffect::kNotReached);
  }
}

BOOST_AUTO_TEST_CASE(a_connection_carries_as_many_ids_as_it_remembers) {
  Connection connection;
  std::string id = "x";
  for (std::size_t i = 0; i < net::ExchangeHistory::kMaxIds; ++i) {
    BOOST_TEST(connection.MayCarry(id.c_str()));
    connection.Exchange(id.c_str(), Refusal(id.c_str()));
    id += "x";
  }
  BOOST_TEST(!connection.MayCarry("x"));
  BOOST_TEST(!connection.MayCarry("new"));
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_unknown_request_is_skipped_on_demand) {
  for (const bool skips : {false, true}) {
    Connection connection;
    connection.skips_unknown = skips;
    connection.Exchange("x", Refusal("z") + Success("x"));
    BOOST_TEST(connection.is_answered_with("x") == skips);
  }
}

BOOST_AUTO_TEST_CASE(copies_without_end_are_no_answer) {
  const std::size_t most = net::ResponseReader::kMaxExtraResponses;
  for (const std::size_t copies : {most, most + 1}) {
    Connection connection;
    Carry(connection, "y refused");
    std::string received;
    for (std::size_t i = 0; i < copies; ++i)
      received += Refusal("y");
    connection.Exchange("x", received + Success("x"));
    BOOST_TEST(connection.is_answered_with("x") == (copies == most));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
