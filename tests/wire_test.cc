#include <boost/test/unit_test.hpp>

#include <thread>

#include "answer_function.h"
#include "support/small_site.h"

namespace {

using endivecart::http::CallReply;
using tests::SmallSite;

std::string Prompt(const std::string& prompt, const std::string& more = "") {
  return R"({"model":"quill","prompt":")" + prompt + "\"" + more + "}";
}

std::string RunHeader(const CallReply& reply) {
  const auto it = reply.headers.find("Endivecart-Run");
  return it == reply.headers.end() ? "" : it->second;
}

std::size_t CountLines(const std::vector<std::string>& journal,
                       const std::string& key) {
  return static_cast<std::size_t>(
      std::count_if(journal.begin(), journal.end(), [&](const auto& line) {
        return line.find(" " + key + " ") != std::string::npos;
      }));
}

struct SiteFixture {
  SmallSite site;
};

BOOST_FIXTURE_TEST_SUITE(callers_api,
                         SiteFixture,
                         *boost::unit_test::label("wire"))

BOOST_AUTO_TEST_CASE(each_malformed_request_gets_one_clear_error) {
  struct Case {
    const char* method;
    const char* path;
    std::string body;
    int status;
    const char* message;
  };
  const Case cases[] = {
      {"POST", "/v1/completions", "", 400, "not valid JSON"},
      {"POST", "/v1/completions", "[]", 400, "must be a JSON object"},
      {"POST", "/v1/completions", "{\"model\":", 400, "not valid JSON"},
      {"POST", "/v1/completions", "{}", 400, "model: is missing"},
      {"POST", "/v1/completions", R"({"model":7,"prompt":"x"})", 400,
       "model: must be a string"},
      {"POST", "/v1/completions", R"({"model":"quill"})", 400,
       "prompt: is missing"},
      {"POST", "/v1/completions", Prompt(""), 400, "prompt: must not be empty"},
      {"POST", "/v1/completions", Prompt("x", ",\"max_tokens\":0"), 400,
       "max_tokens: must be from 1"},
      {"POST", "/v1/completions", Prompt("x", ",\"max_tokens\":\"9\""), 400,
       "max_tokens: must be from 1"},
      {"POST", "/v1/completions", Prompt("x", ",\"stream\":1"), 400,
       "stream: must be true or false"},
      {"POST", "/v1/completions", R"({"model":"none","prompt":"x"})", 404,
       "no model of this name"},
      {"POST", "/v1/chat/completions", R"({"model":"quill","messages":[]})",
       400, "messages: must be a list"},
      {"POST", "/v1/chat/completions",
       R"({"model":"quill","messages":[{"role":"user"}]})", 400,
       "messages.0.content: is missing"},
      {"POST", "/v1/completions", std::string(2 << 20, ' '), 413,
       "body too large"},
      {"GET", "/v1/completions", "", 405, "this path takes POST"},
      {"GET", "/v2/other", "", 404, "no such path"},
      {"POST", "/services/none/x", "", 404, "no service of this name"},
      {"POST", "/services/orders/x", "", 400, "need an Idempotency-Key"},
  };
  for (const Case& test : cases) {
    const CallReply reply =
        site.CallAsCustomer(test.method, test.path, test.body);
    BOOST_TEST(reply.status == test.status,
               test.message << ": " << reply.status << " " << reply.body);
    BOOST_TEST(reply.body.find(test.message) != std::string::npos,
               test.message << " not in " << reply.body);
    BOOST_TEST(RunHeader(reply) == "not-run");
  }
  BOOST_TEST(site.Call("GET", "/v1/models", "", {}).status == 401);
  BOOST_TEST(site.CallAsCustomer("GET", "/v1/models", "",
                                 {{"Endivecart-Class", "other"}})
                 .status == 403);
  BOOST_TEST(site.CallAsCustomer("GET", "/v1/models", "").status == 200);
}

BOOST_AUTO_TEST_CASE(raw_garbage_does_not_stop_the_host) {
  for (const std::string& bytes :
       {std::string("garbage\r\n\r\n"), std::string("\0\xff\x01", 3),
        std::string("GET / HTTP/9.9\r\n\r\n"), std::string(100000, 'A'),
        "GET /v1/models HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n",
        std::string("POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n"
                    "\r\n"),
        std::string("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                    "Content-Length: 100\r\n\r\ncut")}) {
    site.SendRaw(bytes);
  }
  BOOST_TEST(site.CallAsCustomer("GET", "/v1/models", "").status == 200);
}

BOOST_AUTO_TEST_CASE(answers_are_complete_with_and_without_streaming) {
  const CallReply plain =
      site.CallAsCustomer("POST", "/v1/completions", Prompt("hello"));
  BOOST_TEST(plain.status == 200);
  BOOST_TEST(plain.body.find(standins::FullAnswer("hello", 16)) !=
             std::string::npos);
  BOOST_TEST(RunHeader(plain) == "ran");
  const CallReply streamed = site.CallAsCustomer(
      "POST", "/v1/completions", Prompt("hello", ",\"stream\":true"));
  BOOST_TEST(streamed.body.find("data: [DONE]") != std::string::npos);
  const CallReply chat = site.CallAsCustomer(
      "POST", "/v1/chat/completions",
      R"({"model":"quill","messages":[{"role":"user","content":"hi"}]})");
  BOOST_TEST(chat.body.find("chat.completion") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(
    a_cut_stream_is_resumed_and_an_answer_to_another_request_is_withheld) {
  site.ControlUpstream(R"({"fault":"cut","value":3})");
  const CallReply resumed = site.CallAsCustomer(
      "POST", "/v1/completions", Prompt("resume me", ",\"max_tokens\":8"));
  BOOST_TEST(resumed.status == 200);
  BOOST_TEST(resumed.body.find(standins::FullAnswer("resume me", 8)) !=
             std::string::npos);
  site.ControlUpstream(R"({"clear_faults":true})");
  site.CallAsCustomer("POST", "/v1/completions", Prompt("one"));
  site.ControlUpstream(R"({"fault":"crossed","value":1})");
  const CallReply crossed =
      site.CallAsCustomer("POST", "/v1/completions", Prompt("two"));
  BOOST_TEST(crossed.status >= 500);
  BOOST_TEST(RunHeader(crossed) == "unknown");
  for (const char* prompt : {"one", "two"}) {
    const std::string token =
        standins::AnswerToken(standins::PromptDigest(prompt), 0);
    BOOST_TEST(crossed.body.find(token) == std::string::npos, prompt);
  }
}

BOOST_AUTO_TEST_CASE(
    a_non_idempotent_call_runs_once_and_an_unknown_outcome_is_reported) {
  const endivecart::http::Headers key = {{"Idempotency-Key", "k1"}};
  const auto call = [&](const std::string& body,
                        const endivecart::http::Headers& headers) {
    return site.CallAsCustomer("POST", "/services/orders/stamp", body, headers);
  };
  const CallReply first = call("a", key);
  const CallReply again = call("a", key);
  BOOST_TEST(first.status == 200);
  BOOST_TEST(again.body == first.body);
  BOOST_TEST(call("b", key).status == 422);
  BOOST_TEST(CountLines(site.Journal(), "k1") == 1U);
  site.ControlService(R"({"fault":"fail_after","value":1})");
  const endivecart::http::Headers lost = {{"Idempotency-Key", "k2"}};
  const CallReply unknown = call("a", lost);
  BOOST_TEST(unknown.status == 504);
  BOOST_TEST(RunHeader(unknown) == "unknown");
  site.ControlService(R"({"clear_faults":true})");
  BOOST_TEST(call("a", lost).status == 409);
  BOOST_TEST(CountLines(site.Journal(), "k2") == 1U);
}

BOOST_AUTO_TEST_CASE(a_domain_taken_out_gets_no_requests) {
  const auto before = endivecart::InvariantMonitor::Get().TotalViolations();
  const CallReply out =
      site.CallOperatorApi("POST", "/v1/config",
                           R"({"change_id":"c1","patch":{"domains":{"a":"out"},
          "classes":{"quote":{"deadline_ms":300}}}})");
  BOOST_TEST(out.status == 200);
  const CallReply refused =
      site.CallAsCustomer("POST", "/v1/completions", Prompt("x"));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(RunHeader(refused) == "not-run");
  // A change id sent again gets the first answer, whatever its patch.
  BOOST_TEST(site.CallOperatorApi("POST", "/v1/config",
                                  R"({"change_id":"c1","patch":{"x":1}})")
                 .body == out.body);
  const CallReply conflict =
      site.CallOperatorApi("POST", "/v1/config",
                           R"({"change_id":"c2","expected_revision":1,
          "patch":{"domains":{"a":"in"}}})");
  BOOST_TEST(conflict.status == 409);
  BOOST_TEST(conflict.body.find("\"c1\"") != std::string::npos);
  site.CallOperatorApi("POST", "/v1/config",
                       R"({"change_id":"c3","patch":{"domains":{"a":"in"},
                   "classes":{"quote":{"deadline_ms":10000}}}})");
  BOOST_TEST(
      site.CallAsCustomer("POST", "/v1/completions", Prompt("x")).status ==
      200);
  BOOST_TEST(endivecart::InvariantMonitor::Get().TotalViolations() == before);
}

BOOST_AUTO_TEST_CASE(a_graceful_stop_completes_running_requests) {
  site.ControlUpstream(R"({"fault":"late_ms","value":40})");
  CallReply reply;
  std::thread caller([&] {
    reply = site.CallAsCustomer("POST", "/v1/completions",
                                Prompt("slow", ",\"max_tokens\":60"));
  });
  while (site.Log().find("routing.decision") == std::string::npos)
    std::this_thread::yield();
  const bool clean = site.host().StopGracefully();
  caller.join();
  BOOST_TEST(clean);
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(reply.body.find(standins::FullAnswer("slow", 60)) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(no_prompt_answer_or_key_is_ever_logged) {
  const std::string secret = "secretpromptword";
  const CallReply reply =
      site.CallAsCustomer("POST", "/v1/completions", Prompt(secret));
  site.CallAsCustomer("POST", "/services/orders/x", "secretbodyword",
                      {{"Idempotency-Key", "secretidempotencyword"}});
  const std::string log = site.Log();
  BOOST_TEST(log.find("event=routing.decision") != std::string::npos);
  BOOST_TEST(log.find("customer=hail") != std::string::npos);
  BOOST_TEST(log.find("predicted_ms=") != std::string::npos);
  for (const std::string& word :
       {secret, std::string("secretbodyword"),
        std::string("secretidempotencyword"), std::string(SmallSite::kKey),
        std::string(SmallSite::kOperatorToken),
        standins::AnswerToken(standins::PromptDigest(secret), 0).substr(1)}) {
    BOOST_TEST(log.find(word) == std::string::npos, word);
  }
}

BOOST_AUTO_TEST_CASE(metrics_count_invariants_and_requests) {
  site.CallAsCustomer("POST", "/v1/completions", Prompt("x"));
  const std::string text = site.Call("GET", "/metrics", "", {}).body;
  for (const char* name :
       {"endivecart_invariant_violations_total{name=\"at_most_once\"}",
        "endivecart_first_token_ms_bucket{class=\"quote\",le=",
        "endivecart_attempts_total{end=\"complete\"}"}) {
    BOOST_TEST(text.find(name) != std::string::npos, name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
