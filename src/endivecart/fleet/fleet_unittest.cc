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

// Guards against an update of all hosts at each usage window.
BOOST_AUTO_TEST_CASE(usage_windows_are_kept_in_the_log_but_are_no_decisions) {
  DecisionLog log;
  log.Apply(Replace(2, "two"), 1);
  wire::FleetCommand command;
  *command.mutable_close_usage_window()->mutable_window() =
      duties::ToWire({7, {{CustomerId("a"), 3}}});
  const Decisions before = log.decisions();
  BOOST_TEST(!log.Apply(command.SerializeAsString(), 2));
  BOOST_CHECK(log.decisions() == before);
  BOOST_TEST(ToWire(log.decisions(), true).closed_usage_windows_size() == 0);
  BOOST_TEST(log.usage_log().windows().size() == 1U);
  DecisionLog other;
  BOOST_TEST(other.Restore(log.Snapshot()));
  BOOST_CHECK(other.usage_log() == log.usage_log());
}

BOOST_AUTO_TEST_CASE(an_omitted_document_is_copied_from_the_known_decisions) {
  DecisionLog log;
  log.Apply(Replace(2, "two"), 1);
  const Decisions known = log.decisions();
  log.Apply(NameVersion("m", 4), 2);
  const auto message = ToWire(log.decisions(), false);
  BOOST_TEST(message.routing_document().empty());
  BOOST_CHECK(FromWire(message, known.routing_document) == log.decisions());
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

}  // namespace
}  // namespace endivecart::fleet
