#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

#include "endivecart/limits/limits.h"

namespace endivecart::limits {
namespace {

constexpr Millis kStep{10};
constexpr Millis kPollInterval{250};
constexpr Millis kContactWindow{3000};
constexpr Millis kSpan{4000};

// Many hosts with more requests for one upstream than it takes, and control
// hosts that merge what they report, on a manual clock. Answers come at once.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(std::size_t host_count, std::size_t tables = 1)
      : hosts(host_count), in_touch(host_count, true), merged(tables) {
    for (std::size_t host = 0; host < hosts.size(); ++host)
      SetRank(host);
  }

  void SetRank(std::size_t host) {
    hosts[host].SetRank(
        {static_cast<int>(hosts.size()), static_cast<int>(host)});
  }
  void Run(Millis time) {
    for (Millis passed{0}; passed < time; passed += kStep) {
      now += kStep;
      // About four requests in each step.
      for (int i = 0; i < 4; ++i)
        Send(random_() % hosts.size());
      for (LimitTable& table : merged)
        Exchange(table);
    }
  }
  // Returns the most requests in a span that ends after `from`.
  std::ptrdiff_t MostInSpan(TimePoint from) const {
    std::ptrdiff_t most = 0;
    for (const TimePoint end : sent_at) {
      if (end < from)
        continue;
      most = std::max(
          most,
          std::count_if(sent_at.begin(), sent_at.end(), [end](TimePoint at) {
            return at > end - kSpan && at <= end;
          }));
    }
    return most;
  }
  double Allowed() const {
    return 1.5 * limit.value_or(0) * static_cast<double>(kSpan.count()) / 1000 +
           5;
  }

  TimePoint now = TimePoint(Millis(1000000));
  std::optional<double> limit;          // that the upstream names
  std::optional<double> refusal_limit;  // that it names too
  std::vector<LimitMonitor> hosts;
  std::vector<bool> in_touch;
  std::vector<LimitTable> merged;
  std::vector<TimePoint> sent_at;

 private:
  void Send(std::size_t host) {
    if (!hosts[host].TryAcquire("u/1", now))
      return;
    sent_at.push_back(now);
    hosts[host].OnAnswer("u/1", {limit, refusal_limit}, now, now);
  }
  void Exchange(LimitTable& table) {
    bool tell = false;
    const auto step = static_cast<std::size_t>(now.time_since_epoch() / kStep);
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      if (!in_touch[host] || (step + host) % (kPollInterval / kStep) != 0)
        continue;
      for (const NamedLimit& named : hosts[host].Findings(now))
        tell |= table.Merge(named);
      hosts[host].Apply(table.All());
    }
    for (std::size_t host = 0; tell && host < hosts.size(); ++host) {
      if (in_touch[host])
        hosts[host].Apply(table.All());
    }
  }

  std::mt19937_64 random_{11};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(limits_of_upstreams, *boost::unit_test::label("limits"))

// Guards against LIMIT: each host on its own can respect a limit while all of
// them together exceed it.
BOOST_DATA_TEST_CASE(all_hosts_together_keep_the_limit_and_use_it,
                     boost::unit_test::data::make({1, 6, 70, 300}) *
                         boost::unit_test::data::make({0.3, 1.0, 1.5, 20.0}),
                     host_count,
                     requests_per_s) {
  SimulatedFleet fleet(static_cast<std::size_t>(host_count));
  fleet.Run(Millis(500));
  fleet.limit = requests_per_s;
  fleet.sent_at.clear();
  fleet.Run(Millis(1000));
  const TimePoint told = fleet.now;
  fleet.sent_at.clear();
  fleet.Run(Millis(20000));
  BOOST_TEST(static_cast<double>(fleet.MostInSpan(told)) <= fleet.Allowed());
  BOOST_TEST(static_cast<double>(fleet.sent_at.size()) >=
             0.5 * 20 * requests_per_s);
}

BOOST_AUTO_TEST_CASE(a_limit_ends_at_all_hosts_when_one_answer_names_none) {
  SimulatedFleet fleet(70);
  fleet.limit = 2;
  fleet.Run(Millis(5000));
  fleet.limit = std::nullopt;
  fleet.Run(Millis(1500));
  for (const LimitMonitor& host : fleet.hosts)
    BOOST_TEST(!host.IsLimited("u/1"));
}

BOOST_AUTO_TEST_CASE(all_hosts_know_which_upstreams_are_brittle) {
  SimulatedFleet fleet(70);
  fleet.refusal_limit = 3;
  fleet.Run(Millis(1500));
  for (const LimitMonitor& host : fleet.hosts) {
    BOOST_TEST(host.RefusalLimit("u/1").value_or(0) == 3);
    BOOST_TEST(!host.IsLimited("u/1"));
  }
  fleet.refusal_limit = std::nullopt;
  fleet.Run(Millis(1500));
  for (const LimitMonitor& host : fleet.hosts)
    BOOST_TEST(!host.RefusalLimit("u/1").has_value());
}

BOOST_AUTO_TEST_CASE(a_limit_that_changes_is_followed) {
  SimulatedFleet fleet(6);
  fleet.limit = 20;
  fleet.Run(Millis(5000));
  fleet.limit = 1;
  fleet.Run(Millis(1000));
  fleet.sent_at.clear();
  const TimePoint changed = fleet.now;
  fleet.Run(Millis(10000));
  BOOST_TEST(static_cast<double>(fleet.MostInSpan(changed)) <= fleet.Allowed());
}

BOOST_AUTO_TEST_CASE(restarts_cuts_and_a_new_control_host_keep_the_limit) {
  SimulatedFleet fleet(6, 2);
  fleet.limit = 2;
  fleet.Run(kContactWindow);
  fleet.sent_at.clear();
  const TimePoint from = fleet.now;
  fleet.merged = std::vector<LimitTable>(2);  // new processes
  fleet.Run(Millis(2000));
  fleet.in_touch[1] = false;  // keeps its share, and the others theirs
  fleet.Run(Millis(4000));
  fleet.in_touch[1] = true;
  fleet.hosts[4] = LimitMonitor();
  fleet.SetRank(4);
  fleet.Run(Millis(4000));
  BOOST_TEST(static_cast<double>(fleet.MostInSpan(from)) <= fleet.Allowed());
  BOOST_TEST(fleet.sent_at.size() >= 10u);
}

BOOST_AUTO_TEST_CASE(a_host_that_never_knew_its_rank_sends_nothing) {
  LimitMonitor host;
  const TimePoint now(Millis(1000));
  BOOST_TEST(host.TryAcquire("u/1", now));
  host.OnAnswer("u/1", {5.0, std::nullopt}, now, now);
  BOOST_TEST(!host.TryAcquire("u/1", now));
  host.SetRank({1, 0});
  BOOST_TEST(host.TryAcquire("u/1", now));
  host.SetRank({0, 0});  // contact lost
  BOOST_TEST(!host.TryAcquire("u/1", now));
  BOOST_TEST(host.TryAcquire("u/1", now + Millis(200)));
}

BOOST_AUTO_TEST_CASE(an_answer_that_was_sent_before_the_limit_does_not_end_it) {
  LimitMonitor host;
  const TimePoint now(Millis(1000));
  host.OnAnswer("u/1", {5.0, std::nullopt}, now, now);
  host.OnAnswer("u/1", {}, now - Millis(50), now + Millis(10));
  BOOST_TEST(host.IsLimited("u/1"));
  host.OnAnswer("u/1", {}, now + Millis(20), now + Millis(30));
  BOOST_TEST(!host.IsLimited("u/1"));
}

BOOST_AUTO_TEST_CASE(a_limit_of_zero_leaves_a_request_a_minute) {
  LimitMonitor host;
  host.SetRank({6, 0});
  TimePoint now(Millis(1000));
  host.OnAnswer("u/1", {0.0, std::nullopt}, now, now);
  int sent = 0;
  for (int second = 0; second < 170; ++second) {
    now += Millis(1000);
    host.Expire(now);
    sent += host.TryAcquire("u/1", now) ? 1 : 0;
  }
  BOOST_TEST(sent <= 3);
  BOOST_TEST(host.IsLimited("u/1"));
}

BOOST_AUTO_TEST_CASE(an_unconfirmed_limit_is_forgotten) {
  LimitMonitor host;
  const TimePoint now(Millis(1000));
  host.OnAnswer("u/1", {5.0, std::nullopt}, now, now);
  host.Expire(now + LimitTable::kMemory);
  BOOST_TEST(host.IsLimited("u/1"));
  host.Expire(now + LimitTable::kMemory + Millis(1));
  BOOST_TEST(!host.IsLimited("u/1"));
}

BOOST_AUTO_TEST_CASE(the_number_of_limits_is_bounded) {
  LimitTable table;
  for (int i = 0; i < 5000; ++i)
    table.Merge(
        {"u" + std::to_string(i), {1.0, std::nullopt}, TimePoint(Millis(i))});
  BOOST_TEST(table.All().size() == LimitTable::kMaxLimits);
  BOOST_TEST(table.Knows("u4999"));
  ShareLimiter shares;
  for (int i = 0; i < 5000; ++i)
    BOOST_TEST(shares.TryAcquire("u" + std::to_string(i), {1000, 1}, {1, 0},
                                 TimePoint(Millis(i))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::limits
