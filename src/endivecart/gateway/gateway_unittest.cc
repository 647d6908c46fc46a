#include <boost/test/unit_test.hpp>

#include "support/gateway_fixture.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFixture;
using tests::RawCaller;
using tests::RawUpstream;
using tests::Reply;

BOOST_FIXTURE_TEST_SUITE(gateway_requests,
                         GatewayFixture,
                         *boost::unit_test::label("gateway"))

BOOST_AUTO_TEST_CASE(a_complete_answer_is_forwarded_unchanged) {
  answer = [](auto& connection, auto) {
    Reply(connection, CompleteAnswer("1", "yes"));
  };
  const std::string received = Send("/once/");
  BOOST_TEST(HasStatus(received, 200));
  BOOST_TEST(received.find("Signed: s") != std::string::npos);
  BOOST_TEST(received.ends_with("\r\n\r\nyes"));
}

BOOST_AUTO_TEST_CASE(routes_and_keys_are_checked_first) {
  answer = [](auto& connection, auto) {
    Reply(connection, CompleteAnswer("1", "yes"));
  };
  BOOST_TEST(HasStatus(Send("/none/"), 404));
  BOOST_TEST(HasStatus(Send("/once/", "1", "Key: other\r\n"), 401));
  BOOST_TEST(HasStatus(Send("/once/", "1", ""), 401));
  BOOST_TEST(requests.empty());
}

// Guards against requests on a route that was added, or with a key that was,
// that are refused for good by a host that has not got that configuration yet.
BOOST_AUTO_TEST_CASE(
    a_host_that_lacks_a_newer_configuration_refuses_no_route_for_good) {
  const HostId control("10.0.0.9");
  fleet::FleetFollowerOptions options;
  options.serves_callers = true;
  options.contacts = {control};
  fleet::FleetFollower::Hooks hooks;
  hooks.send = [](const HostId&, const wire::Envelope&) {};
  hooks.on_control_hosts = [](const std::vector<HostId>&) {};
  hooks.on_decisions = [](const fleet::DecisionsPtr&) {};
  hooks.local_loads = [] { return std::vector<fleet::LocalLoad>(); };
  hooks.move_reports = [] { return std::vector<wire::ServiceMoveReport>(); };
  hooks.now = [this] { return loop.Now(); };
  fleet::FleetFollower follower(options, std::move(hooks));
  follower.Tick();
  gateway.SetFollower(&follower);
  BOOST_TEST(HasStatus(Send("/none/"), 404));
  wire::FleetUpdate update;
  update.mutable_decisions()->set_index(5);
  update.mutable_decisions()->set_routing_version(5);
  update.mutable_decisions()->set_routing_omitted(true);
  follower.OnUpdate(control, update);
  const std::string received = Send("/none/");
  BOOST_TEST(HasStatus(received, 503));
  BOOST_TEST(received.find("Retry: ") != std::string::npos);
  BOOST_TEST(HasStatus(Send("/once/", "1", "Key: other\r\n"), 503));
  update.mutable_decisions()->set_routing_omitted(false);
  update.mutable_decisions()->set_routing_document("{}");
  follower.OnUpdate(control, update);
  BOOST_TEST(HasStatus(Send("/none/"), 404));
  gateway.SetFollower(nullptr);
}

BOOST_AUTO_TEST_CASE(
    a_non_idempotent_request_is_not_retried_after_a_lost_answer) {
  answer = [](auto& connection, auto) { connection.socket.close(); };
  const std::string received = Send("/once/");
  BOOST_TEST(HasStatus(received, 502));  // no guarantee that it was not run
  BOOST_TEST(requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(
    a_request_that_an_upstream_did_not_run_is_sent_to_another) {
  answer = [](auto& connection, std::size_t number) {
    Reply(connection, number == 1 ? "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: 1"
                                    "\r\nContent-Length: 0\r\n\r\n"
                                  : CompleteAnswer("1", "yes"));
  };
  BOOST_TEST(HasStatus(Send("/once/"), 200));
  BOOST_TEST(requests.size() == 2u);
  BOOST_TEST(requests[0].find("Upstream: u0") !=
             requests[1].find("Upstream: u0"));
}

BOOST_AUTO_TEST_CASE(a_request_that_no_upstream_ran_gets_503_and_a_retry_time) {
  answer = [](auto& connection, auto) {
    Reply(connection,
          "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: 1\r\n"
          "Content-Length: 0\r\n\r\n");
  };
  const std::string received = Send("/once/");
  BOOST_TEST(HasStatus(received, 503));
  BOOST_TEST(received.find("Retry:") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_503_without_a_not_run_statement_is_not_forwarded) {
  answer = [](auto& connection, auto) {
    Reply(connection,
          "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
  };
  BOOST_TEST(HasStatus(Send("/once/"), 502));
  BOOST_TEST(requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_retried) {
  answer = [](auto& connection, std::size_t number) {
    if (number == 1) {
      connection.socket.close();
    } else {
      Reply(connection, CompleteAnswer("1", "yes"));
    }
  };
  BOOST_TEST(HasStatus(Send("/safe/"), 200));
  BOOST_TEST(requests.size() == 2u);
}

// Guards against a retry whose body was given away to the first send.
BOOST_AUTO_TEST_CASE(a_retry_sends_the_same_body) {
  answer = [](auto& connection, std::size_t number) {
    if (number == 1) {
      connection.socket.close();
    } else {
      Reply(connection, CompleteAnswer("1", "yes"));
    }
  };
  RawCaller caller(loop, server->port());
  caller.Write(
      "POST /safe/ HTTP/1.1\r\nHost: a\r\nId: 1\r\nKey: k\r\n"
      "Content-Length: 8\r\n\r\nbody\r\n\r\n");
  RunUntil([&] { return !caller.received().empty(); });
  BOOST_TEST(HasStatus(caller.received(), 200));
  BOOST_REQUIRE(requests.size() == 2u);
  for (const std::string& request : requests)
    BOOST_TEST(request.ends_with("Content-Length: 8\r\n\r\nbody\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_request_does_not_exceed_the_attempts_of_its_route) {
  answer = [](auto& connection, auto) {
    Reply(connection,
          "HTTP/1.1 500 Oh\r\nSigned: s\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
  };
  BOOST_TEST(HasStatus(Send("/safe/"), 500));
  BOOST_TEST(requests.size() == 2u);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_not_forwarded) {
  answer = [](auto& connection, auto) {
    Reply(connection, CompleteAnswer("other", "secret"));
  };
  // Its own answer may follow until its time limit.
  const std::string received = Send("/once/");
  BOOST_TEST(HasStatus(received, 504));
  BOOST_TEST(received.find("secret") == std::string::npos);
  BOOST_TEST(requests.size() == 1u);
  // Another upstream may answer this one sooner.
  BOOST_TEST(HasStatus(Send("/safe/"), 502));
  BOOST_TEST(requests.size() == 3u);
}

BOOST_AUTO_TEST_CASE(a_success_status_without_signature_is_not_forwarded) {
  answer = [](auto& connection, auto) {
    Reply(connection,
          "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno");
  };
  BOOST_TEST(HasStatus(Send("/once/"), 502));
}

BOOST_AUTO_TEST_CASE(a_draining_upstream_gets_no_new_requests) {
  answer = [](auto& connection, auto) {
    Reply(connection, CompleteAnswer("1", "yes"));
  };
  Announce(0, upstreams::UpstreamState::kDraining, 2);
  for (int i = 0; i < 6; ++i)
    BOOST_TEST(HasStatus(Send("/safe/"), 200));
  for (const std::string& request : requests)
    BOOST_TEST(request.find("Upstream: u1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_domain_taken_out_gets_no_requests) {
  fleet::Decisions decisions;
  decisions.domains[DomainId("a")] = {true, 1};
  ApplyDecisions(decisions);
  const std::string received = Send("/safe/");
  BOOST_TEST(HasStatus(received, 503));
  BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(a_request_limited_to_a_region_runs_in_no_other) {
  answer = [](auto& connection, auto) {
    Reply(connection, CompleteAnswer("1", "yes"));
  };
  BOOST_TEST(HasStatus(Send("/south/"), 503));
  BOOST_TEST(requests.empty());
  Announce(1, upstreams::UpstreamState::kReady, 2, "c");
  BOOST_TEST(HasStatus(Send("/south/"), 200));
  BOOST_TEST(requests.at(0).find("Upstream: u1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(another_region_is_used_only_if_the_own_one_cannot_serve) {
  answer = [](auto& connection, auto) {
    Reply(connection, CompleteAnswer("1", "yes"));
  };
  Announce(1, upstreams::UpstreamState::kReady, 2, "c");
  for (int i = 0; i < 6; ++i)
    Send("/safe/");
  for (const std::string& request : requests)
    BOOST_TEST(request.find("Upstream: u0") != std::string::npos);
  requests.clear();
  Announce(0, upstreams::UpstreamState::kDraining, 3);
  BOOST_TEST(HasStatus(Send("/safe/"), 200));
  BOOST_TEST(requests.at(0).find("Upstream: u1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(cache_of_an_unknown_weights_version_is_not_shared) {
  answer = [&](auto& connection, std::size_t number) {
    Reply(connection, CompleteAnswer(std::to_string(number), "yes"));
  };
  Send("/safe/", "1", "Key: k\r\nModel: m\r\n");
  Send("/safe/", "2", "Key: k\r\nModel: m\r\n");
  BOOST_REQUIRE(requests.size() == 2u);
  BOOST_TEST(requests[0].find("Label: 1\r\n") != std::string::npos);
  BOOST_TEST(requests[1].find("Label: 2\r\n") != std::string::npos);
}

// Guards against prompts on replaced weights at a host that has just started
// (issue 45).
BOOST_AUTO_TEST_CASE(the_grace_for_old_weights_does_not_begin_with_the_host) {
  answer = [](auto& connection, auto) {
    Reply(connection, CompleteAnswer("1", "yes"));
  };
  const std::string prompt = "Key: k\r\nModel: m\r\nTimeout: 60\r\n";
  fleet::Decisions decisions;
  decisions.weights[ModelId("m")] = 2;
  ApplyDecisions(decisions);
  BOOST_TEST(HasStatus(Send("/safe/", "1", prompt), 200));
  wire::FleetUpdate update;
  auto& record = *update.add_weights_ages();
  record.set_model("m");
  record.set_version(2);
  record.set_age_ms(20000);
  gateway.weights_ages().Merge(update, gateway.Now());
  ApplyDecisions(decisions);
  BOOST_TEST(!HasStatus(Send("/safe/", "1", prompt), 200));
  BOOST_TEST(requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_request_is_answered_at_its_time_limit) {
  answer = [](auto&, auto) {};
  const std::string received = Send("/once/", "1", "Key: k\r\nTimeout: 60\r\n");
  BOOST_TEST(HasStatus(received, 504));
}

// Guards against callers without an answer when a host is stopped while its
// upstreams are cut off and do not respond.
BOOST_AUTO_TEST_CASE(requests_are_answered_before_the_host_stops) {
  answer = [](auto&, auto) {};
  RawCaller caller(loop, server->port());
  caller.Write(
      "GET /once/ HTTP/1.1\r\nHost: a\r\nId: 1\r\nKey: k\r\n"
      "Connection: close\r\n\r\n");
  RunUntil([&] { return requests.size() == 1; });
  gateway.AnswerAll();
  RunUntil([&] { return caller.ended(); });
  BOOST_TEST(HasStatus(caller.received(), 504));  // it may have run
  BOOST_TEST(gateway.active() == 0u);
}

BOOST_AUTO_TEST_CASE(the_call_is_cancelled_when_the_caller_disconnects) {
  RawUpstream::Connection* work = nullptr;
  answer = [&](auto& connection, auto) { work = &connection; };
  RawCaller caller(loop, server->port());
  caller.Write("GET /once/ HTTP/1.1\r\nHost: a\r\nId: 1\r\nKey: k\r\n\r\n");
  RunUntil([&] { return work != nullptr; });
  caller.Close();
  RunUntil([&] { return work->ended; });
  BOOST_TEST(work->ended);
  BOOST_TEST(gateway.active() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_upstream_book,
                      *boost::unit_test::label("gateway"))

// Two domains of three upstreams each, with a clock that the test sets.
struct TwoDomainTracker {
  TwoDomainTracker() {
    for (const char* domain : {"a", "b"}) {
      for (int i = 0; i < 3; ++i) {
        upstreams::Announcement announcement;
        announcement.id = UpstreamId(domain + std::to_string(i));
        announcement.start_time_ms = 1;
        announcement.sequence = 1;
        announcement.service = routes::ServiceId("s");
        announcement.address = {
            "10.0.0.1",
            static_cast<std::uint16_t>(announcement.id.str()[0] * 10 + i)};
        announcement.domain = DomainId(domain);
        tracker.Apply(announcement, now);
      }
    }
  }
  void FailToConnect(const char* id) {
    tracker.StartWork(UpstreamId(id), 0, 0);
    tracker.EndWork(UpstreamId(id), {SendResult::kUnreachable, 1}, 0);
  }
  int CountSuspect(const char* domain) {
    UpstreamTracker::Query query;
    query.service = routes::ServiceId("s");
    int count = 0;
    for (const Candidate& candidate :
         tracker.Candidates(query, nullptr, nullptr))
      count += candidate.domain == DomainId(domain) && candidate.is_suspect;
    return count;
  }

  TimePoint now = TimePoint(Millis(1000000));
  UpstreamTracker tracker{DomainId("a"), [this] { return now; }};
};

BOOST_FIXTURE_TEST_CASE(several_unreachable_upstreams_make_their_domain_suspect,
                        TwoDomainTracker) {
  FailToConnect("b0");
  BOOST_TEST(CountSuspect("b") == 0);
  FailToConnect("b1");
  BOOST_TEST(CountSuspect("b") == 1);  // the other two are not candidates
  BOOST_TEST(CountSuspect("a") == 0);
  now += Millis(1000);
  BOOST_TEST(CountSuspect("b") == 0);  // may be tried again
  FailToConnect("b2");
  now += Millis(300);
  tracker.RecordActivity(UpstreamId("b0"));
  BOOST_TEST(CountSuspect("b") == 0);
}

// Guards callers of a host that reaches some upstreams against being taken to
// be cut off, because the others were probed.
BOOST_FIXTURE_TEST_CASE(the_upstream_that_sent_data_last_is_probed,
                        TwoDomainTracker) {
  const routes::ServiceId service("s");
  for (const char* id : {"b1", "a2"}) {
    now += Millis(10);
    tracker.RecordActivity(UpstreamId(id));
    const settings::Endpoint address =
        tracker.Find(UpstreamId(id))->last.address;
    for (std::uint64_t random = 0; random < 20; ++random) {
      const auto targets = tracker.ProbeTargets(service, 3, random);
      BOOST_TEST(targets.size() == 3u);
      BOOST_TEST(std::count(targets.begin(), targets.end(), address) == 1);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(
    an_unreachable_upstream_alone_does_not_make_its_domain_suspect,
    TwoDomainTracker) {
  FailToConnect("b0");
  tracker.RecordActivity(UpstreamId("b2"));
  FailToConnect("b1");
  BOOST_TEST(CountSuspect("b") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(gateway_streams,
                         GatewayFixture,
                         *boost::unit_test::label("gateway"))

BOOST_AUTO_TEST_CASE(a_resumable_stream_continues_at_another_upstream) {
  answer = [](auto& connection, std::size_t number) {
    if (number == 1) {
      Reply(connection, StreamHead("1") + Chunk("id: 1\ndata: a\n\n") +
                            Chunk("id: 2\ndata: b\n\nid: 3\nda"));
      connection.socket.close();
    } else {
      Reply(connection,
            StreamHead("1") + Chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    }
  };
  const std::string received = Send("/resumable/");
  BOOST_TEST(requests.size() == 2u);
  BOOST_TEST(requests.at(1).find("Last-Event: 2") != std::string::npos);
  for (const char* event :
       {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}) {
    const auto at = received.find(event);
    BOOST_TEST(at != std::string::npos);
    BOOST_TEST(received.find(event, at + 1) == std::string::npos);
  }
  BOOST_TEST(received.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_stream_fails_over_from_a_silent_upstream) {
  // An upstream that failed before it sent this host any data.
  upstreams::Announcement dead =
      gateway.upstreams().Find(UpstreamId("u0"))->last;
  dead.id = UpstreamId("dead");
  dead.start_time_ms = 2;
  gateway.upstreams().Apply(
      dead, loop.Now() - UpstreamTracker::kSilenceTimeout - Millis(1000));
  Announce(1, upstreams::UpstreamState::kDraining, 2);
  answer = [](auto& connection, std::size_t number) {
    if (number == 2) {
      Reply(connection,
            StreamHead("1") + Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
    }
  };
  RawCaller caller(loop, server->port());
  caller.Write(
      "GET /resumable/ HTTP/1.1\r\nHost: a\r\nId: 1\r\nKey: k\r\n"
      "Connection: close\r\n\r\n");
  RunUntil([&] { return requests.size() == 1; });
  // Until now there was no other upstream to retry at.
  Announce(1, upstreams::UpstreamState::kReady, 3);
  gateway.Tick();
  RunUntil([&] { return caller.ended(); });
  BOOST_TEST(requests.size() == 2u);
  BOOST_TEST(caller.received().ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_stream_stays_at_an_upstream_that_is_not_silent) {
  answer = [](auto&, auto) {};
  RawCaller caller(loop, server->port());
  caller.Write(
      "GET /resumable/ HTTP/1.1\r\nHost: a\r\nId: 1\r\nKey: k\r\n\r\n");
  RunUntil([&] { return requests.size() == 1; });
  gateway.Tick();
  BOOST_TEST(gateway.active() == 1u);
  BOOST_TEST(requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_broken_stream_that_is_not_resumable_is_aborted) {
  answer = [](auto& connection, auto) {
    Reply(connection, StreamHead("1") + Chunk("id: 1\ndata: a\n\n"));
    connection.socket.close();
  };
  const std::string received = Send("/stream/");
  BOOST_TEST(requests.size() == 1u);
  BOOST_TEST(received.find("data: a") != std::string::npos);
  BOOST_TEST(!received.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(events_after_a_gap_are_not_forwarded) {
  answer = [](auto& connection, std::size_t number) {
    Reply(connection,
          number == 1
              ? StreamHead("1") + Chunk("id: 1\ndata: a\n\n") +
                    Chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n"
              : StreamHead("1") + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  };
  const std::string received = Send("/resumable/");
  BOOST_TEST(received.find("data: c") == std::string::npos);
  BOOST_TEST(received.find("data: b") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(comments_between_numbered_events_are_forwarded) {
  answer = [](auto& connection, auto) {
    Reply(connection, StreamHead("1") + Chunk("id: 1\ndata: a\n\n") +
                          Chunk(": still here\n\n") +
                          Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  };
  const std::string received = Send("/stream/");
  BOOST_TEST(received.find(": still here") != std::string::npos);
  BOOST_TEST(received.find("data: b") != std::string::npos);
  BOOST_TEST(received.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_stream_cut_inside_an_event_is_not_complete) {
  answer = [](auto& connection, auto) {
    Reply(connection,
          StreamHead("1") + Chunk("id: 1\ndata: a\n\nid: 2\nda") + "0\r\n\r\n");
  };
  const std::string received = Send("/stream/");
  BOOST_TEST(!received.ends_with("0\r\n\r\n"));
}

constexpr char kUnframedHead[] =
    "HTTP/1.1 200 OK\r\nSigned: s\r\nId: 1\r\nConnection: close\r\n\r\n";

BOOST_AUTO_TEST_CASE(a_stream_without_length_ends_with_its_connection) {
  answer = [](auto& connection, auto) {
    Reply(connection, kUnframedHead + std::string("id: 1\ndata: a\n\n"));
    connection.socket.close();
  };
  const std::string received = Send("/stream/");
  BOOST_TEST(received.find("data: a") != std::string::npos);
  BOOST_TEST(received.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_stream_without_length_cut_inside_an_event_is_broken) {
  answer = [](auto& connection, auto) {
    Reply(connection,
          kUnframedHead + std::string("id: 1\ndata: a\n\nid: 2\nda"));
    connection.socket.close();
  };
  const std::string received = Send("/stream/");
  BOOST_TEST(received.find("data: a") != std::string::npos);
  BOOST_TEST(received.find("id: 2") == std::string::npos);
  BOOST_TEST(!received.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_without_length_is_resumed_if_cut) {
  answer = [](auto& connection, std::size_t number) {
    Reply(connection,
          kUnframedHead + std::string(number == 1 ? "id: 1\ndata: a\n\nid: 2\n"
                                                  : "id: 2\ndata: b\n\n"));
    connection.socket.close();
  };
  const std::string received = Send("/resumable/");
  BOOST_TEST(received.find("data: b") != std::string::npos);
  BOOST_TEST(received.ends_with("0\r\n\r\n"));
  BOOST_REQUIRE(requests.size() == 2u);
  BOOST_TEST(requests[1].find("Last-Event: 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
