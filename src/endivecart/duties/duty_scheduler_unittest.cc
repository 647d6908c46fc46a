#include "endivecart/duties/duty_scheduler.h"

#include <boost/test/unit_test.hpp>

namespace endivecart::duties {
namespace {

// A leader of term 4 whose wait is over.
struct Holder {
  Holder() {
    scheduler.OnLeader(4, now);
    now += Millis(3300);
  }

  void Close(std::uint64_t number) {
    wire::CloseUsageWindowCommand command;
    *command.mutable_window() =
        ToWire(UsageWindow{number, {{CustomerId("a"), number}}});
    log.Apply(command);
  }
  std::optional<DutyCall> Next() {
    return scheduler.NextCall(log, targets, unix_ms, now);
  }
  // Returns the servers or the window of the next call, which gets `outcome`; 0
  // if there is no call.
  int Call(DutyOutcome outcome) {
    const auto call = Next();
    if (!call)
      return 0;
    scheduler.OnResult(*call, outcome, now);
    if (const auto* window = std::get_if<UsageWindow>(&call->content))
      return static_cast<int>(window->number);
    return std::get<ScaleTarget>(call->content).servers;
  }
  void SetServers(int servers) {
    targets = {{routes::ServiceId("s"), DomainId("d"), servers}};
  }

  TimePoint now{Millis(1'000'000)};
  std::optional<std::uint64_t> unix_ms = 600'000;
  DutyScheduler scheduler{DutySchedulerOptions{}};
  UsageLog log;
  std::vector<ScaleTarget> targets;
};

BOOST_AUTO_TEST_SUITE(duty_scheduler, *boost::unit_test::label("duties"))

// Guards against calls that arrive while the former holder's still may.
BOOST_FIXTURE_TEST_CASE(a_new_leader_waits_for_the_lease_and_its_margin,
                        Holder) {
  SetServers(3);
  now -= Millis(1);
  BOOST_TEST(!Next().has_value());
  now += Millis(1);
  BOOST_REQUIRE(Next().has_value());
}

BOOST_FIXTURE_TEST_CASE(a_regained_term_needs_no_wait_but_a_new_one_does,
                        Holder) {
  SetServers(3);
  scheduler.OnLeadershipLost();
  BOOST_TEST(!Next().has_value());
  scheduler.OnLeader(4, now);
  BOOST_TEST(Call(DutyOutcome::kBusy) == 3);
  scheduler.OnLeader(6, now);
  now += Millis(3299);
  BOOST_TEST(!Next().has_value());
  now += Millis(1);
  BOOST_TEST(Next()->fencing_number == 6U);
}

BOOST_FIXTURE_TEST_CASE(usage_reports_go_first_and_each_is_sent_until_accepted,
                        Holder) {
  SetServers(3);
  Close(110);
  Close(111);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 110);
  BOOST_TEST(Call(DutyOutcome::kNoAnswer) == 111);
  BOOST_TEST(!Next().has_value());
  now += Millis(100);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 111);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 3);
  BOOST_TEST(!Next().has_value());
  BOOST_TEST((scheduler.FinishedWindows(log) == std::vector{110UL, 111UL}));
}

// Guards against a queue of old reports that delays new ones after a failure of
// the platform.
BOOST_FIXTURE_TEST_CASE(reports_older_than_a_minute_are_dropped, Holder) {
  Close(100);
  Close(111);
  unix_ms = 505'000 + 60'001;
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 111);
  BOOST_TEST(!Next().has_value());
}

BOOST_FIXTURE_TEST_CASE(a_rejected_report_delays_no_other, Holder) {
  Close(110);
  Close(111);
  BOOST_TEST(Call(DutyOutcome::kRefused) == 110);
  now += Millis(100);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 111);
  BOOST_TEST(!Next().has_value());
  now += Millis(1900);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 110);
}

BOOST_FIXTURE_TEST_CASE(retries_back_off_up_to_two_seconds, Holder) {
  Close(110);
  for (const int delay : {100, 200, 400, 800, 1600, 2000, 2000}) {
    BOOST_TEST(Call(DutyOutcome::kBusy) == 110);
    now += Millis(delay - 1);
    BOOST_TEST(!Next().has_value());
    now += Millis(1);
  }
}

// Guards against a former holder that goes on calling with its old number.
BOOST_FIXTURE_TEST_CASE(an_outdated_holder_calls_no_more_until_a_new_term,
                        Holder) {
  SetServers(3);
  Close(110);
  BOOST_TEST(Call(DutyOutcome::kOutdated) == 110);
  BOOST_TEST(Call(DutyOutcome::kOutdated) == 3);
  now += Millis(20'000);
  BOOST_TEST(!Next().has_value());
  scheduler.OnLeader(5, now);
  now += Millis(3300);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 110);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 3);
}

BOOST_FIXTURE_TEST_CASE(a_changed_number_is_sent_at_most_once_a_second,
                        Holder) {
  SetServers(3);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 3);
  SetServers(4);
  now += Millis(999);
  BOOST_TEST(!Next().has_value());
  now += Millis(1);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 4);
  now += Millis(1000);
  BOOST_TEST(!Next().has_value());
}

// Guards against a call that is executed after a newer one and undoes it.
BOOST_FIXTURE_TEST_CASE(after_a_call_without_answer_the_number_is_sent_again,
                        Holder) {
  SetServers(3);
  BOOST_TEST(Call(DutyOutcome::kNoAnswer) == 3);
  SetServers(4);
  now += Millis(1000);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 4);
  now += Millis(3999);
  BOOST_TEST(!Next().has_value());
  now += Millis(1);
  BOOST_TEST(Call(DutyOutcome::kAccepted) == 4);
  now += Millis(60'000);
  BOOST_TEST(!Next().has_value());
}

BOOST_FIXTURE_TEST_CASE(four_fifths_of_the_platforms_rate_are_used, Holder) {
  for (int i = 0; i < 300; ++i) {
    targets.push_back(
        {routes::ServiceId("s" + std::to_string(i)), DomainId("d"), 1});
  }
  std::vector<TimePoint> sent;
  for (int i = 0; i < 3000; ++i, now += Millis(1)) {
    if (Call(DutyOutcome::kAccepted) != 0)
      sent.push_back(now);
  }
  BOOST_TEST(sent.size() == 120U);
  for (std::size_t i = 40; i < sent.size(); ++i)
    BOOST_TEST((sent[i] - sent[i - 40] >= Millis(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::duties
