#include "endivecart/duties/usage_log.h"

#include <boost/test/unit_test.hpp>

#include "endivecart/duties/window_closer.h"

namespace endivecart::duties {
namespace {

wire::CloseUsageWindowCommand Close(std::uint64_t window,
                                    std::uint64_t requests) {
  wire::CloseUsageWindowCommand command;
  *command.mutable_window() =
      ToWire(UsageWindow{window, {{CustomerId("a"), requests}}});
  return command;
}

BOOST_AUTO_TEST_SUITE(usage_log, *boost::unit_test::label("duties"))

// Guards against two reports of a window with different counts.
BOOST_AUTO_TEST_CASE(the_first_command_for_a_window_fixes_its_counts) {
  UsageLog log;
  BOOST_TEST(log.Apply(Close(7, 1)));
  BOOST_TEST(!log.Apply(Close(7, 2)));
  BOOST_TEST(log.windows().at(7).window.counts.at(CustomerId("a")) == 1U);
}

// Guards against a window that was reported, forgotten and closed again.
BOOST_AUTO_TEST_CASE(a_window_older_than_all_kept_cannot_be_closed) {
  UsageLog log;
  for (std::uint64_t window = 1; window <= UsageLog::kKeptWindows + 1; ++window)
    BOOST_TEST(log.Apply(Close(window, 1)));
  BOOST_TEST(log.windows().size() == UsageLog::kKeptWindows);
  BOOST_TEST(!log.Apply(Close(1, 2)));
  BOOST_TEST(!log.windows().contains(1));
}

BOOST_AUTO_TEST_CASE(a_snapshot_holds_the_counts_and_what_is_finished) {
  UsageLog log;
  log.Apply(Close(1, 5));
  wire::CloseUsageWindowCommand command = Close(2, 6);
  command.add_finished_windows(1);
  log.Apply(command);
  wire::FleetDecisions snapshot;
  log.AddTo(snapshot);
  const UsageLog restored = UsageLog::FromSnapshot(snapshot);
  BOOST_TEST((restored == log));
  BOOST_TEST(restored.windows().at(1).is_finished);
  BOOST_TEST(!restored.windows().at(2).is_finished);
}

struct Closing {
  std::optional<ClosingDecision> At(std::uint64_t unix_ms,
                                    std::uint64_t first_window = 0) {
    const UsageSource source{
        [this](std::uint64_t window) {
          return known.contains(window)
                     ? std::optional(std::map<CustomerId, std::uint64_t>{
                           {CustomerId("a"), window}})
                     : std::nullopt;
        },
        [this](std::uint64_t) { return is_complete; }};
    return NextWindowToClose({}, log, source, {CustomerId("b")}, first_window,
                             unix_ms);
  }

  UsageLog log;
  std::set<std::uint64_t> known{100, 101, 102};
  bool is_complete = false;
};

BOOST_FIXTURE_TEST_CASE(a_window_closes_once_complete_or_before_it_is_due,
                        Closing) {
  BOOST_TEST(!At(505'000 + 5'999).has_value());
  const auto due = At(505'000 + 6'000);
  BOOST_REQUIRE(due.has_value());
  BOOST_TEST(due->window.number == 100U);
  BOOST_TEST(due->reason == "due");
  // A customer without requests is reported too.
  BOOST_TEST(due->window.counts.at(CustomerId("b")) == 0U);
  is_complete = true;
  BOOST_TEST(At(505'000)->reason == "complete");
  BOOST_TEST(!At(504'999).has_value());  // has not ended
  log.Apply(Close(100, 1));
  BOOST_TEST(At(512'000)->window.number == 101U);
}

// Guards against incomplete reports, which can't be corrected.
BOOST_FIXTURE_TEST_CASE(unknown_old_and_early_windows_are_not_closed, Closing) {
  is_complete = true;
  BOOST_TEST(At(512'000, 101)->window.number == 101U);
  BOOST_TEST(At(505'000 + 60'000)->window.number == 101U);
  known = {99, 102};
  BOOST_TEST(At(515'000, 100)->window.number == 102U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::duties
