#include <boost/test/unit_test.hpp>

#include "endivecart/moves/moves.h"

namespace endivecart::moves {
namespace {

VersionOutcome Good(const char* route = "quote") {
  return {route, DomainId("a"), false, 1.0, 10};
}

VersionOutcome Failed(const char* route = "quote") {
  return {route, DomainId("a"), true, 1.0, 10};
}

VersionJudge JudgeWithBaseline() {
  VersionJudge judge;
  for (int i = 0; i < 100; ++i)
    judge.AddBaseline(Good());
  return judge;
}

MoveView MakeView(int share, std::int64_t now_ms, int with_new) {
  MoveView view;
  view.rollout.version = VersionId("v2");
  view.rollout.share_permille = share;
  view.rollout.deadline_ms = 100000;
  view.now_ms = now_ms;
  for (int i = 0; i < 6; ++i) {
    MoveUpstream upstream;
    upstream.id = UpstreamId("u" + std::to_string(i));
    upstream.domain = DomainId(std::string(1, "abc"[i % 3]));
    upstream.has_new = i < with_new;
    view.upstreams.push_back(upstream);
  }
  return view;
}

BOOST_AUTO_TEST_SUITE(moving_versions, *boost::unit_test::label("moves"))

BOOST_AUTO_TEST_CASE(five_failures_in_a_row_stop_a_version) {
  VersionJudge judge = JudgeWithBaseline();
  for (int i = 0; i < 5; ++i)
    judge.AddCandidate(Failed());
  BOOST_TEST(judge.verdict().find("failures") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_late_fault_is_found_after_many_good_outcomes) {
  VersionJudge judge = JudgeWithBaseline();
  for (int i = 0; i < 5000; ++i)
    judge.AddCandidate(Good());
  BOOST_TEST(judge.verdict().empty());
  for (int i = 0; i < 5; ++i)
    judge.AddCandidate(Failed());
  BOOST_TEST(!judge.verdict().empty());
}

BOOST_AUTO_TEST_CASE(failures_shared_with_the_promoted_version_do_not_count) {
  VersionJudge judge;
  for (int i = 0; i < 100; ++i)
    judge.AddBaseline(i % 2 == 0 ? Failed() : Good());
  for (int i = 0; i < 50; ++i)
    judge.AddCandidate(i % 2 == 0 ? Failed() : Good());
  BOOST_TEST(judge.verdict().empty());
}

BOOST_AUTO_TEST_CASE(slow_first_tokens_and_slow_tokens_stop_a_version) {
  VersionJudge judge = JudgeWithBaseline();
  for (int i = 0; i < 10; ++i)
    judge.AddCandidate({"quote", DomainId("a"), false, 2.5, 10});
  BOOST_TEST(judge.verdict().find("slow first tokens") != std::string::npos);
  VersionJudge other = JudgeWithBaseline();
  for (int i = 0; i < 10; ++i)
    other.AddCandidate({"quote", DomainId("a"), false, 1, 100});
  BOOST_TEST(other.verdict().find("slow tokens") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(pooled_outcomes_reveal_a_fault_that_no_host_finds_alone) {
  PooledJudge judge;
  for (int host = 0; host < 6; ++host) {
    CountsBySegment counts;
    counts["all routes"] = {2, 1, 0, 0};
    judge.OnCounts(HostId("h" + std::to_string(host)), counts);
  }
  BOOST_TEST(!judge.verdict().empty());
}

BOOST_AUTO_TEST_CASE(a_duplicated_report_counts_once) {
  PooledJudge judge;
  CountsBySegment counts;
  counts["all routes"] = {4, 3, 0, 0};
  for (int i = 0; i < 10; ++i)
    judge.OnCounts(HostId("h"), counts);
  BOOST_TEST(judge.verdict().empty());
}

BOOST_AUTO_TEST_CASE(a_stopped_version_gets_no_new_request_on_that_host) {
  VersionGate gate;
  configuration::Model model{ModelId("m"), VersionId("v1"), {}};
  model.rollout = configuration::Rollout{};
  model.rollout->version = VersionId("v2");
  model.rollout->share_permille = 500;
  BOOST_TEST(gate.Choose(model, "quote", 499, true).str() == "v2");
  BOOST_TEST(gate.Choose(model, "quote", 500, true).str() == "v1");
  BOOST_TEST(gate.Choose(model, "quote", 0, false).str() == "v1");
  for (int i = 0; i < 30; ++i)
    gate.OnOutcome(model, VersionId("v1"), Good());
  for (int i = 0; i < 5; ++i)
    gate.OnOutcome(model, VersionId("v2"), Failed());
  BOOST_TEST(gate.Choose(model, "quote", 0, true).str() == "v1");
  model.rollout->state = configuration::RolloutState::kDone;
  model.rollout->previous = VersionId("v1");
  model.version = VersionId("v2");
  BOOST_TEST(gate.Choose(model, "quote", 0, true).str() == "v1");
}

BOOST_AUTO_TEST_CASE(at_most_two_upstreams_load_at_a_time) {
  MoveView view = MakeView(0, 0, 0);
  BOOST_TEST(PlanStep(view).load.size() == 2U);
  view.upstreams[0].loading = true;
  BOOST_TEST(PlanStep(view).load.size() == 1U);
  view.upstreams[1].loading = true;
  BOOST_TEST(PlanStep(view).load.empty());
}

BOOST_AUTO_TEST_CASE(disabled_or_leaving_upstreams_do_not_load) {
  MoveView view = MakeView(0, 0, 0);
  view.upstreams[0].usable = false;
  for (const UpstreamId& id : PlanStep(view).load)
    BOOST_TEST(id.str() != "u0");
}

BOOST_AUTO_TEST_CASE(
    the_share_rises_only_after_its_step_with_enough_upstreams_loaded) {
  BOOST_TEST((PlanStep(MakeView(0, 10, 0)).kind == MoveStepKind::kWait));
  BOOST_TEST((PlanStep(MakeView(0, 10, 3)).kind == MoveStepKind::kRaiseShare));
  BOOST_TEST((PlanStep(MakeView(10, 1500, 6)).kind == MoveStepKind::kWait));
  const MoveStep step = PlanStep(MakeView(10, 25000, 6));
  BOOST_TEST((step.kind == MoveStepKind::kRaiseShare));
  BOOST_TEST(step.share_permille == 50);
}

BOOST_AUTO_TEST_CASE(a_verdict_or_a_missed_deadline_rolls_back_with_a_reason) {
  MoveView view = MakeView(50, 1000, 6);
  view.verdict = "failures";
  BOOST_TEST((PlanStep(view).kind == MoveStepKind::kRollBack));
  const MoveStep late = PlanStep(MakeView(50, 100001, 1));
  BOOST_TEST((late.kind == MoveStepKind::kRollBack));
  BOOST_TEST(late.reason.find("deadline") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_new_leader_delays_orders_to_upstreams_without_fencing) {
  std::vector<Order> orders;
  MoveController controller(
      {[](auto...) {}, [&](const Order& order) { orders.push_back(order); }});
  const std::string document = R"({"models":{"m":{"version":"v1"}},
    "rollouts":{"m":{"version":"v2","started_ms":1,"deadline_ms":90000}},
    "upstreams":{"fenced":{"checks_fencing":true}}})";
  const configuration::ConfigurationSnapshot snapshot{
      1, document, *configuration::ParseConfiguration(document)};
  std::vector<KnownUpstream> upstreams = {
      {UpstreamId("fenced"), "http://f", DomainId("a"), ModelId("m"), {}},
      {UpstreamId("open"), "http://o", DomainId("b"), ModelId("m"), {}}};
  const TimePoint start(Millis(50000));
  controller.OnLeadershipGained(7, start);
  controller.Tick(snapshot, upstreams, 2, start + Millis(1000));
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].upstream.str() == "fenced");
  BOOST_TEST(orders[0].fence == 7U);
  upstreams[0].versions = {VersionId("v2")};
  controller.Tick(snapshot, upstreams, 3, start + Millis(12000));
  BOOST_REQUIRE(orders.size() == 2U);
  BOOST_TEST(orders[1].upstream.str() == "open");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::moves
