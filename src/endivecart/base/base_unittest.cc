#include <boost/test/unit_test.hpp>

#include "endivecart/base/base.h"

namespace endivecart {
namespace {

BOOST_AUTO_TEST_SUITE(base_log_budget, *boost::unit_test::label("base"))

BOOST_AUTO_TEST_CASE(lines_beyond_the_limit_are_suppressed_and_counted) {
  LogRateLimiter limiter(10);
  int written = 0;
  for (int i = 0; i < 100; ++i)
    written += limiter.TryAcquire(5000 + i) ? 1 : 0;
  BOOST_TEST(written == 10);
  BOOST_TEST(limiter.TakeSuppressedCount(5500) ==
             0u);  // the second has not ended
  BOOST_TEST(limiter.TakeSuppressedCount(6000) == 90u);
  BOOST_TEST(limiter.TryAcquire(6000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(basics, *boost::unit_test::label("base"))

BOOST_AUTO_TEST_CASE(manual_timers_run_callbacks_in_order_of_due_time) {
  ManualTimerService timer;
  std::string order;
  const auto slow = timer.Every(Millis(30), [&](TimePoint) { order += 's'; });
  auto fast = timer.Every(Millis(10), [&](TimePoint) { order += 'f'; });
  timer.Advance(Millis(25));
  BOOST_TEST(order == "ff");
  timer.Advance(Millis(10));
  BOOST_TEST(order.size() == 4U);
  fast.reset();
  timer.Advance(Millis(20));
  BOOST_TEST(order.size() == 4U);
  timer.Advance(Millis(10));
  BOOST_TEST(order.size() == 5U);
}

BOOST_AUTO_TEST_CASE(quantiles_are_accurate_to_one_bucket) {
  LatencyHistogram histogram;
  for (int i = 1; i <= 1000; ++i)
    histogram.Record(i);
  BOOST_TEST(histogram.Count() == 1000U);
  BOOST_TEST(histogram.Quantile(0.5) >= 500);
  BOOST_TEST(histogram.Quantile(0.5) <= 560);
  BOOST_TEST(histogram.Quantile(0.99) >= 990);
  BOOST_TEST(LatencyHistogram().Quantile(0.5) == 0);
}

BOOST_AUTO_TEST_CASE(names_from_outside_are_bounded_plain_text) {
  for (const char* name : {"i-1", "k\xC3\xBC", "a b", "\xF0\x9F\x8D\x83"})
    BOOST_TEST(AcceptName(InputSource::kOperator, "id", name));
  for (const char* name :
       {"", "k\xFC", "a\x01", "a\x7F", "a\n", "\xC2\x80", "\xC0\x80",
        "\xED\xA0\x80", "\xF4\x90\x80\x80", "\xC3"}) {
    BOOST_TEST(!AcceptName(InputSource::kOperator, "id", name));
  }
  const std::string longest(kMaxNameBytes, 'a');
  BOOST_TEST(AcceptName(InputSource::kOperator, "id", longest));
  BOOST_TEST(!AcceptName(InputSource::kOperator, "id", longest + "a"));
  // A peer adds a number to it.
  BOOST_TEST(AcceptName(InputSource::kPeer, "run", longest + "/1"));
}

BOOST_AUTO_TEST_CASE(a_rejection_is_counted_and_logged_once_a_minute) {
  RejectedInputMonitor monitor;
  std::vector<std::string> lines;
  SetLogSinkForTest([&](const std::string& line) { lines.push_back(line); });
  for (int i = 0; i < 3; ++i)
    monitor.Record(InputSource::kPeer, "upstream", "k\xFC");
  SetLogSinkForTest(nullptr);
  BOOST_TEST(monitor.Count(InputSource::kPeer) == 3u);
  BOOST_TEST(monitor.Count(InputSource::kCaller) == 0u);
  BOOST_REQUIRE(lines.size() == 1u);
  BOOST_TEST(lines[0] ==
             "event=input.rejected source=peer field=upstream "
             "text=k\xEF\xBF\xBD count=1");
}

BOOST_AUTO_TEST_CASE(log_values_are_valid_text_of_limited_length) {
  std::string seen;
  SetLogSinkForTest([&](const std::string& line) { seen = line; });
  LogLine("event").Add("a", "k\xFC").Add("b", std::string(100000, 'x')).Info();
  SetLogSinkForTest(nullptr);
  BOOST_TEST(seen.starts_with("event=event a=\"k\xEF\xBF\xBD\" b="));
  BOOST_TEST(seen.size() < 2200u);
}

BOOST_AUTO_TEST_CASE(metric_labels_are_escaped) {
  BOOST_TEST(MetricLabel("id", "a\"b\\c\nd") == "id=\"a\\\"b\\\\c\\nd\"");
}

BOOST_AUTO_TEST_CASE(log_values_can_not_forge_fields_or_lines) {
  std::string seen;
  SetLogSinkForTest([&](const std::string& line) { seen = line; });
  LogLine("event").Add("key", "a b\nlevel=ERROR \"x\"").Add("n", 3).Info();
  SetLogSinkForTest(nullptr);
  BOOST_TEST(seen == "event=event key=\"a b level=ERROR \\\"x\\\"\" n=3");
}

BOOST_AUTO_TEST_CASE(field_boundaries_change_the_digest_of_a_list) {
  BOOST_TEST(Sha256HexOfFields({"ab", "c"}) != Sha256HexOfFields({"a", "bc"}));
  // Digests are kept and sent to other hosts, so they mustn't change.
  BOOST_TEST(Sha256HexOfFields({"ab", "", "c"}) == Sha256Hex("2:ab0:1:c"));
  BOOST_TEST(Sha256Hex("abc").substr(0, 8) == "ba7816bf");
  BOOST_TEST(ConstantTimeEqual("abc", "abc"));
  BOOST_TEST(!ConstantTimeEqual("abc", "abd"));
  BOOST_TEST(!ConstantTimeEqual("abc", "ab"));
}

BOOST_AUTO_TEST_CASE(a_list_is_split_at_its_commas) {
  BOOST_TEST(SplitAtCommas("").empty());
  BOOST_TEST((SplitAtCommas("a,b") == std::vector<std::string>{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(a_violation_is_counted_and_reported_once) {
  const auto before =
      InvariantMonitor::Get().Violations(Invariant::kGracefulStop);
  int reports = 0;
  InvariantMonitor::Get().SetHandler([&](auto...) { ++reports; });
  BOOST_TEST(CheckInvariant(true, Invariant::kGracefulStop, "x"));
  BOOST_TEST(!CheckInvariant(false, Invariant::kGracefulStop, "x"));
  InvariantMonitor::Get().SetHandler(nullptr);
  BOOST_TEST(reports == 1);
  BOOST_TEST(InvariantMonitor::Get().Violations(Invariant::kGracefulStop) ==
             before + 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart
