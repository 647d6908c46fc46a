#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "endivecart/duties/duties.h"
#include "endivecart/fleet/fleet.h"

namespace endivecart::fleet {
namespace {

using Counts = std::map<CustomerId, std::uint64_t>;

constexpr Millis kWindow{5000};
constexpr Millis kTick{50};
constexpr Millis kEnd{45000};
// How long after its end a window is closed at the latest.
constexpr Millis kCloseDelay{6000};
constexpr std::uint64_t kUnixMs = 500000000;  // a window begins
constexpr double kTolerance = 0.05;

// Hosts that count usage and two control hosts, of which the second one leads
// from the middle on. Polls and answers are lost, repeated and delayed. Clocks
// of a third of the hosts, and of the first leader, are stepped for a while.
class UsageFleet {
 public:
  explicit UsageFleet(int hosts, bool wants_usage = true)
      : wants_usage_(wants_usage), random_(static_cast<unsigned>(hosts)) {
    for (int i = 0; i < 2; ++i)
      controls_.push_back(std::make_unique<Control>(*this, i));
    for (int i = 0; i < hosts; ++i)
      hosts_.push_back(std::make_unique<Host>(*this, i, 1));
  }

  void Run() {
    for (; Elapsed() < kEnd; now_ += kTick) {
      while (!in_transit_.empty() && in_transit_.begin()->first <= now_) {
        const auto deliver = std::move(in_transit_.begin()->second);
        in_transit_.erase(in_transit_.begin());
        deliver();
      }
      Restart();
      for (const auto& host : hosts_) {
        // The first hosts have more callers, of other customers.
        const CustomerId customer(Chance(0.3) ? "small" : "large");
        if (host && Chance(host->number % 3 == 0 ? 0.9 : 0.5)) {
          host->counter.Count(customer, now_);
          ++truth_[WindowAt(Elapsed())][customer];
        }
        if (host)
          host->follower.Tick();
      }
      for (const auto& control : controls_)
        control->Tick();
    }
  }

  // Returns the windows that are long over at the end.
  std::vector<std::uint64_t> Windows() const {
    std::vector<std::uint64_t> windows;
    for (const auto& [window, counts] : truth_) {
      if (window > WindowAt(Millis(0)) + 1 && window + 3 < WindowAt(kEnd)) {
        windows.push_back(window);
      }
    }
    return windows;
  }
  const Counts& Truth(std::uint64_t window) const { return truth_.at(window); }
  Counts Reported(std::size_t control, std::uint64_t window) const {
    return controls_.at(control)->table.CountsOf(window).value_or(Counts());
  }
  // Returns the counts when the window was found to be complete, and when that
  // was, after its end.
  std::optional<std::pair<Counts, Millis>> Closed(std::uint64_t window) const {
    const auto& closed = controls_.at(1)->closed;
    const auto it = closed.find(window);
    return it == closed.end() ? std::nullopt : std::optional(it->second);
  }

  bool loses_hosts = false;
  std::uint64_t usage_polls = 0;

 private:
  struct Control {
    Control(UsageFleet& fleet_in, int number)
        : fleet(fleet_in),
          id("v" + std::to_string(number)),
          feed(static_cast<std::uint64_t>(number) + 1, &roster, Hooks()) {}

    FleetFeed::Hooks Hooks() {
      FleetFeed::Hooks hooks;
      hooks.send = [this](const HostId& to, const wire::Envelope& envelope) {
        fleet.Transmit([this, to, update = envelope.fleet_news()] {
          for (const auto& host : fleet.hosts_) {
            if (host && host->id == to)
              host->follower.OnUpdate(id, update);
          }
        });
      };
      hooks.now = [this] { return fleet.now_; };
      hooks.voter_hosts = [] {
        return std::vector<HostId>{HostId("v0"), HostId("v1")};
      };
      hooks.leader_host = [this] { return fleet.Leader(); };
      hooks.on_move_report = [](const HostId&, const wire::ServiceMoveReport&) {
      };
      hooks.quiesced = [] { return std::vector<UpstreamId>(); };
      hooks.cache_update = [](const CachePosition&) {
        return std::optional<wire::CacheUpdate>();
      };
      if (fleet.wants_usage_) {
        hooks.true_unix_ms = [this]() -> std::uint64_t {
          return fleet.Leader() == id ? time.UnixMs(fleet.now_).value_or(0) : 0;
        };
      }
      return hooks;
    }
    // Usage is recorded on arrival, before the answer.
    void OnPoll(const HostId& from, const wire::FleetPoll& poll) {
      BOOST_REQUIRE(poll.serves_callers());
      fleet.usage_polls += poll.has_usage() || poll.unix_ms() != 0 ? 1 : 0;
      if (poll.unix_ms() != 0)
        time.OnSample(from, poll.unix_ms(), fleet.now_);
      table.OnPoll(from, poll.incarnation(), duties::EntriesOf(poll.usage()),
                   poll.usage().complete_until_ms(), fleet.now_);
      feed.OnPoll(from, poll);
    }
    void Tick() {
      time.OnSample(id, fleet.WallClock(id == HostId("v0")), fleet.now_);
      for (const auto& [window, counts] : fleet.truth_) {
        if (!closed.contains(window) && table.IsComplete(window, fleet.now_)) {
          closed[window] = {table.CountsOf(window).value_or(Counts()),
                            fleet.Elapsed() - (StartOf(window) + kWindow)};
        }
      }
    }

    UsageFleet& fleet;
    const HostId id;
    duties::UsageTable table{kWindow};
    duties::TrueTimeEstimator time;
    std::map<std::uint64_t, std::pair<Counts, Millis>> closed;
    upstreams::UpstreamRegistry roster;
    FleetFeed feed;
  };

  struct Host {
    Host(UsageFleet& fleet_in, int number_in, std::uint64_t incarnation)
        : fleet(fleet_in),
          number(number_in),
          id("e" + std::to_string(number)),
          follower(Options(incarnation), Hooks()) {}

    FleetFollowerOptions Options(std::uint64_t incarnation) const {
      FleetFollowerOptions options;
      options.self = id;
      options.incarnation = incarnation;
      options.serves_callers = true;
      options.contacts = {HostId("v0"), HostId("v1")};
      return options;
    }
    FleetFollower::Hooks Hooks() {
      FleetFollower::Hooks hooks;
      hooks.send = [this](const HostId& to, const wire::Envelope& envelope) {
        Control& control = *fleet.controls_.at(to == HostId("v0") ? 0 : 1);
        fleet.Transmit([&control, from = id, poll = envelope.fleet_poll()] {
          control.OnPoll(from, poll);
        });
      };
      hooks.on_control_hosts = [](const std::vector<HostId>&) {};
      hooks.on_decisions = [](const DecisionsPtr&) {};
      hooks.local_loads = [] { return std::vector<LocalLoad>(); };
      hooks.move_reports = [] {
        return std::vector<wire::ServiceMoveReport>();
      };
      hooks.now = [this] { return fleet.now_; };
      hooks.on_true_time = [this](std::optional<std::uint64_t> unix_ms,
                                  TimePoint asked_at) {
        counter.OnTime(unix_ms, asked_at, fleet.now_);
      };
      hooks.usage_since =
          [this](std::uint64_t since) -> std::optional<UsageChanges> {
        const auto report = counter.ReportSince(since, fleet.now_, fleet.now_);
        if (!report)
          return std::nullopt;
        return UsageChanges{duties::ToWire(*report), report->change};
      };
      hooks.unix_ms = [this] { return fleet.WallClock(number % 3 == 0); };
      return hooks;
    }

    UsageFleet& fleet;
    const int number;
    const HostId id;
    duties::UsageCounter counter{kWindow};
    FleetFollower follower;
  };

  static Millis StartOf(std::uint64_t window) {
    return static_cast<Millis::rep>(window) * kWindow -
           Millis(static_cast<Millis::rep>(kUnixMs));
  }
  static std::uint64_t WindowAt(Millis elapsed) {
    return (kUnixMs + static_cast<std::uint64_t>(elapsed.count())) /
           static_cast<std::uint64_t>(kWindow.count());
  }
  Millis Elapsed() const {
    return std::chrono::duration_cast<Millis>(now_ - start_);
  }
  HostId Leader() const { return HostId(Elapsed() < kEnd / 2 ? "v0" : "v1"); }
  std::uint64_t WallClock(bool is_stepped) const {
    const Millis elapsed = Elapsed();
    const bool is_wrong =
        is_stepped && elapsed > Millis(8000) && elapsed < Millis(30000);
    return kUnixMs + static_cast<std::uint64_t>(elapsed.count()) +
           (is_wrong ? 4000 : 0);
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  void Transmit(const std::function<void()>& deliver) {
    const int copies = Chance(0.1) ? 0 : Chance(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const int max_delay = Chance(0.1) ? 2000 : 60;
      in_transit_.emplace(
          now_ + Millis(std::uniform_int_distribution(1, max_delay)(random_)),
          deliver);
    }
  }
  // One host ends at 14 s, and its next process starts at 17 s.
  void Restart() {
    if (!loses_hosts)
      return;
    if (Elapsed() == Millis(14000))
      hosts_.front().reset();
    if (Elapsed() == Millis(17000))
      hosts_.front() = std::make_unique<Host>(*this, 0, 2);
  }

  const bool wants_usage_;
  const TimePoint start_{Millis(7000000)};
  TimePoint now_ = start_;
  std::mt19937_64 random_;
  std::multimap<TimePoint, std::function<void()>> in_transit_;
  std::map<std::uint64_t, Counts> truth_;
  std::vector<std::unique_ptr<Control>> controls_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

bool IsWithinTolerance(std::uint64_t count, std::uint64_t truth) {
  const double off = static_cast<double>(count) - static_cast<double>(truth);
  return std::abs(off) <= kTolerance * static_cast<double>(truth);
}

BOOST_AUTO_TEST_SUITE(usage_reports, *boost::unit_test::label("fleet"))

// Guards against usage that depends on lost, repeated or late messages, on
// stepped clocks or on which control host leads.
BOOST_DATA_TEST_CASE(all_control_hosts_know_the_usage_of_each_window,
                     boost::unit_test::data::make({6, 300}),
                     hosts) {
  UsageFleet fleet(hosts);
  fleet.Run();
  BOOST_TEST(fleet.Windows().size() >= 4u);
  for (const std::uint64_t window : fleet.Windows()) {
    BOOST_TEST_CONTEXT("window " << window) {
      BOOST_CHECK(fleet.Reported(0, window) == fleet.Reported(1, window));
      for (const auto& [customer, truth] : fleet.Truth(window)) {
        const std::uint64_t count = fleet.Reported(1, window)[customer];
        BOOST_TEST(IsWithinTolerance(count, truth),
                   customer.str() << ": " << count << " of " << truth);
      }
    }
  }
}

// Guards against reports that can't be corrected any more.
BOOST_DATA_TEST_CASE(a_complete_window_changes_no_more,
                     boost::unit_test::data::make({6, 300}),
                     hosts) {
  UsageFleet fleet(hosts);
  fleet.loses_hosts = true;
  fleet.Run();
  int in_time = 0;
  for (const std::uint64_t window : fleet.Windows()) {
    BOOST_TEST_CONTEXT("window " << window) {
      const auto closed = fleet.Closed(window);
      BOOST_REQUIRE(closed.has_value());
      BOOST_CHECK(closed->first == fleet.Reported(1, window));
      in_time += closed->second <= kCloseDelay ? 1 : 0;
    }
  }
  // A host that has just ended may hold up one.
  BOOST_TEST(in_time + 1 >= static_cast<int>(fleet.Windows().size()));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_where_no_usage_is_to_be_reported) {
  UsageFleet fleet(6, false);
  fleet.Run();
  BOOST_TEST(fleet.usage_polls == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
