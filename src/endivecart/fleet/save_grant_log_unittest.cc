#include "endivecart/fleet/save_grant_log.h"

#include <boost/test/unit_test.hpp>

#include "endivecart/fleet/decision_log.h"

namespace endivecart::fleet {
namespace {

const SaveGrantLog::Save kSave{{7, 1}, {HostId("a"), 5}, Millis(13500)};
const SaveGrantLog::Save kNext{{7, 1}, {HostId("b"), 9}, Millis(13500)};

wire::GrantSavesCommand Grants(const std::vector<SaveGrantLog::Save>& saves,
                               bool replaces_all = false) {
  wire::GrantSavesCommand command;
  command.set_replaces_all(replaces_all);
  for (const auto& save : saves)
    *command.add_grants() = ToWire(save);
  return command;
}

struct Log {
  Log() {
    log.OnEntry(3);
    log.Apply(Grants({kSave}, true));
  }
  SaveGrantLog log;
};

BOOST_AUTO_TEST_SUITE(fleet_save_grant_log, *boost::unit_test::label("fleet"))

// Guards against MIXED: a leader of an earlier release grants saves that the
// log doesn't have.
BOOST_FIXTURE_TEST_CASE(a_term_without_grants_in_the_log_leaves_them_unknown,
                        Log) {
  SaveGrantLog of_earlier_release;
  of_earlier_release.OnEntry(3);
  BOOST_TEST(!of_earlier_release.IsComplete());
  log.OnEntry(4);
  BOOST_TEST(log.IsComplete());
  log.OnEntry(5);
  BOOST_TEST(!log.IsComplete());
  log.Apply(Grants({kSave}));
  BOOST_TEST(!log.IsComplete());
  log.Apply(Grants({}, true));
  BOOST_TEST(log.IsComplete());
  BOOST_TEST(log.size() == 0u);
}

BOOST_FIXTURE_TEST_CASE(each_leader_that_logs_its_grants_continues_the_log,
                        Log) {
  log.OnEntry(4);
  log.Apply(Grants({}));
  log.OnEntry(9);
  BOOST_TEST(log.IsComplete());
  BOOST_CHECK(log.Saves() == std::vector{kSave});
}

BOOST_FIXTURE_TEST_CASE(only_the_claim_that_ended_leaves_the_log, Log) {
  log.Apply(Grants({kNext}));
  BOOST_CHECK(log.Saves() == std::vector{kNext});
  wire::GrantSavesCommand ended;
  *ended.add_ended() = ToWire(kSave);
  log.Apply(ended);
  BOOST_TEST(log.size() == 1u);
  *ended.add_ended() = ToWire(kNext);
  log.Apply(ended);
  BOOST_TEST(log.size() == 0u);
}

BOOST_AUTO_TEST_CASE(grants_are_in_snapshots_but_no_decisions) {
  DecisionLog log;
  log.OnEntry(3);
  wire::FleetCommand command;
  *command.mutable_grant_saves() = Grants({kSave}, true);
  BOOST_TEST(!log.Apply(command.SerializeAsString(), 1));
  BOOST_TEST(!ToWire(log.decisions(), true).has_save_grants());
  DecisionLog restored;
  BOOST_TEST(restored.Restore(log.Snapshot()));
  BOOST_CHECK(restored.save_grants() == log.save_grants());
  BOOST_TEST(restored.save_grants().IsComplete());
  // An earlier release drops them from its snapshots.
  BOOST_TEST(
      restored.Restore(ToWire(log.decisions(), true).SerializeAsString()));
  BOOST_TEST(!restored.save_grants().IsComplete());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
