#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "support/gateway_fleet.h"

// Guards against DRAIN: hosts went on sending to an upstream whose answers said
// that it leaves, until it ended with requests in work.

namespace endivecart::gateway {
namespace {

using tests::GatewayFleet;
using tests::RawProxy;
using tests::RawUpstream;
using tests::Reply;

enum class Form { kAnswer, kError, kRefusal, kStream };

std::ostream& operator<<(std::ostream& out, Form form) {
  return out << static_cast<int>(form);
}

// Three hosts, and four upstreams of which the first says that it leaves.
struct LeavingFleet : GatewayFleet {
  static constexpr int kHosts = 3;

  LeavingFleet() : GatewayFleet(kHosts, 0, true) {}

  void Start(const std::string& service, Form form) {
    for (int i = 0; i < 4; ++i)
      StartUpstream("v1", service);
    RunFor(Millis(300));
    on_request = [this, form](Upstream& upstream,
                              RawUpstream::Connection& connection,
                              const std::string& request) {
      if (&upstream != &Leaver() || !says_leaving) {
        form == Form::kStream ? Answer(connection, request)
                              : AnswerPlain(connection, request);
        return;
      }
      const std::string fields =
          "Leaving: 1\r\nId: " + Field(request, "Id") + "\r\n";
      switch (form) {
        case Form::kAnswer:
          Reply(connection, "HTTP/1.1 200 OK\r\nSigned: s\r\n" + fields +
                                "Content-Length: 2\r\n\r\nok");
          break;
        case Form::kError:
          Reply(connection, "HTTP/1.1 500 Error\r\n" + fields +
                                "Content-Length: 0\r\n\r\n");
          break;
        case Form::kRefusal:
          Reply(connection, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + fields +
                                "Content-Length: 0\r\n\r\n");
          break;
        case Form::kStream:
          Answer(connection, request, "Leaving: 1\r\n");
          break;
      }
    };
  }
  bool says_leaving = true;
  Upstream& Leaver() { return *upstreams.front(); }
  bool IsReadyAt(std::size_t host) {
    return gateway(host).upstreams().Find(Leaver().id)->last.state ==
           upstreams::UpstreamState::kReady;
  }
  // Tells a host that the leaver has started again, as it announced at
  // `announced_at`.
  void AnnounceRestart(std::size_t host, TimePoint announced_at) {
    auto announcement = gateway(host).upstreams().Find(Leaver().id)->last;
    ++announcement.start_time_ms;
    announcement.state = upstreams::UpstreamState::kReady;
    announcement.is_leaving = false;
    gateway(host).upstreams().Apply(announcement, announced_at);
  }
  // Sends requests to a host until the leaver has answered one.
  void SendUntilTold(int host, Form form) {
    for (int i = 0; i < 200 && Leaver().requests.empty(); ++i) {
      Send(host, form);
      RunFor(Millis(5));
    }
    BOOST_REQUIRE(!Leaver().requests.empty());
  }
  void Send(int host, Form form) {
    if (form == Form::kStream) {
      SendPrompt(host, "p" + std::to_string(sent_++));
    } else {
      SendPlain(host, "/plain/" + std::to_string(host));
    }
  }

 private:
  int sent_ = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_leaving_upstreams,
                         LeavingFleet,
                         *boost::unit_test::label("gateway"))

BOOST_DATA_TEST_CASE_F(
    LeavingFleet,
    an_upstream_that_says_it_leaves_gets_nothing_more_from_that_host,
    boost::unit_test::data::make({Form::kAnswer, Form::kError, Form::kRefusal,
                                  Form::kStream}),
    form) {
  shares_leaving = false;
  Start(form == Form::kStream ? "s" : "plain", form);
  SendUntilTold(0, form);
  RunFor(Millis(200));
  const std::size_t before = Leaver().requests.size();
  for (int i = 0; i < 100; ++i) {
    Send(0, form);
    RunFor(Millis(5));
  }
  BOOST_TEST(Leaver().requests.size() == before);
  BOOST_TEST(IsReadyAt(1));
}

BOOST_AUTO_TEST_CASE(other_hosts_learn_that_an_upstream_leaves) {
  Start("plain", Form::kAnswer);
  SendUntilTold(0, Form::kAnswer);
  RunFor(Millis(1500));
  for (std::size_t host = 0; host < kHosts; ++host)
    BOOST_TEST(!IsReadyAt(host));
  const std::size_t before = Leaver().requests.size();
  for (int i = 0; i < 100; ++i) {
    Send(i % kHosts, Form::kAnswer);
    RunFor(Millis(5));
  }
  BOOST_TEST(Leaver().requests.size() == before);
}

BOOST_AUTO_TEST_CASE(a_host_learns_it_from_an_answer_that_another_passes_on) {
  shares_leaving = false;
  says_leaving = false;
  Start("plain", Form::kAnswer);
  CutLinks(0, RawProxy::Cut::kRefuseNew);
  for (int i = 0; i < 100; ++i) {
    // The other hosts have to have answers themselves.
    SendPlain(i % kHosts, "/plain/" + std::to_string(i % kHosts));
    RunFor(Millis(20));
  }
  BOOST_TEST(IsReadyAt(0));
  says_leaving = true;
  for (int i = 0; i < 200 && IsReadyAt(0); ++i) {
    SendPlain(0, "/plain/0");
    RunFor(Millis(5));
  }
  BOOST_TEST(!IsReadyAt(0));
}

// Guards against DRAIN: a host forgot what a relayed answer said of an
// incarnation that its list didn't name yet, and sent to it once the list did.
BOOST_AUTO_TEST_CASE(an_incarnation_leaves_that_the_host_learns_of_only_later) {
  shares_leaving = false;
  says_leaving = false;
  Start("plain", Form::kAnswer);
  CutLinks(0, RawProxy::Cut::kRefuseNew);
  for (int i = 0; i < 100; ++i) {
    // The other hosts have to have answers themselves.
    SendPlain(i % kHosts, "/plain/" + std::to_string(i % kHosts));
    RunFor(Millis(20));
  }
  AnnounceRestart(1, loop.Now());
  AnnounceRestart(2, loop.Now());
  says_leaving = true;
  Leaver().requests.clear();
  SendUntilTold(0, Form::kAnswer);
  RunFor(Millis(200));
  AnnounceRestart(0, loop.Now());
  BOOST_TEST(!IsReadyAt(0));
}

// Guards against DRAIN: an upstream said that it leaves after it had started
// again under its id; the host, which learned of the start only later, took it
// for one that had started since.
BOOST_AUTO_TEST_CASE(an_upstream_leaves_whose_start_the_host_had_not_heard_of) {
  shares_leaving = false;
  Start("plain", Form::kAnswer);
  const TimePoint restarted_at = loop.Now();
  RunFor(Millis(200));
  SendUntilTold(0, Form::kAnswer);
  RunFor(Millis(200));
  AnnounceRestart(0, restarted_at);
  BOOST_TEST(!IsReadyAt(0));
  AnnounceRestart(0, loop.Now());
  BOOST_TEST(IsReadyAt(0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::gateway
