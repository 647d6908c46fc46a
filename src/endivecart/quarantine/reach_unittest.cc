#include <boost/test/unit_test.hpp>

#include "endivecart/quarantine/quarantine.h"

namespace endivecart::quarantine {
namespace {

constexpr Millis kStep{50};

// One host's probes, answered after a while as long as its links are up.
struct ProbedHost {
  void Step() {
    now += kStep;
    for (const std::string& service : reach.ServicesToProbe(now)) {
      reach.BeginProbes(service, ReachMonitor::kProbes, now);
      rounds.push_back(now);
    }
    while (!rounds.empty() &&
           (links_up || now - rounds.front() >= ReachMonitor::kProbeTimeout)) {
      for (std::size_t i = 0; i < ReachMonitor::kProbes; ++i)
        reach.OnProbe("s", i < probes_that_connect || links_up, now);
      rounds.erase(rounds.begin());
      ++ended_rounds;
    }
  }
  void Run(Millis time) {
    for (Millis passed{0}; passed < time; passed += kStep)
      Step();
  }
  bool IsCutOff() const { return reach.CutOffSince("s").has_value(); }

  ReachMonitor reach;
  TimePoint now = TimePoint(Millis(100000));
  bool links_up = true;
  std::size_t probes_that_connect = 0;
  std::vector<TimePoint> rounds;  // begun and not ended
  int ended_rounds = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(quarantine_reach,
                         ProbedHost,
                         *boost::unit_test::label("quarantine"))

BOOST_AUTO_TEST_CASE(a_host_whose_links_fail_is_cut_off_within_a_second) {
  reach.OnData("s", now);
  links_up = false;
  reach.OnUnreachable("s", now);
  Run(Millis(1000));
  BOOST_TEST(IsCutOff());
  BOOST_TEST(reach.Report(now).size() == 1u);
  BOOST_TEST(reach.Report(now)[0].is_cut_off);
}

BOOST_AUTO_TEST_CASE(silent_connections_lead_to_probes) {
  links_up = false;
  const TimePoint sent_at = now;
  for (int i = 0; i < 20; ++i) {
    reach.OnWaiting("s", sent_at, now);
    Step();
  }
  BOOST_TEST(IsCutOff());
}

BOOST_AUTO_TEST_CASE(one_upstream_that_fails_or_is_silent_is_no_cut) {
  reach.OnUnreachable("s", now);
  Run(Millis(500));
  BOOST_TEST(!IsCutOff());
  BOOST_TEST(ended_rounds == 1);
  links_up = false;  // for two of the three probes
  probes_that_connect = 1;
  reach.OnUnreachable("s", now);
  Run(Millis(2000));
  BOOST_TEST(!IsCutOff());
}

BOOST_AUTO_TEST_CASE(established_connections_that_live_do_not_end_a_cut) {
  links_up = false;
  reach.OnUnreachable("s", now);
  Run(Millis(1000));
  reach.OnData("s", now);
  BOOST_TEST(IsCutOff());
  links_up = true;
  Run(Millis(500));
  BOOST_TEST(!IsCutOff());
}

BOOST_AUTO_TEST_CASE(a_cut_ends_with_the_first_new_connection_after_it) {
  links_up = false;
  reach.OnUnreachable("s", now);
  Run(Millis(1000));
  reach.OnConnected("s", now - Millis(5000));  // opened before it
  BOOST_TEST(IsCutOff());
  reach.OnConnected("s", now);
  BOOST_TEST(!IsCutOff());
}

BOOST_AUTO_TEST_CASE(probes_are_few) {
  links_up = false;
  reach.OnUnreachable("s", now);
  Run(Millis(10000));
  BOOST_TEST(ended_rounds <= 10000 / ReachMonitor::kProbeInterval.count());
  BOOST_TEST(IsCutOff());
  BOOST_TEST(!reach.CutOffSince("other").has_value());
}

BOOST_AUTO_TEST_CASE(services_that_are_not_used_are_forgotten) {
  for (int i = 0; i < 100; ++i)
    reach.OnData("s" + std::to_string(i), now);
  now += ReachMonitor::kMemory + Millis(1);
  reach.Expire(now);
  BOOST_TEST(reach.Report(now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::quarantine
