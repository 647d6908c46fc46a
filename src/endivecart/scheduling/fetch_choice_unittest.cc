#include <boost/test/unit_test.hpp>

#include "endivecart/scheduling/scheduling.h"

namespace endivecart::scheduling {
namespace {

// Prefill of 66 tokens a ms, and a link that transfers 70.
constexpr FetchTarget kIdle{0, 0, 1.0 / 66};

FetchablePart Stored(std::int64_t tokens,
                     double wait_ms,
                     std::size_t link = 0) {
  return {tokens, false, {{link, wait_ms, 1, 1.0 / 70}}};
}

BOOST_AUTO_TEST_SUITE(scheduling_fetches,
                      *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(a_long_part_is_fetched_if_its_link_is_free) {
  const auto choice = ChooseFetches({Stored(500, 0), Stored(11000, 0)}, kIdle);
  BOOST_TEST(choice.sources.at(1).has_value());
  BOOST_TEST(choice.fetched_tokens >= 11000);
}

// Covers a long transfer before a short prompt.
BOOST_AUTO_TEST_CASE(a_short_prompt_does_not_wait_behind_a_long_transfer) {
  const auto choice =
      ChooseFetches({Stored(300, 200), Stored(1300, 200)}, kIdle);
  BOOST_TEST(!choice.HasFetches());
  BOOST_TEST(choice.prefill_tokens == 1600);
  BOOST_TEST(choice.transfer_ms == 0);
}

BOOST_AUTO_TEST_CASE(a_part_at_a_busy_link_is_prefilled_beside_a_fetched_one) {
  const auto choice =
      ChooseFetches({Stored(11000, 0, 0), Stored(500, 400, 1)}, kIdle);
  BOOST_TEST(choice.sources.at(0).has_value());
  BOOST_TEST(!choice.sources.at(1).has_value());
  BOOST_TEST(choice.prefill_tokens == 500);
}

BOOST_AUTO_TEST_CASE(a_transfer_costs_nothing_while_others_are_prefilled) {
  const FetchTarget busy{0, 300, 1.0 / 66};
  const auto choice =
      ChooseFetches({Stored(300, 200), Stored(1300, 200)}, busy);
  BOOST_TEST(choice.fetched_tokens == 1600);
  BOOST_TEST(choice.prefill_tokens == 0);
}

BOOST_AUTO_TEST_CASE(the_source_that_ends_sooner_is_used) {
  FetchablePart part = Stored(11000, 50);
  part.sources.push_back({1, 0, 1, 1.0 / 70});
  BOOST_TEST(ChooseFetches({part}, kIdle).sources.at(0).value() == 1u);
}

BOOST_AUTO_TEST_CASE(a_part_without_a_store_or_in_memory_is_not_fetched) {
  FetchablePart cached = Stored(11000, 0);
  cached.is_cached = true;
  const auto choice = ChooseFetches({cached, {700, false, {}}}, kIdle);
  BOOST_TEST(!choice.HasFetches());
  BOOST_TEST(choice.prefill_tokens == 700);
}

// Guards against missed latency targets when the links of some stores become
// slow and fetches queue up there.
BOOST_AUTO_TEST_CASE(a_late_fetch_is_given_up_while_prefill_meets_the_target) {
  const auto limit = [](double expected, double prefill, int left) {
    return FetchTimeLimit(expected, prefill, 50, Millis(left), Millis(2000))
        .count();
  };
  // Whatever the engine then does, the target is met.
  for (const int left : {300, 500, 800, 1500}) {
    for (const double prefill : {25.0, 40.0, 90.0})
      BOOST_TEST(limit(30, prefill, left) + prefill + 50 <= left);
  }
  // A short prompt does not wait for long even if its target is far.
  BOOST_TEST(limit(30, 25, 60000) == 100);
  // Prefill can't meet the target, or there is none: waiting costs at most as
  // much as it may save.
  BOOST_TEST(limit(400, 170, 450) == 740);
  BOOST_TEST(limit(400, 170, -100) == 740);
  BOOST_TEST(FetchTimeLimit(400, 170, 50, std::nullopt, Millis(2000)).count() ==
             740);
  BOOST_TEST(
      FetchTimeLimit(4000, 900, 50, std::nullopt, Millis(2000)).count() ==
      2000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::scheduling
