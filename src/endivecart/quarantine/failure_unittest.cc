#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "endivecart/quarantine/quarantine.h"

namespace endivecart::quarantine {
namespace {

constexpr Millis kStep{10};
constexpr Millis kPollInterval{250};
constexpr int kUpstreams = 10;

// Hosts in three domains that send requests to the upstreams, and control hosts
// of which each host polls one, on a manual clock. Upstream 0 may fail.
class SimulatedHosts {
 public:
  explicit SimulatedHosts(std::size_t count, std::size_t control_hosts = 1)
      : hosts(count), judges(control_hosts), control_of_(count, 0) {}

  static DomainId DomainOf(std::size_t host) {
    return DomainId(std::string(1, static_cast<char>('a' + host % 3)));
  }
  static std::string RunName(int upstream) {
    return "u" + std::to_string(upstream) + "/1";
  }
  bool IsFailing(std::size_t host, int upstream = 0) const {
    const HostRank rank{static_cast<int>(hosts.size()), static_cast<int>(host)};
    return hosts[host].IsFailing(RunName(upstream), DomainOf(host), rank, now);
  }
  // Sends a request from a random host to a random upstream, or to another one
  // if that is better avoided.
  void Send() {
    const std::size_t host = random_() % hosts.size();
    int upstream = static_cast<int>(random_() % kUpstreams);
    if (IsFailing(host, upstream)) {
      ++avoided;
      upstream = 1;
    }
    const bool fails = fails_for(host, upstream);
    sent_to_first += upstream == 0 ? 1 : 0;
    failures_ += fails ? 1 : 0;
    if (fails) {
      hosts[host].OnFailed(RunName(upstream), now);
    } else {
      hosts[host].OnAnswered(RunName(upstream), now);
      answered_at[{host, upstream}] = now;
    }
  }
  void Run(Millis time, int requests_per_step) {
    for (Millis passed{0}; passed < time; passed += kStep) {
      now += kStep;
      for (int i = 0; i < requests_per_step; ++i)
        Send();
      for (std::size_t host = 0; host < hosts.size(); ++host)
        MaybePoll(host);
    }
  }
  // Lets the host rely on another control host.
  void Switch(std::size_t host, std::size_t control) {
    control_of_[host] = control;
  }
  std::size_t HostsThatAvoid(int upstream = 0) const {
    std::size_t count = 0;
    for (std::size_t host = 0; host < hosts.size(); ++host)
      count += IsFailing(host, upstream) ? 1 : 0;
    return count;
  }
  int TakeFailures() { return std::exchange(failures_, 0); }

  TimePoint now = TimePoint(Millis(1000000));
  std::vector<FailureMonitor> hosts;
  std::vector<FailureJudge> judges;
  std::set<std::size_t> is_cut_off;  // from all upstreams, and says so
  std::function<bool(std::size_t host, int upstream)> fails_for =
      [](std::size_t, int) { return false; };
  std::map<std::pair<std::size_t, int>, TimePoint> answered_at;
  int sent_to_first = 0;
  int avoided = 0;

 private:
  // Polls are spread over the interval.
  void MaybePoll(std::size_t host) {
    const auto slots = static_cast<std::size_t>(kPollInterval / kStep);
    const auto slot =
        static_cast<std::size_t>(now.time_since_epoch() / kStep) % slots;
    if (host % slots != slot)
      return;
    FailureJudge& judge = judges[control_of_[host]];
    judge.OnReport(HostId("h" + std::to_string(host)), DomainOf(host),
                   hosts[host].Report(now), !is_cut_off.contains(host), now);
    hosts[host].Apply(judge.CurrentRuling(now), now);
  }

  std::vector<std::size_t> control_of_;
  int failures_ = 0;
  std::mt19937_64 random_{3};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(quarantine_failures,
                      *boost::unit_test::label("quarantine"))

// Guards against each host finding out by itself that an upstream fails.
BOOST_DATA_TEST_CASE(failures_of_all_hosts_count_together,
                     boost::unit_test::data::make({1, 6, 70, 300}),
                     count) {
  SimulatedHosts fleet(static_cast<std::size_t>(count));
  fleet.Run(Millis(1000), 5);
  fleet.fails_for = [](std::size_t, int upstream) { return upstream == 0; };
  fleet.Run(Millis(3000), 5);
  fleet.TakeFailures();
  fleet.Run(Millis(4000), 5);
  // A trial each half second, and another while its failure isn't known to all.
  BOOST_TEST(fleet.TakeFailures() <= 16);
}

BOOST_DATA_TEST_CASE(an_upstream_that_recovers_is_used_by_all_hosts_again,
                     boost::unit_test::data::make({1, 6, 70, 300}),
                     count) {
  SimulatedHosts fleet(static_cast<std::size_t>(count));
  fleet.fails_for = [](std::size_t, int upstream) { return upstream == 0; };
  fleet.Run(Millis(4000), 5);
  fleet.fails_for = [](std::size_t, int) { return false; };
  fleet.Run(FailureMonitor::kMemory, 5);
  BOOST_TEST(fleet.HostsThatAvoid() == 0u);
}

BOOST_DATA_TEST_CASE(without_requests_a_ruling_is_forgotten,
                     boost::unit_test::data::make({6, 300}),
                     count) {
  SimulatedHosts fleet(static_cast<std::size_t>(count));
  fleet.fails_for = [](std::size_t, int upstream) { return upstream == 0; };
  fleet.Run(Millis(2000), 5);
  BOOST_TEST(fleet.HostsThatAvoid() > 0u);
  fleet.Run(FailureMonitor::kMemory + 2 * kPollInterval, 0);
  BOOST_TEST(fleet.HostsThatAvoid() == 0u);
  BOOST_TEST((fleet.judges[0].CurrentRuling(fleet.now) == FailureRuling()));
}

// One request in five fails everywhere: no upstream is worse than others.
BOOST_DATA_TEST_CASE(upstreams_that_answer_too_are_not_avoided,
                     boost::unit_test::data::make({6, 70, 300}),
                     count) {
  SimulatedHosts fleet(static_cast<std::size_t>(count));
  std::mt19937_64 random(5);
  fleet.fails_for = [&](std::size_t, int) { return random() % 5 == 0; };
  fleet.Run(Millis(10000), 5);
  BOOST_TEST(fleet.avoided == 0);
}

BOOST_DATA_TEST_CASE(an_upstream_that_fails_for_some_hosts_is_used_by_others,
                     boost::unit_test::data::make({6, 70, 300}),
                     count) {
  SimulatedHosts fleet(static_cast<std::size_t>(count));
  fleet.fails_for = [](std::size_t host, int upstream) {
    return upstream == 0 && host % 2 == 0;
  };
  fleet.Run(Millis(10000), 5);
  BOOST_TEST(fleet.avoided == 0);
}

// Guards sound upstreams against hosts that are cut off from all of them.
BOOST_DATA_TEST_CASE(failures_of_hosts_that_are_cut_off_prove_nothing,
                     boost::unit_test::data::make({6, 300}),
                     count) {
  SimulatedHosts fleet(static_cast<std::size_t>(count));
  const auto half = static_cast<std::size_t>(count) / 2;
  for (std::size_t host = 0; host < half; ++host)
    fleet.is_cut_off.insert(host);
  fleet.fails_for = [half](std::size_t host, int) { return host < half; };
  // So few that upstreams are hardly ever answered.
  for (int i = 0; i < 40; ++i) {
    fleet.Run(Millis(90), 0);
    fleet.Run(kStep, 3);
    BOOST_TEST(fleet.HostsThatAvoid() == 0u);
  }
}

// The links between two domains may be cut.
BOOST_AUTO_TEST_CASE(failures_in_one_domain_say_nothing_to_the_others) {
  SimulatedHosts fleet(30);
  fleet.fails_for = [](std::size_t, int upstream) { return upstream == 0; };
  for (int i = 0; i < 300; ++i) {
    for (std::size_t host = 0; host < 30; host += 3)
      fleet.hosts[host].OnFailed(SimulatedHosts::RunName(0), fleet.now);
    fleet.Run(kStep, 0);
  }
  for (std::size_t host = 0; host < 30; ++host)
    BOOST_TEST(fleet.IsFailing(host) == (host % 3 == 0));
}

// Each upstream is out of reach for half of the hosts, other ones each time, so
// that the hosts that reach it are answered now and then only.
BOOST_DATA_TEST_CASE(a_host_that_was_answered_itself_avoids_no_upstream,
                     boost::unit_test::data::make({6, 70}),
                     count) {
  SimulatedHosts fleet(static_cast<std::size_t>(count));
  const auto reaches = [](std::size_t host, int upstream) {
    return StableHash(std::to_string(host),
                      static_cast<std::uint64_t>(upstream)) %
               2 ==
           0;
  };
  fleet.fails_for = [&](std::size_t host, int upstream) {
    return !reaches(host, upstream);
  };
  for (int i = 0; i < 200; ++i) {
    fleet.Run(kStep, 1);
    fleet.Run(Millis(40), 0);
    for (std::size_t host = 0; host < fleet.hosts.size(); ++host) {
      for (int upstream = 0; upstream < kUpstreams; ++upstream) {
        const auto& answered = fleet.answered_at;
        const auto at = answered.find({host, upstream});
        if (at != answered.end() && fleet.now - at->second < Millis(1000))
          BOOST_TEST(!fleet.IsFailing(host, upstream));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_new_control_host_knows_as_much_after_a_while) {
  SimulatedHosts fleet(70, 2);
  fleet.fails_for = [](std::size_t, int upstream) { return upstream == 0; };
  fleet.Run(Millis(3000), 5);
  for (std::size_t host = 0; host < 70; ++host)
    fleet.Switch(host, 1);
  fleet.TakeFailures();
  fleet.Run(Millis(3000), 5);
  // It asks first, for the question time and a poll.
  BOOST_TEST(fleet.TakeFailures() <= 60);
  fleet.Run(Millis(4000), 5);
  BOOST_TEST(fleet.TakeFailures() <= 16);
}

BOOST_AUTO_TEST_CASE(a_host_out_of_contact_is_on_its_own_again) {
  SimulatedHosts fleet(6);
  fleet.fails_for = [](std::size_t, int upstream) { return upstream == 0; };
  fleet.Run(Millis(3000), 5);
  BOOST_TEST(fleet.HostsThatAvoid() > 0u);
  for (FailureMonitor& host : fleet.hosts) {
    BOOST_TEST(!host.KnowsFailing(fleet.now + FailureMonitor::kRulingMemory +
                                  kPollInterval));
  }
}

BOOST_AUTO_TEST_CASE(memory_and_reports_are_bounded) {
  FailureMonitor host;
  const TimePoint now(Millis(1000000));
  for (std::size_t i = 0; i < 2 * FailureMonitor::kMaxUpstreams; ++i)
    host.OnFailed(SimulatedHosts::RunName(static_cast<int>(i)), now);
  BOOST_TEST(host.Report(now).size() == FailureMonitor::kMaxReported);
  FailureJudge judge;
  for (int i = 0; i < 3; ++i) {
    judge.OnReport(HostId(std::to_string(i)), DomainId("a"), host.Report(now),
                   true, now);
  }
  BOOST_TEST(judge.CurrentRuling(now).questioned.size() ==
             FailureJudge::kMaxQuestioned);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::quarantine
