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
