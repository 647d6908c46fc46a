#include <boost/test/unit_test.hpp>

#include "endivecart/duties/duties.h"

namespace endivecart::duties {
namespace {

constexpr Millis kWindow{5000};
constexpr std::uint64_t kUnixMs = 500000;  // the start of window 100
const CustomerId kCustomer("c");

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

// A host that has been told the time.
struct Counting {
  Counting() { counter.OnTime(kUnixMs, At(0), At(0)); }

  UsageCounter counter{kWindow};
};

BOOST_FIXTURE_TEST_SUITE(duties_usage_counter,
                         Counting,
                         *boost::unit_test::label("duties"))

BOOST_AUTO_TEST_CASE(requests_are_counted_in_the_window_in_which_they_began) {
  counter.Count(kCustomer, At(4999));
  counter.Count(kCustomer, At(5000));
  counter.Count(kCustomer, At(5001));
  const auto report = counter.ReportSince(0, At(6000), At(6000)).value();
  BOOST_CHECK((report.entries == std::vector<UsageEntry>{{100, kCustomer, 1},
                                                         {101, kCustomer, 2}}));
  BOOST_TEST(report.complete_until_ms == kUnixMs + 6000);
}

// A lost poll changes nothing: only what was answered is left out.
BOOST_AUTO_TEST_CASE(only_sums_that_changed_since_are_reported) {
  counter.Count(kCustomer, At(100));
  const auto first = counter.ReportSince(0, At(200), At(200)).value();
  counter.Count(CustomerId("d"), At(300));
  const auto second =
      counter.ReportSince(first.change, At(400), At(400)).value();
  BOOST_CHECK(
      (second.entries == std::vector<UsageEntry>{{100, CustomerId("d"), 1}}));
  BOOST_TEST(counter.ReportSince(0, At(400), At(400))->entries.size() == 2u);
  BOOST_TEST(
      counter.ReportSince(second.change, At(500), At(500))->entries.empty());
}

BOOST_AUTO_TEST_CASE(windows_are_reported_for_the_retention_time) {
  counter.Count(kCustomer, At(100));
  BOOST_TEST(counter.ReportSince(0, At(35000), At(35000))->entries.size() ==
             1u);
  BOOST_TEST(counter.ReportSince(0, At(35001), At(35001))->entries.empty());
}

// Guards against windows that are closed before the answers of the requests
// that began in them.
BOOST_AUTO_TEST_CASE(a_report_is_complete_up_to_the_oldest_uncounted_request) {
  const auto report = counter.ReportSince(0, At(4000), At(6000)).value();
  BOOST_TEST(report.complete_until_ms == kUnixMs + 4000);
  counter.Count(kCustomer, At(4000));
  const auto next = counter.ReportSince(0, At(6100), At(6100)).value();
  BOOST_CHECK((next.entries == std::vector<UsageEntry>{{100, kCustomer, 1}}));
}

BOOST_AUTO_TEST_CASE(requests_before_the_time_is_known_are_counted_in_order) {
  UsageCounter fresh(kWindow);
  fresh.Count(kCustomer, At(-2000));
  fresh.Count(kCustomer, At(1000));
  BOOST_TEST(!fresh.ReportSince(0, At(1000), At(1000)).has_value());
  fresh.OnTime(0, At(1000), At(1000));
  BOOST_CHECK(
      (fresh.ReportSince(0, At(1000), At(1000)).value() == UsageReport()));
  fresh.OnTime(kUnixMs + 2000, At(2000), At(2000));
  const auto report = fresh.ReportSince(0, At(2000), At(2000)).value();
  BOOST_CHECK((report.entries == std::vector<UsageEntry>{{99, kCustomer, 1},
                                                         {100, kCustomer, 1}}));
}

BOOST_AUTO_TEST_CASE(nothing_is_counted_where_nobody_wants_it) {
  counter.OnTime(std::nullopt, At(100), At(100));
  counter.Count(kCustomer, At(100));
  BOOST_TEST(!counter.ReportSince(0, At(200), At(200)).has_value());
  counter.OnTime(kUnixMs + 300, At(300), At(300));
  BOOST_TEST(counter.ReportSince(0, At(300), At(300))->entries.empty());
}

BOOST_AUTO_TEST_CASE(a_late_answer_does_not_change_the_time) {
  counter.OnTime(kUnixMs, At(1000), At(3000));
  counter.Count(kCustomer, At(5000));
  const auto report = counter.ReportSince(0, At(5000), At(5000)).value();
  BOOST_TEST(report.entries.at(0).window == 101u);
  counter.OnTime(kUnixMs + 6000, At(5900), At(6100));
  BOOST_TEST(counter.ReportSince(0, At(6100), At(6100))->complete_until_ms ==
             kUnixMs + 6100);
}

// Guards against counts for a window that was reported as complete.
BOOST_AUTO_TEST_CASE(a_corrected_time_changes_no_complete_window) {
  counter.ReportSince(0, At(5100), At(5100));
  counter.OnTime(kUnixMs + 4900, At(5200), At(5200));
  counter.Count(kCustomer, At(5200));
  const auto report = counter.ReportSince(0, At(5200), At(5200)).value();
  BOOST_TEST(report.entries.at(0).window == 101u);
  BOOST_TEST(report.complete_until_ms == kUnixMs + 5100);
  // One that was hours ahead doesn't stop the windows.
  counter.OnTime(kUnixMs + 7200000, At(5300), At(5300));
  counter.ReportSince(0, At(5300), At(5300));
  counter.OnTime(kUnixMs + 5400, At(5400), At(5400));
  BOOST_TEST(counter.ReportSince(0, At(5400), At(5400))->complete_until_ms ==
             kUnixMs + 5400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::duties
