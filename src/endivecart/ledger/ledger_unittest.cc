#include <boost/test/unit_test.hpp>

#include "endivecart/ledger/ledger.h"

namespace endivecart::ledger {
namespace {

constexpr std::uint64_t kDayMs = 24ULL * 3600 * 1000;

ClaimRequest Make(const char* claim_id, const char* digest = "d") {
  return {{CustomerId("c"), "k"}, digest, HostId("h"), claim_id};
}

BOOST_AUTO_TEST_SUITE(ledger_state, *boost::unit_test::label("ledger"))

BOOST_AUTO_TEST_CASE(
    a_key_is_granted_to_one_claim_and_again_to_the_same_claim) {
  LedgerState ledger;
  BOOST_TEST((ledger.Claim(Make("1"), 1).state == ClaimState::kGranted));
  BOOST_TEST((ledger.Claim(Make("1"), 1).state == ClaimState::kGranted));
  BOOST_TEST((ledger.Claim(Make("2"), 1).state == ClaimState::kRunning));
  BOOST_TEST(
      (ledger.Claim(Make("3", "other"), 1).state == ClaimState::kMismatch));
}

BOOST_AUTO_TEST_CASE(a_finished_call_returns_its_stored_response) {
  LedgerState ledger;
  ledger.Claim(Make("1"), 1);
  ledger.Finish(Make("1").key, "1", {201, "text/plain", "done"}, 2);
  const ClaimResult again = ledger.Claim(Make("2"), 3);
  BOOST_TEST((again.state == ClaimState::kFinished));
  BOOST_TEST(again.answer.body == "done");
}

BOOST_AUTO_TEST_CASE(a_released_claim_is_never_granted_even_if_it_comes_later) {
  LedgerState ledger;
  ledger.Release(Make("1").key, "1", 1);
  BOOST_TEST((ledger.Claim(Make("1"), 2).state == ClaimState::kUnknown));
  BOOST_TEST((ledger.Claim(Make("2"), 3).state == ClaimState::kGranted));
}

BOOST_AUTO_TEST_CASE(
    claims_of_a_host_that_is_down_are_unknown_until_it_reports) {
  LedgerState ledger;
  ledger.Claim(Make("1"), 1);
  ledger.OnHostDown(HostId("h"), 2);
  BOOST_TEST((ledger.Claim(Make("2"), 3).state == ClaimState::kUnknown));
  ledger.Finish(Make("1").key, "1", {200, "", "late"}, 4);
  BOOST_TEST((ledger.Claim(Make("3"), 5).state == ClaimState::kFinished));
}

BOOST_AUTO_TEST_CASE(the_end_of_another_claim_changes_nothing) {
  LedgerState ledger;
  ledger.Claim(Make("1"), 1);
  ledger.Finish(Make("1").key, "2", {200, "", "x"}, 2);
  ledger.Release(Make("1").key, "2", 2);
  BOOST_TEST((ledger.Claim(Make("3"), 3).state == ClaimState::kRunning));
}

BOOST_AUTO_TEST_CASE(records_are_removed_only_after_their_retention) {
  LedgerState ledger;
  ledger.Claim(Make("1"), 0);
  ledger.Compact(100 * kDayMs);
  BOOST_TEST(ledger.size() == 1U);  // still running
  ledger.Finish(Make("1").key, "1", {200, "", "x"}, 0);
  ledger.Compact(kDayMs);
  BOOST_TEST(ledger.size() == 1U);
  ledger.Compact(kDayMs + 1);
  BOOST_TEST(ledger.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_restored_ledger_returns_the_same_results) {
  LedgerState ledger;
  ledger.Claim(Make("1"), 1);
  ledger.Release(Make("9").key, "9", 1);
  LedgerState restored;
  restored.Restore(ledger.Records(), ledger.given_up());
  BOOST_TEST((restored.Claim(Make("2"), 2).state == ClaimState::kRunning));
  BOOST_TEST((restored.Claim(Make("9"), 2).state == ClaimState::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::ledger
