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

BOOST_AUTO_TEST_CASE(an_older_routing_version_does_not_replace_a_newer_one) {
  DecisionLog log;
  BOOST_TEST(log.Apply(Replace(7, "seven"), 1));
  BOOST_TEST(!log.Apply(Replace(3, "three"), 2));
  BOOST_TEST(!log.Apply(Replace(7, "other"), 3));
  BOOST_TEST(log.decisions().routing_document == "seven");
  BOOST_TEST(log.decisions().index == 1u);
}

BOOST_AUTO_TEST_CASE(a_domain_can_be_taken_out_and_put_back) {
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

BOOST_AUTO_TEST_CASE(a_repeated_begin_command_does_not_restart_a_move) {
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

BOOST_AUTO_TEST_CASE(a_restored_snapshot_contains_all_decisions) {
  DecisionLog log;
  log.Apply(Replace(2, "two"), 1);
  log.Apply(NameVersion("m", 4), 2);
  DecisionLog other;
  BOOST_TEST(other.Restore(log.Snapshot()));
  BOOST_CHECK(other.decisions() == log.decisions());
  BOOST_TEST(!other.Restore("\x01 no state"));
  BOOST_CHECK(other.decisions() == log.decisions());
}

BOOST_AUTO_TEST_CASE(an_omitted_document_is_copied_from_the_known_decisions) {
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

BOOST_AUTO_TEST_CASE(
    a_member_that_lost_its_disk_is_replaced_by_its_new_identity) {
  VoterSetManager manager(MemberId("a@1"), Millis(1500));
  manager.OnLeadershipGained(At(0));
  manager.RecordContact(MemberId("b@1"), At(0));
  manager.RecordContact(MemberId("c@1"), At(0));
  manager.RecordContact(MemberId("b@1"), At(1000));
  manager.RecordContact(MemberId("c@2"), At(1000));
  auto voters = Voters({"a@1", "b@1", "c@1"});
  const auto first = manager.NextChange(voters, kCaughtUp, At(1000));
  BOOST_CHECK(first ==
              (VoterChange{VoterChangeKind::kAddLearner, MemberId("c@2")}));
  voters.add_learners("c@2");
  const auto second = manager.NextChange(voters, kCaughtUp, At(1000));
  BOOST_CHECK(second ==
              (VoterChange{VoterChangeKind::kPromote, MemberId("c@2")}));
  const auto third = manager.NextChange(Voters({"a@1", "b@1", "c@1", "c@2"}),
                                        kCaughtUp, At(1000));
  BOOST_CHECK(third ==
              (VoterChange{VoterChangeKind::kRemove, MemberId("c@1")}));
}

BOOST_AUTO_TEST_CASE(a_silent_voter_is_not_removed_without_a_replacement) {
  VoterSetManager manager(MemberId("a@1"), Millis(1500));
  manager.OnLeadershipGained(At(0));
  manager.RecordContact(MemberId("b@1"), At(9000));
  BOOST_TEST(
      !manager.NextChange(Voters({"a@1", "b@1", "c@1"}), kCaughtUp, At(9000))
           .has_value());
}

BOOST_AUTO_TEST_CASE(a_learner_that_lags_behind_is_not_promoted) {
  VoterSetManager manager(MemberId("a@1"), Millis(1500));
  manager.OnLeadershipGained(At(0));
  manager.RecordContact(MemberId("b@1"), At(9000));
  manager.RecordContact(MemberId("d@1"), At(9000));
  BOOST_TEST(!manager
                  .NextChange(
                      Voters({"a@1", "b@1", "c@1"}, {"d@1"}),
                      [](const MemberId&) { return false; }, At(9000))
                  .has_value());
}

BOOST_AUTO_TEST_CASE(only_five_of_six_members_vote) {
  VoterSetManager manager(MemberId("a@1"), Millis(1500));
  manager.OnLeadershipGained(At(0));
  for (const char* name : {"b@1", "c@1", "d@1", "e@1", "f@1"})
    manager.RecordContact(MemberId(name), At(0));
  BOOST_CHECK(
      manager
          .NextChange(Voters({"a@1", "b@1", "c@1", "d@1"}, {"e@1", "f@1"}),
                      kCaughtUp, At(10))
          ->kind == VoterChangeKind::kPromote);
  BOOST_TEST(
      !manager
           .NextChange(Voters({"a@1", "b@1", "c@1", "d@1", "e@1"}, {"f@1"}),
                       kCaughtUp, At(10))
           .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

// Twelve upstreams with version 1 of model m, and a decision for version 2.
struct Upstreams {
  Upstreams() { log.Apply(NameVersion("m", 2), 1); }

  // All upstreams announce that they are ready with version 1.
  void Announce(int at) {
    ++sequence;
    for (int i = 0; i < 12; ++i) {
      upstreams::Announcement announcement;
      announcement.id = UpstreamId("u" + std::to_string(i));
      announcement.start_time_ms = 1;
      announcement.sequence = sequence;
      announcement.address = {"10.0.0." + std::to_string(i + 1), 80};
      announcement.models = {{ModelId("m"), 1}};
      roster.Apply(announcement, At(at), At(at));
    }
  }

  std::vector<WeightsOrder> Orders(WeightsCoordinator& coordinator, int at) {
    Announce(at);
    coordinator.NextOrders(log.decisions(), roster, true, 1, At(at));
    for (const WeightsCheck& check : coordinator.NextChecks(roster, At(at)))
      coordinator.OnReport(check.upstream, check.model, {1, 5, false}, At(at));
    return coordinator.NextOrders(log.decisions(), roster, true, 1, At(at));
  }

  std::uint64_t sequence = 0;
  upstreams::UpstreamRegistry roster;
  DecisionLog log;
};

BOOST_AUTO_TEST_SUITE(fleet_weights, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(a_new_leader_sends_no_orders_while_old_ones_may_arrive,
                        Upstreams) {
  WeightsCoordinator coordinator({});
  BOOST_TEST(Orders(coordinator, 0).empty());
  BOOST_TEST(Orders(coordinator, 3000).empty());
  BOOST_TEST(!Orders(coordinator, 3400).empty());
}

BOOST_FIXTURE_TEST_CASE(at_most_a_third_of_the_upstreams_load_at_a_time,
                        Upstreams) {
  WeightsCoordinator coordinator({});
  Orders(coordinator, 0);
  const auto orders = Orders(coordinator, 3400);
  BOOST_TEST(orders.size() == 4u);
  BOOST_TEST(coordinator.QuiescedUpstreams().size() == 4u);
  BOOST_TEST(orders.front().orders_before == 5u);
  BOOST_TEST(Orders(coordinator, 3450).empty());
  for (const WeightsOrder& order : orders) {
    coordinator.OnOrderResult(order.upstream, WeightsOrderResult::kAccepted,
                              At(3460));
    coordinator.OnReport(order.upstream, order.model, {2, 6, false}, At(4500));
  }
  BOOST_TEST(Orders(coordinator, 4600).size() == 4u);
}

BOOST_FIXTURE_TEST_CASE(
    an_unanswered_order_is_repeated_only_after_the_report_lag,
    Upstreams) {
  WeightsCoordinator coordinator({Millis(3000), 0.0, 1});
  Orders(coordinator, 0);
  const auto order = Orders(coordinator, 3400).at(0);
  coordinator.OnOrderResult(order.upstream, WeightsOrderResult::kUnknown,
                            At(3500));
  // Reports lag behind, so this one doesn't show the order yet.
  coordinator.OnReport(order.upstream, order.model, {1, 5, false}, At(4000));
  BOOST_TEST(coordinator.NextOrders(log.decisions(), roster, true, 1, At(4000))
                 .empty());
  coordinator.OnReport(order.upstream, order.model, {1, 5, false}, At(5000));
  BOOST_TEST(coordinator.NextOrders(log.decisions(), roster, true, 1, At(5000))
                 .size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(
    orders_continue_when_confirmation_returns_in_the_same_term,
    Upstreams) {
  WeightsCoordinator coordinator({});
  Orders(coordinator, 0);
  coordinator.NextOrders(log.decisions(), roster, false, 1, At(3350));
  BOOST_TEST(!Orders(coordinator, 3400).empty());
}

BOOST_FIXTURE_TEST_CASE(a_process_that_is_not_confirmed_leader_sends_no_orders,
                        Upstreams) {
  WeightsCoordinator coordinator({});
  Orders(coordinator, 0);
  BOOST_TEST(coordinator.NextOrders(log.decisions(), roster, false, 1, At(9000))
                 .empty());
  BOOST_TEST(coordinator.QuiescedUpstreams().empty());
}

BOOST_AUTO_TEST_SUITE_END()

struct Catalog {
  Catalog() {
    routes::CacheStore settings;
    settings.address = store;
    settings.cache_tokens = 10000;
    catalog.SetStores({settings});
    catalog.OnLeadershipGained(3, At(-2000));
  }

  void List(int at,
            const std::vector<std::string>& ids,
            std::uint64_t epoch = 1) {
    CacheList list;
    list.epoch = epoch;
    list.next = 10;
    for (const std::string& id : ids)
      list.complete.emplace_back(CachePartName{"m.1", id}, 100);
    catalog.NextReads(At(at));
    catalog.OnList(store, list, At(at));
  }

  settings::Endpoint store{"10.0.0.1", 80};
  CacheCatalog catalog;
};

BOOST_AUTO_TEST_SUITE(fleet_catalog, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(a_new_leader_reads_no_store_before_old_orders_expired,
                        Catalog) {
  catalog.OnLeadershipGained(4, At(100));
  routes::CacheStore another;
  another.address = {"10.0.0.2", 80};
  catalog.SetStores({another});  // set after leadership was gained
  const TimePoint expired_at = At(100) + CacheCatalog::kOldOrdersExpired;
  BOOST_TEST(catalog.NextReads(expired_at - Millis(1)).empty());
  BOOST_TEST(catalog.NextReads(expired_at).size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_part_is_published_only_once_it_is_complete, Catalog) {
  List(0, {"a"});
  const auto all = catalog.UpdateSince({}, At(10));
  BOOST_TEST(all->reset());
  BOOST_TEST(all->added_size() == 1);
  CacheEvents events;
  events.epoch = 1;
  events.next = 11;
  events.events = {{true, {"m.1", "b"}, 50}};
  catalog.OnEvents(store, events, At(20));
  const auto more = catalog.UpdateSince({3, all->cursor()}, At(20));
  BOOST_TEST(!more->reset());
  BOOST_TEST(more->added_size() == 1);
  BOOST_TEST(more->added(0).key() == CacheKey({"m.1", "b"}));
}

std::vector<std::string> Names(int count) {
  std::vector<std::string> names(static_cast<std::size_t>(count));
  std::generate(names.begin(), names.end(),
                [i = 0]() mutable { return std::to_string(i++); });
  return names;
}

// Follows the catalogue until it has received everything.
struct CatalogFollower {
  explicit CatalogFollower(CacheCatalog& followed) : catalog(followed) {}

  // Returns the number of updates it took.
  int Follow(int at) {
    for (int updates = 1;; ++updates) {
      const auto update = catalog.UpdateSince(position, At(at));
      if (update->reset())
        parts.clear();
      for (const auto& part : update->removed())
        parts.erase(part.key());
      for (const auto& part : update->added())
        parts.insert(part.key());
      position = {update->term(), update->cursor(), update->floor(),
                  update->stores_version()};
      resets += update->reset() ? 1 : 0;
      if (!update->has_more())
        return updates;
    }
  }

  CacheCatalog& catalog;
  CachePosition position;
  std::set<std::uint64_t> parts;
  int resets = 0;
};

// Pattern: a new leader is polled by hundreds of hosts that lack everything.
BOOST_FIXTURE_TEST_CASE(a_large_catalogue_is_sent_in_several_updates, Catalog) {
  List(0, Names(2500));
  CatalogFollower follower(catalog);
  const auto first = catalog.UpdateSince(follower.position, At(10));
  BOOST_TEST(first->added_size() == CacheCatalog::kMaxPartsPerUpdate);
  BOOST_TEST(first->has_more());
  BOOST_TEST(follower.Follow(10) == 3);
  BOOST_TEST(follower.parts.size() == 2500u);
  BOOST_TEST(follower.resets == 1);
  // Nothing is repeated afterwards, not even the states of the stores.
  const auto last = catalog.UpdateSince(follower.position, At(2000));
  BOOST_TEST(last->added_size() == 0);
  BOOST_TEST(catalog.UpdateSince(follower.position, At(1990))->stores_size() ==
             last->stores_size());
}

BOOST_FIXTURE_TEST_CASE(a_part_removed_while_a_follower_catches_up_is_removed,
                        Catalog) {
  List(0, Names(1500));
  CatalogFollower follower(catalog);
  auto update = catalog.UpdateSince({}, At(10));
  for (const auto& part : update->added())
    follower.parts.insert(part.key());
  follower.position = {3, update->cursor(), update->floor(),
                       update->stores_version()};
  const std::uint64_t removed = update->added(0).key();
  for (int i = 0; i < 1500; ++i) {
    if (CacheKey({"m.1", std::to_string(i)}) != removed)
      continue;
    CacheEvents events;
    events.epoch = 1;
    events.next = 11;
    events.events = {{false, {"m.1", std::to_string(i)}, 100}};
    catalog.OnEvents(store, events, At(20));
  }
  follower.Follow(30);
  BOOST_TEST(follower.parts.size() == 1499u);
  BOOST_TEST(!follower.parts.contains(removed));
  BOOST_TEST(follower.resets == 0);
}

BOOST_FIXTURE_TEST_CASE(a_follower_that_missed_too_many_removals_starts_anew,
                        Catalog) {
  List(0, {"a"});
  CatalogFollower late(catalog);
  late.Follow(10);
  std::uint64_t next = 11;
  for (int i = 0; i < 21000; ++i) {
    CacheEvents events;
    events.epoch = 1;
    events.next = ++next;
    const CachePartName name{"m.1", "x" + std::to_string(i)};
    events.events = {{true, name, 100}, {false, name, 100}};
    catalog.OnEvents(store, events, At(20));
  }
  late.Follow(30);
  BOOST_TEST(late.resets == 2);
  BOOST_TEST(late.parts.size() == 1u);
  // One that starts now doesn't have to start anew again.
  CatalogFollower fresh(catalog);
  fresh.Follow(40);
  BOOST_TEST(fresh.Follow(50) == 1);
  BOOST_TEST(fresh.resets == 1);
  BOOST_TEST(fresh.parts.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(parts_of_a_store_that_restarted_empty_are_removed,
                        Catalog) {
  List(0, {"a"});
  const auto all = catalog.UpdateSince({}, At(10));
  CacheEvents events;
  events.epoch = 2;
  catalog.OnEvents(store, events, At(20));
  const auto update = catalog.UpdateSince({3, all->cursor()}, At(20));
  BOOST_TEST(update->removed_size() == 1);
  BOOST_TEST(!update->stores(0).readable());
}

BOOST_FIXTURE_TEST_CASE(
    a_restarted_store_takes_no_parts_until_all_followers_know,
    Catalog) {
  List(0, {});
  BOOST_TEST(!catalog.UpdateSince({}, At(1000))->stores(0).takes_more());
  BOOST_TEST(catalog.UpdateSince({}, At(2100))->stores(0).takes_more());
}

BOOST_FIXTURE_TEST_CASE(a_retired_part_is_not_freed_while_it_may_be_fetched,
                        Catalog) {
  List(0, {"a"});
  CacheEvents events;
  events.epoch = 1;
  events.next = 10;
  events.clock_ms = 5000;
  catalog.OnEvents(store, events, At(10));
  catalog.Retire([](const std::string&) { return false; }, At(100));
  BOOST_TEST(catalog.UpdateSince({}, At(110))->added_size() == 0);
  const auto delay = static_cast<int>(CacheCatalog::kFreeDelay.count());
  BOOST_TEST(catalog.NextFrees(At(100 + delay - 1)).empty());
  const auto frees = catalog.NextFrees(At(100 + delay));
  BOOST_REQUIRE(frees.size() == 1u);
  BOOST_TEST(frees[0].parts.size() == 1u);
  BOOST_TEST(frees[0].epoch == 1u);
  BOOST_TEST(frees[0].until_ms > 5000u);
}

BOOST_FIXTURE_TEST_CASE(a_process_that_lost_leadership_publishes_nothing,
                        Catalog) {
  catalog.OnLeadershipLost();
  BOOST_TEST(!catalog.UpdateSince({}, At(0)).has_value());
  BOOST_TEST(catalog.NextReads(At(0)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

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
              document_bytes +=
                  envelope.fleet_news().decisions().routing_document().size();
              if (connected)
                follower.OnUpdate(HostId("v"), envelope.fleet_news());
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
  std::vector<UpstreamId> quiesced;
  int polls = 0;
  std::size_t document_bytes = 0;
  std::vector<HostId> control_hosts;
  std::vector<std::uint64_t> seen;
  std::vector<std::pair<upstreams::Announcement, TimePoint>> received;
  std::map<std::string, TimePoint> heard;
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
  now += FleetFeed::kDocumentResendDelay;
  feed.OnPoll(HostId("f"), poll);
  BOOST_TEST(document_bytes == 3 * std::string("document 5").size());
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
    feed.PushAnnouncements();
    connected = announcement.id == UpstreamId("v");  // the first push is lost
    feed.FlushPushes();
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
    feed.PushAnnouncements();
  }
  feed.FlushPushes();
  feed.FlushPushes();
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
