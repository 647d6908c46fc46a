#include <boost/test/unit_test.hpp>

#include "endivecart/fleet/fleet.h"

namespace endivecart::fleet {
namespace {

constexpr Millis kLifetime{10000};

TimePoint At(Millis time) {
  return TimePoint(Millis(1'000'000) + time);
}

bool NeverIncomplete(std::uint64_t) {
  return false;
}

using Ruling = CacheSaveLedger::Ruling;

struct Ledger {
  Ledger() {
    ledger.SetRequestLimit(kLifetime);
    ledger.OnLeadershipGained(false, At(Millis(0)));
    ledger.OnListed(part.store, At(Millis(0)), NeverIncomplete);
    ledger.OnListed(2, At(Millis(0)), NeverIncomplete);
  }

  bool Grant(Millis at, const CacheSaveLedger::Claim& claim) {
    return ledger.Grant(part, claim, kLifetime, At(at)) == Ruling::kGranted;
  }

  const CacheSaveLedger::Part part{7, 1};
  const CacheSaveLedger::Claim first{HostId("a"), 1};
  const CacheSaveLedger::Claim second{HostId("b"), 1};
  CacheSaveLedger ledger;
};

BOOST_AUTO_TEST_SUITE(fleet_save_ledger, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(a_part_has_one_save_at_a_time, Ledger) {
  BOOST_TEST(Grant(Millis(0), first));
  BOOST_TEST(!Grant(Millis(1), second));
  BOOST_TEST(!Grant(Millis(2), first));
  BOOST_CHECK(ledger.Grant({7, 2}, second, kLifetime, At(Millis(3))) ==
              Ruling::kGranted);
}

// Guards against MIXED: a save that had ended without a trace in the catalogue
// may have stored the part all the same.
BOOST_FIXTURE_TEST_CASE(another_save_needs_a_list_that_is_newer_than_the_last,
                        Ledger) {
  BOOST_TEST(Grant(Millis(0), first));
  ledger.Release(part, first, true, At(Millis(1000)));
  const Millis ended = Millis(1000) + CacheSaveLedger::kTransferWait;
  ledger.OnListed(part.store, At(ended - Millis(1)), NeverIncomplete);
  BOOST_CHECK(ledger.Grant(part, second, kLifetime, At(ended)) ==
              Ruling::kNeedsList);
  ledger.OnListed(part.store + 1, At(ended), NeverIncomplete);
  BOOST_TEST(!Grant(ended + Millis(100), second));
  ledger.OnListed(part.store, At(ended),
                  [](std::uint64_t key) { return key == 7; });
  BOOST_TEST(!Grant(ended + Millis(100), second));
  ledger.OnListed(part.store, At(ended), NeverIncomplete);
  BOOST_TEST(Grant(ended + Millis(100), second));
}

BOOST_FIXTURE_TEST_CASE(a_part_that_was_complete_may_be_saved_again, Ledger) {
  BOOST_TEST(Grant(Millis(0), first));
  ledger.OnComplete(part);
  BOOST_TEST(!Grant(Millis(1), second));  // the request still runs
  ledger.Release(part, first, true, At(Millis(1000)));
  BOOST_TEST(Grant(Millis(1000) + CacheSaveLedger::kTransferWait, second));
  ledger.Release(part, second, true, At(Millis(4000)));
  BOOST_TEST(!Grant(Millis(9000), first));
}

BOOST_FIXTURE_TEST_CASE(a_save_that_was_never_sent_is_granted_to_the_next,
                        Ledger) {
  BOOST_TEST(Grant(Millis(0), first));
  ledger.Release(part, second, false, At(Millis(1)));  // not its claim
  BOOST_TEST(!Grant(Millis(2), second));
  ledger.Release(part, first, false, At(Millis(3)));
  BOOST_TEST(Grant(Millis(4), second));
}

BOOST_FIXTURE_TEST_CASE(a_save_whose_host_is_lost_ends_with_its_lifetime,
                        Ledger) {
  BOOST_TEST(Grant(Millis(0), first));
  ledger.OnListed(part.store, At(kLifetime), NeverIncomplete);
  BOOST_TEST(!Grant(kLifetime, second));
  const Millis ended =
      kLifetime + CacheSaveLedger::kTransferWait + CacheSaveLedger::kMargin;
  ledger.OnListed(part.store, At(ended), NeverIncomplete);
  BOOST_TEST(Grant(ended, second));
}

// Guards against MIXED: a new leader doesn't know what the last one granted.
BOOST_FIXTURE_TEST_CASE(a_new_leader_grants_nothing_until_old_grants_expired,
                        Ledger) {
  ledger.OnLeadershipGained(true, At(Millis(0)));
  const Millis expired = ledger.Expiry();
  ledger.OnListed(part.store, At(expired - Millis(1)), NeverIncomplete);
  BOOST_TEST(!Grant(expired - Millis(1), first));
  // The last of them may have stored the part since.
  BOOST_TEST(!Grant(expired, first));
  ledger.OnListed(part.store, At(expired), NeverIncomplete);
  BOOST_TEST(Grant(expired, first));
}

struct Successor : Ledger {
  Successor() {
    ledger.StartWatching(false, At(Millis(-60000)));
    ledger.OnPoll(a, nullptr, At(Millis(-100)));
    ledger.OnPoll(b, nullptr, At(Millis(-50)));
    ledger.OnLeadershipGained(true, At(Millis(0)));
  }
  void List(Millis at) { ledger.OnListed(part.store, At(at), NeverIncomplete); }

  const CacheSaveLedger::HostRun a{HostId("a"), 1};
  const CacheSaveLedger::HostRun b{HostId("b"), 1};
  const std::vector<CacheSaveLedger::Outstanding> none;
};

BOOST_FIXTURE_TEST_CASE(a_new_leader_waits_only_until_all_hosts_have_reported,
                        Successor) {
  ledger.OnPoll(a, &none, At(Millis(100)));
  ledger.OnPoll(b, nullptr, At(Millis(150)));  // still follows the last leader
  List(Millis(200));
  BOOST_TEST(!Grant(Millis(250), first));
  ledger.OnPoll(b, &none, At(Millis(300)));
  BOOST_TEST(!Grant(Millis(350), first));  // the list is too old
  List(Millis(400));
  BOOST_TEST(Grant(Millis(450), first));
}

// Guards against MIXED: what an earlier leader granted is still outstanding.
BOOST_FIXTURE_TEST_CASE(a_new_leader_knows_the_saves_that_hosts_report,
                        Successor) {
  const std::vector<CacheSaveLedger::Outstanding> saves{
      {part, second, Millis(5000)}};
  ledger.OnPoll(a, &none, At(Millis(100)));
  ledger.OnPoll(b, &saves, At(Millis(100)));
  List(Millis(4000));
  BOOST_TEST(!Grant(Millis(4100), first));
  List(Millis(5100));
  BOOST_TEST(Grant(Millis(5200), first));
}

BOOST_FIXTURE_TEST_CASE(a_restarted_host_does_not_report_for_its_last_run,
                        Successor) {
  ledger.OnPoll(a, &none, At(Millis(100)));
  ledger.OnPoll({b.first, 2}, &none, At(Millis(200)));
  List(Millis(1000));
  BOOST_TEST(!Grant(Millis(1100), first));
}

// Guards against MIXED: a process that didn't know the request limit forgot a
// host that had been killed seconds before.
BOOST_AUTO_TEST_CASE(no_host_is_forgotten_before_the_request_limit_is_known) {
  const CacheSaveLedger::HostRun killed{HostId("a"), 1};
  const CacheSaveLedger::HostRun alive{HostId("b"), 1};
  CacheSaveLedger ledger;
  ledger.StartWatching(true, At(Millis(-60000)));
  ledger.OnPoll(killed, nullptr, At(Millis(-9000)));
  ledger.OnPoll(alive, nullptr, At(Millis(-100)));
  ledger.SetRequestLimit(kLifetime);
  ledger.OnLeadershipGained(true, At(Millis(0)));
  const std::vector<CacheSaveLedger::Outstanding> none;
  ledger.OnPoll(alive, &none, At(Millis(100)));
  ledger.OnListed(1, At(Millis(200)), NeverIncomplete);
  BOOST_CHECK(ledger.Grant({7, 1}, {HostId("b"), 1}, kLifetime,
                           At(Millis(300))) == Ruling::kDenied);
}

BOOST_FIXTURE_TEST_CASE(a_leader_that_has_just_started_knows_too_few_hosts,
                        Successor) {
  const auto is_granted_after_start = [this](bool is_first_start) {
    ledger.StartWatching(is_first_start, At(Millis(-5000)));
    ledger.OnLeadershipGained(true, At(Millis(0)));
    ledger.OnPoll(a, &none, At(Millis(100)));
    ledger.OnPoll(b, &none, At(Millis(100)));
    List(Millis(1000));
    return Grant(Millis(1100), first);
  };
  BOOST_TEST(!is_granted_after_start(false));
  BOOST_TEST(is_granted_after_start(true));
}

struct Restored : Ledger {
  // The host numbers its claims from its incarnation on.
  Restored() {
    const std::vector<CacheSaveLedger::Outstanding> logged{
        {part, {run.first, run.second + 1}, kLogged}};
    ledger.OnLeadershipGained(true, At(Millis(0)), &logged);
  }
  void List(Millis at) { ledger.OnListed(part.store, At(at), NeverIncomplete); }

  static constexpr Millis kLogged = CacheSaveLedger::GrantTime(kLifetime);
  const CacheSaveLedger::HostRun run{HostId("a"), 100};
  const std::vector<CacheSaveLedger::Outstanding> none;
};

BOOST_FIXTURE_TEST_CASE(a_leader_with_the_log_grants_after_the_next_list,
                        Restored) {
  BOOST_CHECK(ledger.Grant({8, 1}, second, kLifetime, At(Millis(100))) ==
              Ruling::kNeedsList);
  List(Millis(300));
  BOOST_CHECK(ledger.Grant({8, 1}, second, kLifetime, At(Millis(400))) ==
              Ruling::kGranted);
}

// Guards against MIXED: after a restart of all processes, a server may still
// carry out a save that the log has.
BOOST_FIXTURE_TEST_CASE(a_logged_save_may_begin_for_its_whole_lifetime,
                        Restored) {
  List(kLogged - Millis(1));
  BOOST_TEST(!Grant(kLogged - Millis(1), second));
  BOOST_TEST(!Grant(kLogged, second));
  List(kLogged);
  BOOST_TEST(Grant(kLogged, second));
}

BOOST_FIXTURE_TEST_CASE(a_logged_save_ends_with_its_part_in_the_stores_list,
                        Restored) {
  ledger.OnComplete(part);
  List(Millis(300));
  BOOST_TEST(ledger.TakeEnded(10, At(Millis(300))).size() == 1u);
  BOOST_TEST(Grant(Millis(400), second));
}

BOOST_FIXTURE_TEST_CASE(a_logged_save_that_its_host_does_not_report_has_ended,
                        Restored) {
  ledger.OnPoll(run, nullptr, At(Millis(50)));  // still follows the last leader
  ledger.OnPoll(run, &none, At(Millis(100)));
  const Millis ended = Millis(100) + CacheSaveLedger::kTransferWait;
  List(ended - Millis(1));
  BOOST_TEST(!Grant(ended, second));
  List(ended);
  BOOST_TEST(Grant(ended, second));
}

// Guards against MIXED: a restarted host doesn't know the saves of its last
// run.
BOOST_FIXTURE_TEST_CASE(a_logged_save_is_reported_by_its_own_run_only,
                        Restored) {
  ledger.OnPoll({run.first, 5000}, &none, At(Millis(100)));
  List(Millis(5000));
  BOOST_TEST(!Grant(Millis(5000), second));
}

BOOST_FIXTURE_TEST_CASE(a_logged_save_ends_when_its_host_says, Restored) {
  const std::vector<CacheSaveLedger::Outstanding> saves{
      {part, {run.first, run.second + 1}, Millis(4000)}};
  ledger.OnPoll(run, &saves, At(Millis(100)));
  List(Millis(4099));
  BOOST_TEST(!Grant(Millis(4099), second));
  List(Millis(4100));
  BOOST_TEST(Grant(Millis(4100), second));
}

BOOST_FIXTURE_TEST_CASE(a_save_that_may_begin_too_late_is_denied, Ledger) {
  BOOST_CHECK(ledger.Grant(part, first, kLifetime + Millis(1), At(Millis(0))) ==
              Ruling::kDenied);
}

BOOST_FIXTURE_TEST_CASE(the_number_of_grants_is_bounded, Ledger) {
  for (std::uint64_t key = 0; key < CacheSaveLedger::kMaxGrants; ++key)
    ledger.Grant({key, 2}, first, kLifetime, At(Millis(0)));
  BOOST_TEST(ledger.size() == CacheSaveLedger::kMaxGrants);
  BOOST_TEST(!Grant(Millis(0), first));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
