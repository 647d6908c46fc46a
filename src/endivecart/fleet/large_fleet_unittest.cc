// Guards against control work that grows with hosts times upstreams: a fleet of
// 300 entry hosts once kept its control hosts so busy that a configuration
// could not be read back. Counts what the real feeds and followers of a whole
// fleet exchange, on a network without delay and with a manual clock.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <map>

#include "endivecart/fleet/fleet.h"

namespace endivecart::fleet {
namespace {

constexpr int kControlHosts = 6;
constexpr Millis kStep{10};
constexpr Millis kAnnounceInterval{1200};
constexpr Millis kRequestTime{1000};
constexpr int kRequestsPerHost = 4;
constexpr int kSlots = 16;

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

std::string Name(int upstream) {
  return "i-" + std::to_string(100000 + upstream);
}

upstreams::Announcement AnnouncementOf(int upstream, std::uint64_t sequence) {
  upstreams::Announcement announcement;
  announcement.id = UpstreamId(Name(upstream));
  announcement.start_time_ms = 1700000000000;
  announcement.sequence = sequence;
  announcement.service =
      routes::ServiceId("service-" + std::to_string(upstream % 40));
  announcement.address = {"10." + std::to_string(upstream / 250) + ".1." +
                              std::to_string(upstream % 250),
                          8080};
  announcement.domain = DomainId("zone-" + std::to_string(upstream % 6));
  announcement.software_version = VersionId("v2.14.0");
  announcement.slots = kSlots;
  announcement.models = {{ModelId("model-a"), 12}};
  return announcement;
}

struct Count {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;

  void Add(std::size_t size) {
    ++messages;
    bytes += size;
  }
};

// Control hosts with their feeds, and all hosts' followers.
class Fleet {
 public:
  // `legacy`: hosts of a release that doesn't read differences.
  Fleet(int hosts, int upstreams, bool legacy)
      : upstreams_(upstreams), legacy_(legacy), hosts_(hosts) {
    for (int i = 0; i < kControlHosts; ++i)
      control_ids_.emplace_back("10.1.0." + std::to_string(i));
    for (int i = 0; i < kControlHosts; ++i)
      AddControlHost(i);
    for (int i = 0; i < hosts; ++i)
      AddEntryHost(i);
  }

  void RunFor(Millis duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kStep)
      Step();
  }

  void ResetCounts() {
    counts_.clear();
    control_bytes_.clear();
    processor_us_.clear();
  }

  // Returns the bytes that the control host sent and received, a second.
  double ControlBytesPerSecond(int host, Millis duration) const {
    const auto it = control_bytes_.find(control_ids_[AsIndex(host)]);
    return it == control_bytes_.end()
               ? 0
               : static_cast<double>(it->second) * 1000 /
                     static_cast<double>(duration.count());
  }

  void Print(const std::string& title, Millis duration) const {
    const double seconds = static_cast<double>(duration.count()) / 1000;
    BOOST_TEST_MESSAGE(title);
    for (const auto& [kind, count] : counts_) {
      BOOST_TEST_MESSAGE(
          "  " << kind << ": " << static_cast<double>(count.messages) / seconds
               << " messages/s, "
               << static_cast<double>(count.bytes) / seconds / 1000 << " kB/s");
    }
    for (int i = 0; i < 2; ++i) {
      BOOST_TEST_MESSAGE(
          "  control host "
          << i << ": " << ControlBytesPerSecond(i, duration) / 1000 << " kB/s");
    }
    for (const auto& [part, us] : processor_us_) {
      BOOST_TEST_MESSAGE("  processor of " << part << ": "
                                           << us / seconds / 1e6 * 100
                                           << "% of a core");
    }
  }

  // Returns the greatest age that entry host `host` takes any upstream to have.
  Millis OldestHeard(int host) const {
    TimePoint oldest = now_;
    for (const auto& [id, at] : entries_[AsIndex(host)].heard)
      oldest = std::min(oldest, at);
    return std::chrono::duration_cast<Millis>(now_ - oldest);
  }
  std::size_t HeardCount(int host) const {
    return entries_[AsIndex(host)].heard.size();
  }
  // Returns the number of upstreams at which the requests of all others differ
  // from those that the host knows by more than `tolerance`.
  int WrongLoads(int host, int tolerance) const {
    std::map<std::string, int> others;
    for (int other = 0; other < hosts_; ++other) {
      if (other == host)
        continue;
      for (const LocalLoad& load : LoadsOf(other))
        others[load.upstream.str()] += load.requests;
    }
    int wrong = 0;
    const FleetFollower& follower = *entries_[AsIndex(host)].follower;
    for (int i = 0; i < upstreams_; ++i) {
      const auto* load = follower.RemoteLoad(UpstreamId(Name(i)));
      const int known = load ? static_cast<int>(load->requests()) : 0;
      wrong += std::abs(known - others[Name(i)]) > tolerance ? 1 : 0;
    }
    return wrong;
  }
  void StopWork() { is_idle_ = true; }
  // From now on the upstream announces itself to nobody.
  void Silence(int upstream) { silenced_ = upstream; }
  Millis HeardAge(int host, int upstream) const {
    return std::chrono::duration_cast<Millis>(
        now_ - entries_[AsIndex(host)].heard.at(Name(upstream)));
  }
  Millis PollInterval(int host) const {
    return entries_[AsIndex(host)].follower->PollInterval();
  }

 private:
  struct ControlHost {
    upstreams::UpstreamRegistry registry;
    std::unique_ptr<FleetFeed> feed;
    std::unique_ptr<FleetFollower> follower;
  };
  struct EntryHost {
    std::unique_ptr<FleetFollower> follower;
    std::map<std::string, TimePoint> heard;
  };
  struct Message {
    HostId from;
    HostId to;
    wire::Envelope envelope;
  };

  static std::size_t AsIndex(int i) { return static_cast<std::size_t>(i); }

  FleetFollower::Hooks FollowHooks(const HostId& self) {
    FleetFollower::Hooks hooks;
    hooks.send = [this, self](const HostId& to, wire::Envelope envelope) {
      Queue(self, to, std::move(envelope));
    };
    hooks.on_control_hosts = [](const std::vector<HostId>&) {};
    hooks.on_decisions = [](const DecisionsPtr&) {};
    hooks.move_reports = [] { return std::vector<wire::ServiceMoveReport>(); };
    hooks.local_loads = [] { return std::vector<LocalLoad>(); };
    hooks.now = [this] { return now_; };
    return hooks;
  }

  void AddControlHost(int number) {
    const HostId& self = control_ids_[AsIndex(number)];
    ControlHost& host = control_.emplace_back();
    FleetFeed::Hooks feed_hooks;
    feed_hooks.send = [this, self](const HostId& to, wire::Envelope envelope) {
      Queue(self, to, std::move(envelope));
    };
    feed_hooks.now = [this] { return now_; };
    feed_hooks.voter_hosts = [this] { return control_ids_; };
    feed_hooks.leader_host = [this] { return control_ids_.front(); };
    feed_hooks.on_move_report = [](const HostId&,
                                   const wire::ServiceMoveReport&) {};
    feed_hooks.quiesced = [] { return std::vector<UpstreamId>(); };
    feed_hooks.cache_update = [](const CachePosition&) {
      return std::optional<wire::CacheUpdate>();
    };
    host.feed = std::make_unique<FleetFeed>(AsIndex(number) + 1, &host.registry,
                                            std::move(feed_hooks));
    FleetFollowerOptions options;
    options.self = self;
    options.contacts = control_ids_;
    options.secondary_poll_every = 1;
    auto hooks = FollowHooks(self);
    upstreams::UpstreamRegistry& registry = host.registry;
    hooks.on_announcement = [this, &registry](
                                const upstreams::Announcement& announcement,
                                TimePoint received_at) {
      registry.Apply(announcement, received_at, now_);
    };
    hooks.on_heard = [&registry](const UpstreamId& id, TimePoint at) {
      return registry.Refresh(id, at);
    };
    host.follower = std::make_unique<FleetFollower>(options, std::move(hooks));
  }

  void AddEntryHost(int number) {
    entry_ids_.emplace_back("10.2." + std::to_string(number / 200) + "." +
                            std::to_string(number % 200));
    entry_numbers_[entry_ids_.back()] = number;
    FleetFollowerOptions options;
    options.self = entry_ids_.back();
    options.incarnation = AsIndex(number) * 7919;
    options.serves_callers = true;
    options.contacts = control_ids_;
    auto hooks = FollowHooks(entry_ids_.back());
    hooks.on_announcement = [](const upstreams::Announcement&, TimePoint) {};
    hooks.local_loads = [this, number] { return LoadsOf(number); };
    EntryHost& host = entries_.emplace_back();
    // Observed at one host only, as it takes time.
    if (number == 0) {
      hooks.on_heard = [&host](const UpstreamId& id, TimePoint at) {
        TimePoint& known = host.heard[id.str()];
        known = std::max(known, at);
        return true;
      };
    }
    host.follower = std::make_unique<FleetFollower>(options, std::move(hooks));
  }

  // Each host has a few requests under way, each at another upstream after the
  // other.
  std::vector<LocalLoad> LoadsOf(int host) const {
    std::vector<LocalLoad> loads;
    if (is_idle_)
      return loads;
    const auto round = (now_ - At(0) + Millis(host * 37 % 1000)) / kRequestTime;
    for (int i = 0; i < kRequestsPerHost; ++i) {
      const auto at = (host * 7919 + i * 104729 + round * 1299709) % upstreams_;
      loads.push_back({UpstreamId(Name(static_cast<int>(at))), 1, 1500, 4000});
    }
    return loads;
  }

  void Queue(const HostId& from, const HostId& to, wire::Envelope envelope) {
    if (legacy_ && envelope.has_fleet_poll())
      envelope.mutable_fleet_poll()->clear_reads_differences();
    if (legacy_ && envelope.has_fleet_news())
      envelope.mutable_fleet_news()->clear_poll_interval_ms();
    CountMessage(from, to, envelope);
    messages_.push_back({from, to, std::move(envelope)});
  }

  void CountMessage(const HostId& from,
                    const HostId& to,
                    const wire::Envelope& envelope) {
    const std::size_t size = envelope.ByteSizeLong();
    control_bytes_[from] += size;
    control_bytes_[to] += size;
    const bool among_control =
        !entry_numbers_.contains(from) && !entry_numbers_.contains(to);
    const std::string where = among_control ? "among control hosts, " : "";
    if (envelope.has_fleet_poll()) {
      counts_[where + "polls"].Add(size);
      return;
    }
    const wire::FleetUpdate& update = envelope.fleet_news();
    counts_[where + "updates"].Add(size);
    std::size_t announced = 0;
    for (const auto& record : update.announcements())
      announced += record.ByteSizeLong() + 2;
    counts_[where + "  of these announcements"].Add(announced);
    counts_[where + "  of these heard again"].Add(
        update.heard().ByteSizeLong());
    counts_[where + "  of these loads"].Add(
        update.fleet_loads().ByteSizeLong());
  }

  void Deliver() {
    while (!messages_.empty()) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      const auto entry = entry_numbers_.find(message.to);
      if (entry != entry_numbers_.end()) {
        entries_[AsIndex(entry->second)].follower->OnUpdate(
            message.from, message.envelope.fleet_news());
        continue;
      }
      const auto number =
          std::find(control_ids_.begin(), control_ids_.end(), message.to) -
          control_ids_.begin();
      ControlHost& host = control_[static_cast<std::size_t>(number)];
      const auto began = std::chrono::steady_clock::now();
      if (message.envelope.has_fleet_poll()) {
        host.feed->OnPoll(message.from, message.envelope.fleet_poll());
      } else {
        host.follower->OnUpdate(message.from, message.envelope.fleet_news());
      }
      processor_us_["control host " + std::to_string(number)] +=
          std::chrono::duration<double, std::micro>(
              std::chrono::steady_clock::now() - began)
              .count();
    }
  }

  void Step() {
    // Each upstream announces itself to one control host, then to the next.
    const auto step = (now_ - At(0)) / kStep;
    const auto steps = kAnnounceInterval / kStep;
    for (int i = static_cast<int>(step % steps); i < upstreams_;
         i += static_cast<int>(steps)) {
      const auto sequence = static_cast<std::uint64_t>(step / steps + 1);
      if (i == silenced_)
        continue;
      ControlHost& host = control_[(AsIndex(i) + sequence) % kControlHosts];
      host.registry.Apply(AnnouncementOf(i, sequence), now_, now_);
    }
    for (std::size_t i = 0; i < control_.size(); ++i) {
      if (step % 5 == static_cast<std::int64_t>(i % 5))
        control_[i].follower->Tick();
      if (step % 100 == 0)
        control_[i].feed->Expire();
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (step % 5 == static_cast<std::int64_t>(i % 5))
        entries_[i].follower->Tick();
    }
    Deliver();
  }

  const int upstreams_;
  const bool legacy_;
  const int hosts_;
  bool is_idle_ = false;
  int silenced_ = -1;
  TimePoint now_ = At(0);
  std::vector<HostId> control_ids_;
  std::vector<HostId> entry_ids_;
  std::map<HostId, int> entry_numbers_;
  std::deque<ControlHost> control_;
  std::deque<EntryHost> entries_;
  std::deque<Message> messages_;
  std::map<std::string, Count> counts_;
  std::map<HostId, std::uint64_t> control_bytes_;
  std::map<std::string, double> processor_us_;
};

constexpr Millis kStart{5000};
constexpr Millis kCounted{3000};

// Counts a fleet after its start. Returns the bytes a second of its leader.
double LeaderBytesPerSecond(int hosts, int upstreams, bool legacy) {
  Fleet fleet(hosts, upstreams, legacy);
  fleet.RunFor(kStart);
  fleet.ResetCounts();
  fleet.RunFor(kCounted);
  fleet.Print(std::to_string(hosts) + " hosts, " + std::to_string(upstreams) +
                  " upstreams" + (legacy ? ", earlier release" : ""),
              kCounted);
  return fleet.ControlBytesPerSecond(0, kCounted);
}

BOOST_AUTO_TEST_SUITE(large_fleet, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(control_sends_less_than_2_kb_a_second_for_each_host) {
  constexpr int kHosts = 300;
  BOOST_TEST(LeaderBytesPerSecond(kHosts, 3000, false) < 2000.0 * kHosts);
}

BOOST_AUTO_TEST_CASE(control_bytes_grow_no_faster_than_hosts) {
  const double of_100 = LeaderBytesPerSecond(100, 1000, false);
  const double of_300 = LeaderBytesPerSecond(300, 3000, false);
  BOOST_TEST(of_300 < 3 * of_100);
}

BOOST_AUTO_TEST_CASE(hosts_of_an_earlier_release_get_messages_that_they_read) {
  Fleet fleet(10, 60, true);
  fleet.RunFor(Millis(4000));
  fleet.StopWork();
  BOOST_TEST(fleet.HeardCount(0) == 60u);
  BOOST_TEST(fleet.OldestHeard(0).count() <= 2100);
  fleet.RunFor(Millis(600));
  BOOST_TEST(fleet.WrongLoads(0, 0) == 0);
}

BOOST_AUTO_TEST_CASE(hosts_know_the_others_work_and_which_upstream_is_silent) {
  Fleet fleet(110, 1200, false);
  fleet.RunFor(Millis(6000));
  BOOST_TEST(fleet.HeardCount(0) == 1200u);
  BOOST_TEST(fleet.OldestHeard(0).count() <= 1900);
  fleet.Silence(7);
  fleet.StopWork();
  fleet.RunFor(Millis(3500));
  BOOST_TEST(fleet.WrongLoads(0, kSlots / LoadTable::kSlotsPerQuantum - 1) ==
             0);
  BOOST_TEST(fleet.HeardAge(0, 7).count() >= 2300);
  BOOST_TEST(fleet.HeardAge(0, 8).count() <= 2500);
}

BOOST_AUTO_TEST_CASE(up_to_100_hosts_poll_each_250_ms) {
  Fleet small(100, 10, false);
  small.RunFor(Millis(3000));
  BOOST_TEST(small.PollInterval(0).count() == 250);
  Fleet large(300, 10, false);
  large.RunFor(Millis(3000));
  BOOST_TEST(large.PollInterval(0).count() == 750);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
