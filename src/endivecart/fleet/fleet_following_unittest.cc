#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "endivecart/fleet/fleet.h"

namespace endivecart::fleet {
namespace {

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

std::string Replace(std::uint64_t version, const std::string& document) {
  wire::FleetCommand command;
  command.mutable_replace_routing()->set_version(version);
  command.mutable_replace_routing()->set_document(document);
  return command.SerializeAsString();
}

// A voter's feed and a follower, joined by a connection that tests can cut.
struct FeedAndFollower {
  FeedAndFollower()
      : feed(1, &roster, FeedHooks()), follower(Options(), FollowHooks()) {}

  static FleetFollowerOptions Options() {
    FleetFollowerOptions options;
    options.self = HostId("e");
    options.serves_callers = true;
    options.contacts = {HostId("v")};
    return options;
  }
  FleetFeed::Hooks FeedHooks() {
    return {[this](const HostId&, const wire::Envelope& envelope) {
              ++messages;
              const auto& decisions = envelope.fleet_news().decisions();
              document_bytes += decisions.routing_document().size() +
                                decisions.encoded_routing().length();
              if (!connected)
                return;
              wire::FleetUpdate update = envelope.fleet_news();
              if (damages_documents && decisions.has_encoded_routing()) {
                update.mutable_decisions()
                    ->mutable_encoded_routing()
                    ->mutable_frame()
                    ->back() ^= 1;
              }
              bases.push_back(decisions.encoded_routing().base_version());
              follower.OnUpdate(HostId("v"), update);
            },
            [this] { return now; },
            [] {
              return std::vector<HostId>{HostId("v"), HostId("w")};
            },
            [] { return HostId("v"); },
            [](const HostId&, const wire::ServiceMoveReport&) {},
            [this] { return quiesced; },
            [](const CachePosition&) {
              return std::optional<wire::CacheUpdate>();
            }};
  }
  FleetFollower::Hooks FollowHooks() {
    FleetFollower::Hooks hooks;
    hooks.send = [this](const HostId& to, const wire::Envelope& envelope) {
      if (envelope.has_routing_receipt()) {
        feed.OnReceipt(HostId("e"), envelope.routing_receipt());
        return;
      }
      polls += to == HostId("v") ? 1 : 0;
      if (connected && to == HostId("v"))
        feed.OnPoll(HostId("e"), envelope.fleet_poll());
    };
    hooks.on_control_hosts = [this](const std::vector<HostId>& hosts) {
      control_hosts = hosts;
    };
    hooks.on_decisions = [this](const DecisionsPtr& decisions) {
      seen.push_back(decisions->routing_version);
    };
    hooks.on_announcement = [this](const upstreams::Announcement& announcement,
                                   TimePoint at) {
      received.emplace_back(announcement, at);
    };
    hooks.on_heard = [this](const UpstreamId& id, TimePoint at) {
      heard[id.str()] = at;
      return !forgotten.contains(id.str());
    };
    hooks.local_loads = [] { return std::vector<LocalLoad>(); };
    hooks.move_reports = [] { return std::vector<wire::ServiceMoveReport>(); };
    hooks.now = [this] { return now; };
    return hooks;
  }
  void Advance(int millis) {
    now += Millis(millis);
    follower.Tick();
  }
  void Decide(std::uint64_t version, std::uint64_t index) {
    log.Apply(Replace(version, "document " + std::to_string(version)), index);
    feed.PushDecisions(log.decisions());
  }

  TimePoint now = At(0);
  bool connected = true;
  bool damages_documents = false;
  std::vector<std::uint64_t> bases;  // of the documents delivered; 0: none
  std::vector<UpstreamId> quiesced;
  int polls = 0;
  std::size_t document_bytes = 0;
  std::vector<HostId> control_hosts;
  std::vector<std::uint64_t> seen;
  std::vector<std::pair<upstreams::Announcement, TimePoint>> received;
  std::map<std::string, TimePoint> heard;
  std::set<std::string> forgotten;
  int messages = 0;
  DecisionLog log;
  upstreams::UpstreamRegistry roster;
  FleetFeed feed;
  FleetFollower follower;
};

BOOST_AUTO_TEST_SUITE(fleet_following, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(a_decision_is_pushed_to_followers_at_once,
                        FeedAndFollower) {
  Advance(10);
  Decide(5, 1);
  BOOST_TEST(seen == std::vector<std::uint64_t>{5},
             boost::test_tools::per_element());
  BOOST_TEST(follower.decisions()->routing_document == "document 5");
  BOOST_TEST(control_hosts.size() == 2u);
}

// Guards against followers that miss decisions because a busy control host
// takes longer than kFollowerTimeout to answer their polls.
BOOST_FIXTURE_TEST_CASE(a_follower_whose_polls_wait_still_gets_decisions,
                        FeedAndFollower) {
  Advance(10);
  for (int i = 0; i < 10; ++i) {
    now += FleetFeed::kFollowerTimeout / 2;
    feed.OnPollReceived(HostId("e"));
    feed.OnPollReceived(HostId("unknown"));
    feed.Expire();
  }
  Decide(5, 1);
  BOOST_TEST(seen == std::vector<std::uint64_t>{5},
             boost::test_tools::per_element());
  BOOST_TEST(messages == 2);  // the answer to the first poll, and the push
}

// Guards against overloaded links when all hosts start at once while the log is
// replayed: each replayed decision triggers a push and each poll an answer.
BOOST_FIXTURE_TEST_CASE(a_document_in_transit_is_not_sent_again,
                        FeedAndFollower) {
  Advance(10);
  connected = false;  // answers are delayed
  document_bytes = 0;
  wire::FleetPoll poll;
  poll.set_serves_callers(true);
  poll.set_wants_loads(true);
  Decide(5, 1);
  for (int i = 0; i < 50; ++i) {
    feed.OnPoll(HostId("f"), poll);
    log.Apply(Replace(5, "document 5"), 2 + static_cast<std::uint64_t>(i));
    feed.PushDecisions(log.decisions());
  }
  // One to the follower that polled before, one to this one.
  BOOST_TEST(document_bytes == 2 * std::string("document 5").size());
  now += RoutingTransfers::kConfirmTime;
  feed.OnPoll(HostId("f"), poll);
  BOOST_TEST(document_bytes == 3 * std::string("document 5").size());
}

// Guards against a configuration in force that no operator has sent.
BOOST_FIXTURE_TEST_CASE(a_document_that_cannot_be_decoded_is_sent_whole,
                        FeedAndFollower) {
  Advance(10);
  Decide(5, 1);
  damages_documents = true;
  Decide(6, 2);
  BOOST_TEST(follower.decisions()->routing_version == 5u);
  BOOST_TEST(follower.decisions()->index == 1u);
  BOOST_TEST(follower.decisions()->routing_document == "document 5");
  BOOST_TEST(follower.HasOutdatedRouting());
  damages_documents = false;
  bases.clear();
  Advance(600);
  Advance(600);
  BOOST_TEST(follower.decisions()->routing_document == "document 6");
  BOOST_TEST(!follower.HasOutdatedRouting());
  BOOST_TEST(std::count(bases.begin(), bases.end(), 5u) == 0);
  // A difference again, from the whole.
  Decide(7, 3);
  BOOST_TEST(bases.back() == 6u);
  BOOST_TEST(follower.decisions()->routing_document == "document 7");
}

BOOST_FIXTURE_TEST_CASE(
    other_control_hosts_send_a_document_only_if_it_is_overdue,
    FeedAndFollower) {
  Advance(10);
  Decide(5, 1);
  connected = false;
  document_bytes = 0;
  wire::FleetPoll poll;
  poll.set_serves_callers(true);
  feed.OnPoll(HostId("f"), poll);
  BOOST_TEST(document_bytes == 0u);
  now += FleetFeed::kSecondaryDocumentDelay;
  feed.OnPoll(HostId("f"), poll);
  BOOST_TEST(document_bytes > 0u);
}

// Guards against overloaded links when all hosts start at once: each document
// is sent over a slow link.
BOOST_AUTO_TEST_CASE(one_control_host_at_a_time_is_asked_for_the_document) {
  TimePoint now = At(0);
  std::vector<HostId> asked;
  FleetFollowerOptions options;
  options.self = HostId("e");
  options.serves_callers = true;
  options.contacts = {HostId("v"), HostId("w"), HostId("x")};
  FleetFollower::Hooks hooks;
  hooks.send = [&](const HostId& to, const wire::Envelope& envelope) {
    if (envelope.fleet_poll().wants_loads())
      asked.push_back(to);
  };
  hooks.on_control_hosts = [](const std::vector<HostId>&) {};
  hooks.local_loads = [] { return std::vector<LocalLoad>(); };
  hooks.move_reports = [] { return std::vector<wire::ServiceMoveReport>(); };
  hooks.now = [&] { return now; };
  FleetFollower follower(options, std::move(hooks));
  for (int i = 0; i < 3; ++i) {
    follower.Tick();
    now += Millis(300);
    BOOST_TEST(asked.size() == static_cast<std::size_t>(i) + 1);
  }
  // The first ones may be unreachable, so all are tried in turn.
  BOOST_TEST((std::set<HostId>(asked.begin(), asked.end()).size() == 3u));
}

BOOST_FIXTURE_TEST_CASE(a_host_is_not_polled_again_while_its_answer_is_pending,
                        FeedAndFollower) {
  Advance(10);
  Advance(300);
  connected = false;
  polls = 0;
  for (int i = 0; i < 15; ++i)
    Advance(50);
  BOOST_TEST(polls == 1);
  Advance(static_cast<int>(FleetFollower::kPollTimeout.count()));
  BOOST_TEST(polls == 2);
}

BOOST_FIXTURE_TEST_CASE(a_lost_push_is_recovered_by_the_next_poll,
                        FeedAndFollower) {
  Advance(10);
  Decide(5, 1);
  connected = false;
  Decide(6, 2);
  connected = true;
  BOOST_TEST(seen.size() == 1u);
  Advance(300);
  BOOST_TEST(follower.decisions()->routing_version == 6u);
}

BOOST_FIXTURE_TEST_CASE(a_follower_detects_that_it_lost_contact,
                        FeedAndFollower) {
  Advance(10);
  BOOST_TEST(follower.InContact());
  // A voter that just started doesn't know all processes that serve callers.
  BOOST_TEST(follower.Place().hosts == 0);
  Advance(3000);
  BOOST_TEST(follower.Place().hosts == 1);
  connected = false;
  Advance(2500);
  BOOST_TEST(!follower.InContact());
  BOOST_TEST(follower.Place().hosts == 0);
}

// With more control hosts than voters, upstreams may announce themselves to a
// spare. Announcements are lost if followers don't poll it.
BOOST_FIXTURE_TEST_CASE(spares_are_followed_like_voters, FeedAndFollower) {
  const HostId spare("x");
  wire::FleetPoll poll;
  poll.set_member("x@1");
  feed.OnPoll(spare, poll);
  Advance(300);
  BOOST_TEST((std::find(control_hosts.begin(), control_hosts.end(), spare) !=
              control_hosts.end()));
  // A spare that no longer polls is no longer listed and eventually removed.
  now += FleetFeed::kFollowerTimeout + Millis(1);
  feed.Expire();
  Advance(300);
  now += FleetFollower::kControlHostRetention;
  Advance(300);
  BOOST_TEST(control_hosts.size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(a_stale_remote_load_is_not_reported, FeedAndFollower) {
  Advance(10);
  wire::FleetPoll poll;
  poll.set_serves_callers(true);
  wire::UpstreamLoad& load = *poll.add_loads();
  load.set_upstream("u");
  load.set_requests(3);
  feed.OnPoll(HostId("f"), poll);
  Advance(300);
  BOOST_REQUIRE(follower.RemoteLoad(UpstreamId("u")) != nullptr);
  BOOST_TEST(follower.RemoteLoad(UpstreamId("u"))->requests() == 3u);
  // The last request ends, so the updates contain no more loads.
  poll.clear_loads();
  feed.OnPoll(HostId("f"), poll);
  Advance(300);
  Advance(static_cast<int>(FleetFollower::kContactTimeout.count()));
  BOOST_TEST(follower.RemoteLoad(UpstreamId("u")) == nullptr);
}

// Answers and pushes may be dropped while a link is full.
BOOST_FIXTURE_TEST_CASE(an_announcement_in_a_lost_push_is_asked_for_again,
                        FeedAndFollower) {
  Advance(10);
  upstreams::Announcement announcement;
  announcement.address = {"10.0.0.1", 80};
  announcement.sequence = 1;
  for (const char* id : {"u", "v"}) {
    announcement.id = UpstreamId(id);
    ++announcement.address.port;
    roster.Apply(announcement, now, now);
    feed.RequestPush();
    connected = announcement.id == UpstreamId("v");  // the first push is lost
    feed.PushIfRequested();
  }
  BOOST_TEST(received.size() == 1u);
  Advance(300);
  BOOST_TEST(std::any_of(received.begin(), received.end(), [](const auto& r) {
    return r.first.id == UpstreamId("u");
  }));
}

// Pattern: all upstreams start within a second; each is a change for each of
// hundreds of followers.
BOOST_FIXTURE_TEST_CASE(changes_between_two_flushes_are_pushed_together,
                        FeedAndFollower) {
  Advance(10);
  messages = 0;
  upstreams::Announcement announcement;
  announcement.sequence = 1;
  for (int i = 0; i < 200; ++i) {
    announcement.id = UpstreamId("u" + std::to_string(i));
    announcement.address = {"10.0.0." + std::to_string(i), 80};
    roster.Apply(announcement, now, now);
    feed.RequestPush();
  }
  feed.PushIfRequested();
  feed.PushIfRequested();
  BOOST_TEST(messages == 1);
  BOOST_TEST(received.size() == 200u);
}

// Pattern: hundreds of upstreams announce themselves each second, unchanged,
// and hundreds of hosts must know that they are alive.
BOOST_FIXTURE_TEST_CASE(an_unchanged_upstream_is_not_announced_again,
                        FeedAndFollower) {
  upstreams::Announcement announcement;
  announcement.id = UpstreamId("u");
  announcement.address = {"10.0.0.1", 80};
  TimePoint last_heard{};
  for (std::uint64_t second = 1; second <= 10; ++second) {
    announcement.sequence = second;
    roster.Apply(announcement, now, now);
    Advance(1000);
  }
  BOOST_TEST(received.size() == 1u);
  BOOST_REQUIRE(heard.contains("u"));
  BOOST_CHECK(heard["u"] > now - Millis(4000));
  last_heard = heard["u"];
  for (int i = 0; i < 20; ++i)
    Advance(500);  // it has stopped
  BOOST_CHECK(heard["u"] <= last_heard + Millis(1000));
}

// Guards against upstreams that a host never uses again after minutes without
// contact: it forgets silent ones, and is told of changes only.
BOOST_FIXTURE_TEST_CASE(an_upstream_that_was_forgotten_is_announced_again,
                        FeedAndFollower) {
  upstreams::Announcement announcement;
  announcement.id = UpstreamId("u");
  announcement.address = {"10.0.0.1", 80};
  announcement.sequence = 1;
  roster.Apply(announcement, now, now);
  Advance(250);
  Advance(250);
  BOOST_TEST(received.size() == 1u);
  forgotten.insert("u");
  announcement.sequence = 2;
  roster.Apply(announcement, now, now);
  Advance(250);
  Advance(250);
  BOOST_TEST(received.size() == 2u);
  for (int i = 0; i < 10; ++i)
    Advance(250);
  BOOST_TEST(received.size() == 2u);  // not each time if it can't be added
}

BOOST_FIXTURE_TEST_CASE(an_announcement_keeps_its_age_and_is_delivered_once,
                        FeedAndFollower) {
  upstreams::Announcement announcement;
  announcement.id = UpstreamId("u");
  announcement.sequence = 1;
  announcement.address = {"10.0.0.1", 80};
  roster.Apply(announcement, now, now);
  Advance(100);
  BOOST_REQUIRE(received.size() == 1u);
  BOOST_CHECK(received[0].second == At(0));
  Advance(300);
  BOOST_TEST(received.size() == 1u);  // delivered only once
}

BOOST_FIXTURE_TEST_CASE(a_stale_list_of_quiesced_upstreams_is_ignored,
                        FeedAndFollower) {
  quiesced = {UpstreamId("u")};
  Advance(10);
  BOOST_TEST(follower.IsQuiesced(UpstreamId("u")));
  connected = false;
  Advance(3000);
  BOOST_TEST(!follower.IsQuiesced(UpstreamId("u")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
