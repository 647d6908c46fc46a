#include <boost/test/unit_test.hpp>

#include "endivecart/fleet/fleet.h"

namespace endivecart::fleet {
namespace {

using control::MemberId;

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

std::string Replace(std::uint64_t version, const std::string& document) {
  wire::FleetCommand command;
  command.mutable_replace_routing()->set_version(version);
  command.mutable_replace_routing()->set_document(document);
  return command.SerializeAsString();
}

std::string NameVersion(const std::string& model, std::uint64_t version) {
  wire::FleetCommand command;
  command.mutable_name_weights()->set_model(model);
  command.mutable_name_weights()->set_version(version);
  return command.SerializeAsString();
}

BOOST_AUTO_TEST_SUITE(fleet_decisions, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(the_highest_version_of_the_routing_counts) {
  DecisionLog log;
  BOOST_TEST(log.Apply(Replace(7, "seven"), 1));
  BOOST_TEST(!log.Apply(Replace(3, "three"), 2));
  BOOST_TEST(!log.Apply(Replace(7, "other"), 3));
  BOOST_TEST(log.decisions().routing_document == "seven");
  BOOST_TEST(log.decisions().index == 1u);
}

BOOST_AUTO_TEST_CASE(a_domain_goes_out_and_comes_back) {
  DecisionLog log;
  wire::FleetCommand command;
  command.mutable_set_domain()->set_domain("a");
  command.mutable_set_domain()->set_out(true);
  BOOST_TEST(log.Apply(command.SerializeAsString(), 1));
  BOOST_TEST(!log.Apply(command.SerializeAsString(), 2));
  BOOST_TEST(log.decisions().IsOut(DomainId("a")));
  command.mutable_set_domain()->set_out(false);
  BOOST_TEST(log.Apply(command.SerializeAsString(), 3));
  BOOST_TEST(!log.decisions().IsOut(DomainId("a")));
}

BOOST_AUTO_TEST_CASE(a_move_that_is_ordered_again_goes_on) {
  DecisionLog log;
  wire::FleetCommand begin;
  begin.mutable_begin_move()->set_service("s");
  begin.mutable_begin_move()->set_target("v2");
  begin.mutable_begin_move()->set_duration_ms(1000);
  BOOST_TEST(log.Apply(begin.SerializeAsString(), 1));
  wire::FleetCommand end;
  end.mutable_end_move()->set_service("s");
  end.mutable_end_move()->set_target("v2");
  end.mutable_end_move()->set_completed(false);
  BOOST_TEST(log.Apply(end.SerializeAsString(), 2));
  BOOST_TEST(!log.Apply(begin.SerializeAsString(), 3));
  const Move& move = log.decisions().moves.at(routes::ServiceId("s"));
  BOOST_CHECK(move.state == MoveState::kRolledBack);
}

BOOST_AUTO_TEST_CASE(a_snapshot_holds_all_decisions) {
  DecisionLog log;
  log.Apply(Replace(2, "two"), 1);
  log.Apply(NameVersion("m", 4), 2);
  DecisionLog other;
  BOOST_TEST(other.Restore(log.Snapshot()));
  BOOST_CHECK(other.decisions() == log.decisions());
  BOOST_TEST(!other.Restore("\x01 no state"));
  BOOST_CHECK(other.decisions() == log.decisions());
}

BOOST_AUTO_TEST_CASE(a_document_that_was_left_out_is_taken_from_what_is_known) {
  DecisionLog log;
  log.Apply(Replace(2, "two"), 1);
  const Decisions known = log.decisions();
  log.Apply(NameVersion("m", 4), 2);
  const auto message = ToWire(log.decisions(), false);
  BOOST_TEST(message.routing_document().empty());
  BOOST_CHECK(FromWire(message, &known) == log.decisions());
}

BOOST_AUTO_TEST_SUITE_END()

wire::VoterSet Voters(const std::vector<std::string>& voters,
                      const std::vector<std::string>& learners = {}) {
  wire::VoterSet set;
  for (const std::string& voter : voters)
    set.add_voters(voter);
  for (const std::string& learner : learners)
    set.add_learners(learner);
  return set;
}

const auto kCaughtUp = [](const MemberId&) { return true; };

BOOST_AUTO_TEST_SUITE(fleet_voters, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(a_lost_disk_comes_back_as_a_new_member) {
  VoterKeeper keeper(MemberId("a@1"), Millis(1500));
  keeper.StartOffice(At(0));
  keeper.Heard(MemberId("b@1"), At(0));
  keeper.Heard(MemberId("c@1"), At(0));
  keeper.Heard(MemberId("b@1"), At(1000));
  keeper.Heard(MemberId("c@2"), At(1000));
  auto voters = Voters({"a@1", "b@1", "c@1"});
  const auto first = keeper.Next(voters, kCaughtUp, At(1000));
  BOOST_CHECK(first ==
              (VoterChange{VoterChangeKind::kAddLearner, MemberId("c@2")}));
  voters.add_learners("c@2");
  const auto second = keeper.Next(voters, kCaughtUp, At(1000));
  BOOST_CHECK(second ==
              (VoterChange{VoterChangeKind::kPromote, MemberId("c@2")}));
  const auto third =
      keeper.Next(Voters({"a@1", "b@1", "c@1", "c@2"}), kCaughtUp, At(1000));
  BOOST_CHECK(third ==
              (VoterChange{VoterChangeKind::kRemove, MemberId("c@1")}));
}

BOOST_AUTO_TEST_CASE(a_voter_that_is_away_is_not_removed_without_another) {
  VoterKeeper keeper(MemberId("a@1"), Millis(1500));
  keeper.StartOffice(At(0));
  keeper.Heard(MemberId("b@1"), At(9000));
  BOOST_TEST(!keeper.Next(Voters({"a@1", "b@1", "c@1"}), kCaughtUp, At(9000))
                  .has_value());
}

BOOST_AUTO_TEST_CASE(a_learner_that_lags_does_not_vote) {
  VoterKeeper keeper(MemberId("a@1"), Millis(1500));
  keeper.StartOffice(At(0));
  keeper.Heard(MemberId("b@1"), At(9000));
  keeper.Heard(MemberId("d@1"), At(9000));
  BOOST_TEST(!keeper
                  .Next(
                      Voters({"a@1", "b@1", "c@1"}, {"d@1"}),
                      [](const MemberId&) { return false; }, At(9000))
                  .has_value());
}

BOOST_AUTO_TEST_CASE(of_six_members_five_vote) {
  VoterKeeper keeper(MemberId("a@1"), Millis(1500));
  keeper.StartOffice(At(0));
  for (const char* name : {"b@1", "c@1", "d@1", "e@1", "f@1"})
    keeper.Heard(MemberId(name), At(0));
  BOOST_CHECK(keeper
                  .Next(Voters({"a@1", "b@1", "c@1", "d@1"}, {"e@1", "f@1"}),
                        kCaughtUp, At(10))
                  ->kind == VoterChangeKind::kPromote);
  BOOST_TEST(!keeper
                  .Next(Voters({"a@1", "b@1", "c@1", "d@1", "e@1"}, {"f@1"}),
                        kCaughtUp, At(10))
                  .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

// Twelve engines with version 1 of model m.
struct Engines {
  Engines() { log.Apply(NameVersion("m", 2), 1); }

  // All say that they are well, with the weights that they had.
  void Announce(int at) {
    ++sequence;
    for (int i = 0; i < 12; ++i) {
      upstreams::Announcement said;
      said.id = UpstreamId("u" + std::to_string(i));
      said.start_time_ms = 1;
      said.sequence = sequence;
      said.address = {"10.0.0." + std::to_string(i + 1), 80};
      said.models = {{ModelId("m"), 1}};
      roster.Apply(said, At(at), At(at));
    }
  }

  std::vector<WeightsOrder> Orders(WeightsConductor& conductor, int at) {
    Announce(at);
    conductor.NextOrders(log.decisions(), roster, true, 1, At(at));
    for (const WeightsCheck& check : conductor.NextChecks(roster, At(at)))
      conductor.OnReport(check.upstream, check.model, {1, 5, false}, At(at));
    return conductor.NextOrders(log.decisions(), roster, true, 1, At(at));
  }

  std::uint64_t sequence = 0;
  upstreams::UpstreamRegistry roster;
  DecisionLog log;
};

BOOST_AUTO_TEST_SUITE(fleet_weights, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(a_new_leader_waits_out_the_orders_of_the_last,
                        Engines) {
  WeightsConductor conductor({});
  BOOST_TEST(Orders(conductor, 0).empty());
  BOOST_TEST(Orders(conductor, 3000).empty());
  BOOST_TEST(!Orders(conductor, 3400).empty());
}

BOOST_FIXTURE_TEST_CASE(a_third_of_the_engines_load_at_a_time, Engines) {
  WeightsConductor conductor({});
  Orders(conductor, 0);
  const auto orders = Orders(conductor, 3400);
  BOOST_TEST(orders.size() == 4u);
  BOOST_TEST(conductor.Resting().size() == 4u);
  BOOST_TEST(orders.front().orders_before == 5u);
  BOOST_TEST(Orders(conductor, 3450).empty());
  for (const WeightsOrder& order : orders) {
    conductor.OnOrderEnd(order.upstream, WeightsOrderEnd::kAccepted, At(3460));
    conductor.OnReport(order.upstream, order.model, {2, 6, false}, At(4500));
  }
  BOOST_TEST(Orders(conductor, 4600).size() == 4u);
}

BOOST_FIXTURE_TEST_CASE(an_order_without_an_answer_is_given_again_later,
                        Engines) {
  WeightsConductor conductor({Millis(3000), 0.0, 1});
  Orders(conductor, 0);
  const auto order = Orders(conductor, 3400).at(0);
  conductor.OnOrderEnd(order.upstream, WeightsOrderEnd::kUnknown, At(3500));
  // A report lags: it doesn't show an order that was just accepted.
  conductor.OnReport(order.upstream, order.model, {1, 5, false}, At(4000));
  BOOST_TEST(
      conductor.NextOrders(log.decisions(), roster, true, 1, At(4000)).empty());
  conductor.OnReport(order.upstream, order.model, {1, 5, false}, At(5000));
  BOOST_TEST(
      conductor.NextOrders(log.decisions(), roster, true, 1, At(5000)).size() ==
      1u);
}

BOOST_FIXTURE_TEST_CASE(office_found_again_in_the_same_term_goes_on, Engines) {
  WeightsConductor conductor({});
  Orders(conductor, 0);
  conductor.NextOrders(log.decisions(), roster, false, 1, At(3350));
  BOOST_TEST(!Orders(conductor, 3400).empty());
}

BOOST_FIXTURE_TEST_CASE(without_office_no_order_is_given, Engines) {
  WeightsConductor conductor({});
  Orders(conductor, 0);
  BOOST_TEST(conductor.NextOrders(log.decisions(), roster, false, 1, At(9000))
                 .empty());
  BOOST_TEST(conductor.Resting().empty());
}

BOOST_AUTO_TEST_SUITE_END()

struct Catalog {
  Catalog() {
    routes::CacheStore settings;
    settings.address = store;
    settings.cache_tokens = 10000;
    catalog.SetStores({settings});
    catalog.StartOffice(3, At(-2000));
  }

  void List(int at,
            const std::vector<std::string>& ids,
            std::uint64_t epoch = 1) {
    CacheList list;
    list.epoch = epoch;
    list.next = 10;
    for (const std::string& id : ids)
      list.whole.emplace_back(CachePartName{"m.1", id}, 100);
    catalog.NextReads(At(at));
    catalog.OnList(store, list, At(at));
  }

  settings::Endpoint store{"10.0.0.1", 80};
  CacheCatalog catalog;
};

BOOST_AUTO_TEST_SUITE(fleet_catalog, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(a_new_leader_reads_stores_after_the_last_ones_orders,
                        Catalog) {
  catalog.StartOffice(4, At(100));
  routes::CacheStore another;
  another.address = {"10.0.0.2", 80};
  catalog.SetStores({another});  // as heard after the office began
  const TimePoint void_at = At(100) + CacheCatalog::kOrdersVoid;
  BOOST_TEST(catalog.NextReads(void_at - Millis(1)).empty());
  BOOST_TEST(catalog.NextReads(void_at).size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_part_is_named_once_it_is_whole, Catalog) {
  List(0, {"a"});
  const auto all = catalog.NewsSince(0, 0, At(10));
  BOOST_TEST(all->reset());
  BOOST_TEST(all->added_size() == 1);
  CacheEvents events;
  events.epoch = 1;
  events.next = 11;
  events.events = {{true, {"m.1", "b"}, 50}};
  catalog.OnEvents(store, events, At(20));
  const auto more = catalog.NewsSince(3, all->cursor(), At(20));
  BOOST_TEST(!more->reset());
  BOOST_TEST(more->added_size() == 1);
  BOOST_TEST(more->added(0).key() == CacheKey({"m.1", "b"}));
}

BOOST_FIXTURE_TEST_CASE(a_store_that_began_anew_holds_nothing, Catalog) {
  List(0, {"a"});
  const auto all = catalog.NewsSince(0, 0, At(10));
  CacheEvents events;
  events.epoch = 2;
  catalog.OnEvents(store, events, At(20));
  const auto news = catalog.NewsSince(3, all->cursor(), At(20));
  BOOST_TEST(news->removed_size() == 1);
  BOOST_TEST(!news->stores(0).readable());
}

BOOST_FIXTURE_TEST_CASE(after_a_new_start_nothing_is_saved_until_all_have_heard,
                        Catalog) {
  List(0, {});
  BOOST_TEST(!catalog.NewsSince(0, 0, At(1000))->stores(0).takes_more());
  BOOST_TEST(catalog.NewsSince(0, 0, At(2100))->stores(0).takes_more());
}

BOOST_FIXTURE_TEST_CASE(a_retired_part_is_freed_only_after_the_last_fetch,
                        Catalog) {
  List(0, {"a"});
  CacheEvents events;
  events.epoch = 1;
  events.next = 10;
  events.clock_ms = 5000;
  catalog.OnEvents(store, events, At(10));
  catalog.Retire([](const std::string&) { return false; }, At(100));
  BOOST_TEST(catalog.NewsSince(0, 0, At(110))->added_size() == 0);
  const auto delay = static_cast<int>(CacheCatalog::kFreeDelay.count());
  BOOST_TEST(catalog.NextFrees(At(100 + delay - 1)).empty());
  const auto frees = catalog.NextFrees(At(100 + delay));
  BOOST_REQUIRE(frees.size() == 1u);
  BOOST_TEST(frees[0].parts.size() == 1u);
  BOOST_TEST(frees[0].epoch == 1u);
  BOOST_TEST(frees[0].until_ms > 5000u);
}

BOOST_FIXTURE_TEST_CASE(a_process_without_office_tells_nothing, Catalog) {
  catalog.StopOffice();
  BOOST_TEST(!catalog.NewsSince(0, 0, At(0)).has_value());
  BOOST_TEST(catalog.NextReads(At(0)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

// A voter's feed and a follower, joined by a wire that a test may cut.
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
              document_bytes +=
                  envelope.fleet_news().decisions().routing_document().size();
              if (connected)
                follower.OnNews(HostId("v"), envelope.fleet_news());
            },
            [this] { return now; },
            [] {
              return std::vector<HostId>{HostId("v"), HostId("w")};
            },
            [] { return HostId("v"); },
            [](const HostId&, const wire::ServiceMoveReport&) {},
            [this] { return resting; },
            [](std::uint64_t, std::uint64_t) {
              return std::optional<wire::CacheNews>();
            }};
  }
  FleetFollower::Hooks FollowHooks() {
    FleetFollower::Hooks hooks;
    hooks.send = [this](const HostId& to, const wire::Envelope& envelope) {
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
    hooks.on_announcement = [this](const upstreams::Announcement& said,
                                   TimePoint at) {
      heard.emplace_back(said, at);
    };
    hooks.own_loads = [] { return std::vector<OwnLoad>(); };
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
  std::vector<UpstreamId> resting;
  int polls = 0;
  std::size_t document_bytes = 0;
  std::vector<HostId> control_hosts;
  std::vector<std::uint64_t> seen;
  std::vector<std::pair<upstreams::Announcement, TimePoint>> heard;
  DecisionLog log;
  upstreams::UpstreamRegistry roster;
  FleetFeed feed;
  FleetFollower follower;
};

BOOST_AUTO_TEST_SUITE(fleet_following, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(a_decision_reaches_followers_at_once, FeedAndFollower) {
  Advance(10);
  Decide(5, 1);
  BOOST_TEST(seen == std::vector<std::uint64_t>{5},
             boost::test_tools::per_element());
  BOOST_TEST(follower.decisions()->routing_document == "document 5");
  BOOST_TEST(control_hosts.size() == 2u);
}

// Load: all hosts start at once behind narrow links while the log is replayed.
BOOST_FIXTURE_TEST_CASE(a_document_that_is_on_its_way_is_not_sent_again,
                        FeedAndFollower) {
  Advance(10);
  connected = false;  // answers take long
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
  // One to the follower whose first poll came before, one to this one.
  BOOST_TEST(document_bytes == 2 * std::string("document 5").size());
  now += FleetFeed::kDocumentOnItsWay;
  feed.OnPoll(HostId("f"), poll);
  BOOST_TEST(document_bytes == 3 * std::string("document 5").size());
}

BOOST_FIXTURE_TEST_CASE(others_send_a_document_only_if_it_stays_away,
                        FeedAndFollower) {
  Advance(10);
  Decide(5, 1);
  connected = false;
  document_bytes = 0;
  wire::FleetPoll poll;
  poll.set_serves_callers(true);
  feed.OnPoll(HostId("f"), poll);
  BOOST_TEST(document_bytes == 0u);
  now += FleetFeed::kDocumentFromOthers;
  feed.OnPoll(HostId("f"), poll);
  BOOST_TEST(document_bytes > 0u);
}

// Load: all hosts start at once; each document comes over a narrow link.
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
  hooks.own_loads = [] { return std::vector<OwnLoad>(); };
  hooks.move_reports = [] { return std::vector<wire::ServiceMoveReport>(); };
  hooks.now = [&] { return now; };
  FleetFollower follower(options, std::move(hooks));
  for (int i = 0; i < 3; ++i) {
    follower.Tick();
    now += Millis(300);
    BOOST_TEST(asked.size() == static_cast<std::size_t>(i) + 1);
  }
  // The first ones may be away: each has its turn.
  BOOST_TEST((std::set<HostId>(asked.begin(), asked.end()).size() == 3u));
}

BOOST_FIXTURE_TEST_CASE(a_host_is_not_polled_again_before_it_can_have_answered,
                        FeedAndFollower) {
  Advance(10);
  Advance(300);
  connected = false;
  polls = 0;
  for (int i = 0; i < 15; ++i)
    Advance(50);
  BOOST_TEST(polls == 1);
  Advance(static_cast<int>(FleetFollower::kAnswerLost.count()));
  BOOST_TEST(polls == 2);
}

BOOST_FIXTURE_TEST_CASE(a_push_that_was_lost_is_made_up_for_by_the_next_poll,
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

BOOST_FIXTURE_TEST_CASE(a_follower_out_of_contact_knows_it, FeedAndFollower) {
  Advance(10);
  BOOST_TEST(follower.InContact());
  // A voter that has just started doesn't know all who serve callers.
  BOOST_TEST(follower.Place().hosts == 0);
  Advance(3000);
  BOOST_TEST(follower.Place().hosts == 1);
  connected = false;
  Advance(2500);
  BOOST_TEST(!follower.InContact());
  BOOST_TEST(follower.Place().hosts == 0);
}

// More hosts of control than voters: upstreams announce themselves to any.
BOOST_FIXTURE_TEST_CASE(a_spare_of_the_voters_is_followed_too,
                        FeedAndFollower) {
  const HostId spare("x");
  wire::FleetPoll poll;
  poll.set_member("x@1");
  feed.OnPoll(spare, poll);
  Advance(300);
  BOOST_TEST((std::find(control_hosts.begin(), control_hosts.end(), spare) !=
              control_hosts.end()));
  // One that no longer polls isn't named any more, and forgotten in time.
  now += FleetFeed::kForgetFollower + Millis(1);
  feed.Expire();
  Advance(300);
  now += FleetFollower::kForgetControlHost;
  Advance(300);
  BOOST_TEST(control_hosts.size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(others_work_at_an_upstream_is_forgotten_when_it_is_old,
                        FeedAndFollower) {
  Advance(10);
  wire::FleetPoll poll;
  poll.set_serves_callers(true);
  wire::UpstreamLoad& load = *poll.add_loads();
  load.set_upstream("u");
  load.set_requests(3);
  feed.OnPoll(HostId("f"), poll);
  Advance(300);
  BOOST_REQUIRE(follower.LoadOfOthers(UpstreamId("u")) != nullptr);
  BOOST_TEST(follower.LoadOfOthers(UpstreamId("u"))->requests() == 3u);
  // The last of them ends: there is no load left to be told of.
  poll.clear_loads();
  feed.OnPoll(HostId("f"), poll);
  Advance(300);
  Advance(static_cast<int>(FleetFollower::kContactLost.count()));
  BOOST_TEST(follower.LoadOfOthers(UpstreamId("u")) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(announcements_come_with_their_age, FeedAndFollower) {
  upstreams::Announcement said;
  said.id = UpstreamId("u");
  said.sequence = 1;
  said.address = {"10.0.0.1", 80};
  roster.Apply(said, now, now);
  Advance(100);
  BOOST_REQUIRE(heard.size() == 1u);
  BOOST_CHECK(heard[0].second == At(0));
  Advance(300);
  BOOST_TEST(heard.size() == 1u);  // told once only
}

BOOST_FIXTURE_TEST_CASE(old_news_of_resting_upstreams_is_void,
                        FeedAndFollower) {
  resting = {UpstreamId("u")};
  Advance(10);
  BOOST_TEST(follower.IsResting(UpstreamId("u")));
  connected = false;
  Advance(3000);
  BOOST_TEST(!follower.IsResting(UpstreamId("u")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
