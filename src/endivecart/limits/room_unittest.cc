#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

#include "endivecart/limits/limits.h"

namespace endivecart::limits {
namespace {

constexpr Millis kStep{10};
constexpr Millis kPollInterval{250};
constexpr Millis kMaxWait{1000};
constexpr int kSlots = 6;
constexpr std::size_t kQueue = 2;  // further requests that wait there
constexpr double kRefusalLimit = 3;

// Many hosts that send requests to brittle upstreams, on a manual clock. Hosts
// know each other's requests as of their last poll. Upstreams fall over when
// they refuse too many within a second, and return soon.
class BrittleFleet {
 public:
  BrittleFleet(std::size_t host_count, std::size_t upstream_count, Millis run)
      : hosts(host_count),
        run_time(run),
        upstreams_(upstream_count),
        known_(host_count, std::vector<int>(upstream_count)),
        waiting_(host_count),
        own_(host_count, std::vector<int>(upstream_count)) {
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      hosts[host].SetRank(
          {static_cast<int>(hosts.size()), static_cast<int>(host)});
    }
    for (std::size_t upstream = 0; upstream < upstream_count; ++upstream)
      Say(0, upstream);
    for (LimitMonitor& host : hosts)
      host.Apply(hosts[0].Findings(now));
  }
  double RequestsPerSecond() const {
    return kSlots * static_cast<double>(upstreams_.size()) * 1000 /
           static_cast<double>(run_time.count());
  }
  // Runs with so many times the requests that the upstreams can run.
  void Run(Millis time, double load) {
    for (Millis passed{0}; passed < time; passed += kStep) {
      now += kStep;
      due_ += load * RequestsPerSecond() * 0.01;
      for (; due_ >= 1; --due_) {
        ++sent;
        waiting_[random_() % hosts.size()].push_back(now);
      }
      EndRuns();
      for (std::size_t host = 0; host < hosts.size(); ++host) {
        Poll(host);
        SendWaiting(host);
      }
    }
  }

  TimePoint now = TimePoint(Millis(1000000));
  std::vector<LimitMonitor> hosts;
  const Millis run_time;
  int sent = 0;
  int served = 0;
  int refused_by_hosts = 0;
  int falls = 0;

 private:
  struct Upstream {
    int incarnation = 1;
    std::deque<std::pair<std::size_t, TimePoint>> running;  // host, end
    std::deque<std::size_t> waiting;                        // hosts
    std::deque<TimePoint> refused_at;
    TimePoint down_until{};
  };

  std::string RunOf(std::size_t upstream) const {
    return "u" + std::to_string(upstream) + "/" +
           std::to_string(upstreams_[upstream].incarnation);
  }
  void Say(std::size_t host, std::size_t upstream) {
    hosts[host].OnAnswer(RunOf(upstream), {std::nullopt, kRefusalLimit}, now,
                         now);
  }
  void Poll(std::size_t host) {
    const auto step = static_cast<std::size_t>(now.time_since_epoch() / kStep);
    if ((step + host) % (kPollInterval / kStep) != 0)
      return;
    for (const NamedLimit& limit : hosts[host].Findings(now))
      table_.Merge(limit);
    hosts[host].Apply(table_.All());
    for (std::size_t upstream = 0; upstream < upstreams_.size(); ++upstream) {
      int others = 0;
      for (std::size_t other = 0; other < hosts.size(); ++other)
        others += other == host ? 0 : own_[other][upstream];
      known_[host][upstream] = others;
    }
  }
  void EndRuns() {
    for (std::size_t at = 0; at < upstreams_.size(); ++at) {
      Upstream& upstream = upstreams_[at];
      while (!upstream.running.empty() &&
             upstream.running.front().second <= now) {
        const std::size_t host = upstream.running.front().first;
        upstream.running.pop_front();
        --own_[host][at];
        ++served;
        Say(host, at);
        if (!upstream.waiting.empty()) {
          upstream.running.emplace_back(upstream.waiting.front(),
                                        now + run_time);
          upstream.waiting.pop_front();
        }
      }
    }
  }
  void SendWaiting(std::size_t host) {
    auto& queue = waiting_[host];
    while (!queue.empty() && now - queue.front() > kMaxWait) {
      queue.pop_front();
      ++refused_by_hosts;
    }
    while (!queue.empty()) {
      std::vector<std::size_t> usable;
      for (std::size_t at = 0; at < upstreams_.size(); ++at) {
        const Room room{
            kSlots, known_[host][at] + own_[host][at], own_[host][at],
            static_cast<double>(at) / static_cast<double>(upstreams_.size())};
        if (now >= upstreams_[at].down_until &&
            hosts[host].HasRoom(RunOf(at), room, now)) {
          usable.push_back(at);
        }
      }
      if (usable.empty())
        return;
      queue.pop_front();
      Send(host, usable[random_() % usable.size()]);
    }
  }
  void Send(std::size_t host, std::size_t at) {
    Upstream& upstream = upstreams_[at];
    if (upstream.running.size() < kSlots) {
      ++own_[host][at];
      upstream.running.emplace_back(host, now + run_time);
      return;
    }
    if (upstream.waiting.size() < kQueue) {
      ++own_[host][at];
      upstream.waiting.push_back(host);
      return;
    }
    Say(host, at);
    hosts[host].OnRefused(RunOf(at), now);
    upstream.refused_at.push_back(now);
    while (now - upstream.refused_at.front() > Millis(1000))
      upstream.refused_at.pop_front();
    if (static_cast<double>(upstream.refused_at.size()) <= kRefusalLimit)
      return;
    ++falls;
    upstream =
        Upstream{upstream.incarnation + 1, {}, {}, {}, now + Millis(2000)};
    for (auto& own : own_)
      own[at] = 0;
  }

  std::vector<Upstream> upstreams_;
  std::vector<std::vector<int>> known_;  // by host and upstream; of others
  std::vector<std::deque<TimePoint>> waiting_;
  std::vector<std::vector<int>> own_;
  LimitTable table_;
  std::mt19937_64 random_{13};
  double due_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(limits_of_rooms, *boost::unit_test::label("limits"))

BOOST_DATA_TEST_CASE(the_shares_of_all_hosts_add_up_to_the_slots,
                     boost::unit_test::data::make({1, 6, 9, 70, 300}) *
                         boost::unit_test::data::make({1, 6, 64, 192}),
                     hosts,
                     slots) {
  int sum = 0;
  for (int rank = 0; rank < hosts; ++rank)
    sum += ShareOfSlots({slots, 0, 0, 0.7}, {hosts, rank});
  BOOST_TEST(sum == slots);
}

BOOST_AUTO_TEST_CASE(each_host_has_about_as_many_shares_as_the_others) {
  constexpr int kHosts = 70;
  constexpr int kUpstreams = 40;
  for (int rank = 0; rank < kHosts; ++rank) {
    int shares = 0;
    for (int at = 0; at < kUpstreams; ++at) {
      shares += ShareOfSlots(
          {kSlots, 0, 0, static_cast<double>(at) / kUpstreams}, {kHosts, rank});
    }
    BOOST_TEST(shares >= kSlots * kUpstreams / kHosts - 1);
    BOOST_TEST(shares <= kSlots * kUpstreams / kHosts + 2);
  }
}

// Guards against LIMIT: each host on its own sends a brittle upstream little,
// while all of them together exceed its room.
BOOST_DATA_TEST_CASE(brittle_upstreams_stand_in_a_burst_and_are_used,
                     (boost::unit_test::data::make({6, 9, 70, 300}) ^
                      boost::unit_test::data::make({3, 5, 40, 150})) *
                         boost::unit_test::data::make({100, 800}),
                     hosts,
                     upstreams,
                     run_ms) {
  BrittleFleet fleet(static_cast<std::size_t>(hosts),
                     static_cast<std::size_t>(upstreams), Millis(run_ms));
  fleet.Run(Millis(2000), 0.3);
  fleet.served = 0;
  fleet.Run(Millis(6000), 2);
  BOOST_TEST(fleet.falls <= 2 + upstreams / 10);
  BOOST_TEST(fleet.served >= 0.5 * 6 * fleet.RequestsPerSecond());
}

BOOST_DATA_TEST_CASE(moderate_traffic_is_served_by_brittle_upstreams_too,
                     (boost::unit_test::data::make({6, 9, 70, 300}) ^
                      boost::unit_test::data::make({3, 5, 40, 150})) *
                         boost::unit_test::data::make({100, 800}),
                     hosts,
                     upstreams,
                     run_ms) {
  BrittleFleet fleet(static_cast<std::size_t>(hosts),
                     static_cast<std::size_t>(upstreams), Millis(run_ms));
  fleet.Run(Millis(6000), 0.3);
  BOOST_TEST(fleet.falls == 0);
  BOOST_TEST(fleet.refused_by_hosts <= 0.02 * fleet.sent);
}

BOOST_AUTO_TEST_CASE(a_host_that_was_refused_pauses_and_all_keep_to_shares) {
  LimitMonitor host;
  LimitMonitor other;
  TimePoint now(Millis(100000));
  constexpr Millis kRound = 6 * RoomLimiter::kTurn;
  host.SetRank({6, 0});
  other.SetRank({6, 1});
  host.OnAnswer("u/1", {std::nullopt, 6}, now, now);
  const Room room{60, 0, 0, 0};
  BOOST_TEST(host.HasRoom("u/1", room, now));
  host.OnRefused("u/1", now);
  BOOST_TEST(!host.HasRoom("u/1", room, now + RoomLimiter::kPause / 2));
  other.Apply(host.Findings(now));
  BOOST_TEST(other.HasRoom("u/1", room, now));
  for (Millis at{0}; at < kRound; at += kStep)
    BOOST_TEST(!other.HasRoom("u/1", {60, 10, 10, 0}, now + at));
  now += RoomLimiter::kStrictTime;
  BOOST_TEST(host.HasRoom("u/1", room, now));
  int turns = 0;
  for (Millis at{0}; at < kRound; at += kStep)
    turns += other.HasRoom("u/1", {60, 10, 10, 0}, now + at) ? 1 : 0;
  BOOST_TEST(turns > 0);
}

BOOST_AUTO_TEST_CASE(a_host_without_a_rank_sends_brittle_upstreams_nothing) {
  const LimitMonitor host;
  BOOST_TEST(!host.HasRoom("u/1", {6, 0, 0, 0}, TimePoint(Millis(1))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::limits
