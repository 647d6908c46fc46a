#ifndef ENDIVECART_FLEET_LARGE_FLEET_FIXTURE_H_
#define ENDIVECART_FLEET_LARGE_FLEET_FIXTURE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "endivecart/fleet/fleet.h"

// A whole fleet of real feeds and followers with a manual clock, on a network
// without delay unless the entry hosts' links are limited. For tests.

namespace endivecart::fleet {

constexpr int kControlHosts = 6;
constexpr Millis kStep{10};
constexpr Millis kAnnounceInterval{1200};
constexpr Millis kRequestTime{1000};
constexpr int kRequestsPerHost = 4;
constexpr int kSlots = 16;
constexpr std::size_t kRoutingBytes = 50000;

inline TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

inline std::string Name(int upstream) {
  return "i-" + std::to_string(100000 + upstream);
}

inline upstreams::Announcement AnnouncementOf(int upstream,
                                              std::uint64_t sequence) {
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

  std::uint64_t entries = 0;
  std::size_t largest = 0;  // of a message, in bytes

  void Add(std::size_t size, std::size_t listed = 0) {
    entries += listed;
    largest = std::max(largest, size);
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

  // From now on messages to each entry host arrive one after the other, at this
  // rate.
  void LimitLinks(std::size_t bytes_per_s) { link_bytes_per_s_ = bytes_per_s; }
  // All control hosts apply a new routing document.
  void Replace(std::uint64_t version, const std::string& document) {
    for (ControlHost& host : control_) {
      Decisions decisions;
      decisions.index = ++host.index;
      decisions.routing_version = version;
      decisions.routing_document = document;
      host.feed->PushDecisions(decisions);
    }
  }
  // Returns how many entry hosts have this routing version, or a newer one, in
  // force.
  int CountWithRouting(std::uint64_t version) const {
    return static_cast<int>(std::count_if(
        entries_.begin(), entries_.end(), [version](const EntryHost& host) {
          const DecisionsPtr& decisions = host.follower->decisions();
          return decisions && decisions->routing_version >= version;
        }));
  }
  const Decisions& DecisionsOf(int host) const {
    return *entries_[AsIndex(host)].follower->decisions();
  }
  // Returns the bytes that wait at the control host, at most at any time.
  std::size_t PeakQueuedBytes(int host) const {
    const auto it = peak_queued_.find(control_ids_[AsIndex(host)]);
    return it == peak_queued_.end() ? 0 : it->second;
  }
  // Messages to the entry host are lost while it is cut off.
  void SetCutOff(int host, bool is_cut_off) {
    entries_[AsIndex(host)].is_cut_off = is_cut_off;
  }
  void RestartEntryHost(int host) {
    entries_[AsIndex(host)].has_routing = false;
    StartFollower(host, ++restarts_ * 1000003);
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

  // Of messages of one kind; see CountMessage().
  Count CountOf(const std::string& kind) const {
    const auto it = counts_.find(kind);
    return it == counts_.end() ? Count() : it->second;
  }
  // The control host is powered off.
  void Lose(int host) { control_[AsIndex(host)].is_lost = true; }
  // `host`: -1 if there is none.
  void SetLeader(int host) { leader_ = host; }
  // All processes of entry hosts start anew at once.
  void RestartEntryHosts() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      EntryHost& host = entries_[i];
      host.known.clear();
      host.heard.clear();
      host.has_routing = false;
      host.loads_from = HostId();
      StartFollower(static_cast<int>(i), 1000003);
    }
  }
  // Returns how many entry hosts have the routing configuration, all upstreams
  // and the loads as the leader knows them.
  int CountServing() const {
    return static_cast<int>(std::count_if(
        entries_.begin(), entries_.end(), [this](const EntryHost& host) {
          return leader_ >= 0 && host.has_routing &&
                 host.loads_from == control_ids_[AsIndex(leader_)] &&
                 static_cast<int>(host.known.size()) == upstreams_;
        }));
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
    std::uint64_t index = 1;  // of the last decision
    bool is_lost = false;
  };
  struct EntryHost {
    std::unique_ptr<FleetFollower> follower;
    std::set<std::string> known;  // upstreams
    bool has_routing = false;
    bool is_cut_off = false;
    HostId loads_from;
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
    feed_hooks.leader_host = [this] {
      return leader_ < 0 ? HostId() : control_ids_[AsIndex(leader_)];
    };
    feed_hooks.on_move_report = [](const HostId&,
                                   const wire::ServiceMoveReport&) {};
    feed_hooks.quiesced = [] { return std::vector<UpstreamId>(); };
    feed_hooks.cache_update = [](const CachePosition&) {
      return std::optional<wire::CacheUpdate>();
    };
    host.feed = std::make_unique<FleetFeed>(AsIndex(number) + 1, &host.registry,
                                            std::move(feed_hooks));
    Decisions decisions;
    decisions.index = 1;
    decisions.routing_version = 1;
    decisions.routing_document.assign(kRoutingBytes, 'r');
    host.feed->PushDecisions(decisions);
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
    entries_.emplace_back();
    StartFollower(number, 0);
  }

  // `start`: differs from those of earlier processes of the host.
  void StartFollower(int number, std::uint64_t start) {
    const HostId& self = entry_ids_[AsIndex(number)];
    FleetFollowerOptions options;
    options.self = self;
    options.incarnation = AsIndex(number) * 7919 + start;
    options.serves_callers = true;
    options.contacts = control_ids_;
    auto hooks = FollowHooks(self);
    EntryHost& host = entries_[AsIndex(number)];
    hooks.on_announcement = [&host](const upstreams::Announcement& announcement,
                                    TimePoint) {
      host.known.insert(announcement.id.str());
    };
    hooks.on_decisions = [&host](const DecisionsPtr&) {
      host.has_routing = true;
    };
    hooks.local_loads = [this, number] { return LoadsOf(number); };
    hooks.on_heard = [&host](const UpstreamId& id, TimePoint) {
      return host.known.contains(id.str());
    };
    // Times are observed at one host only.
    if (number == 0) {
      hooks.on_heard = [&host](const UpstreamId& id, TimePoint at) {
        TimePoint& known = host.heard[id.str()];
        known = std::max(known, at);
        return host.known.contains(id.str());
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
    if (legacy_ && envelope.has_fleet_poll()) {
      envelope.mutable_fleet_poll()->clear_reads_differences();
      envelope.mutable_fleet_poll()->clear_reads_encoded_routing();
    }
    if (legacy_ && envelope.has_fleet_news())
      envelope.mutable_fleet_news()->clear_poll_interval_ms();
    CountMessage(from, to, envelope);
    TimePoint due = now_;
    if (link_bytes_per_s_ > 0 && entry_numbers_.contains(to)) {
      const std::size_t size = envelope.ByteSizeLong();
      TimePoint& link_free_at = link_free_at_[to];
      link_free_at =
          std::max(link_free_at, now_) +
          std::chrono::microseconds(size * 1000000 / link_bytes_per_s_);
      due = link_free_at;
      queued_[from] += size;
      std::size_t& peak = peak_queued_[from];
      peak = std::max(peak, queued_[from]);
    }
    messages_.emplace(due, Message{from, to, std::move(envelope)});
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
    if (envelope.has_routing_receipt()) {
      counts_["receipts"].Add(size);
      return;
    }
    const wire::FleetUpdate& update = envelope.fleet_news();
    counts_[where + "updates"].Add(size, CountEntries(update));
    std::size_t announced = 0;
    for (const auto& record : update.announcements())
      announced += record.ByteSizeLong() + 2;
    counts_[where + "  of these announcements"].Add(
        announced, static_cast<std::size_t>(update.announcements_size()));
    counts_[where + "  of these heard again"].Add(
        update.heard().ByteSizeLong());
    counts_[where + "  of these loads"].Add(
        update.fleet_loads().ByteSizeLong());
  }

  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const Message message = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      const auto entry = entry_numbers_.find(message.to);
      if (link_bytes_per_s_ > 0 && entry != entry_numbers_.end())
        queued_[message.from] -= message.envelope.ByteSizeLong();
      if (IsLost(message.from) || IsLost(message.to))
        continue;
      if (entry != entry_numbers_.end()) {
        if (entries_[AsIndex(entry->second)].is_cut_off)
          continue;
        if (message.envelope.fleet_news().has_fleet_loads())
          entries_[AsIndex(entry->second)].loads_from = message.from;
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
      } else if (message.envelope.has_routing_receipt()) {
        host.feed->OnReceipt(message.from, message.envelope.routing_receipt());
      } else {
        host.follower->OnUpdate(message.from, message.envelope.fleet_news());
      }
      processor_us_["control host " + std::to_string(number)] +=
          std::chrono::duration<double, std::micro>(
              std::chrono::steady_clock::now() - began)
              .count();
    }
  }

  bool IsLost(const HostId& host) const {
    const auto it = std::find(control_ids_.begin(), control_ids_.end(), host);
    return it != control_ids_.end() &&
           control_[static_cast<std::size_t>(it - control_ids_.begin())]
               .is_lost;
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
      std::size_t number = (AsIndex(i) + sequence) % kControlHosts;
      // Upstreams call another one that answers.
      while (control_[number].is_lost)
        number = (number + 1) % kControlHosts;
      ControlHost& host = control_[number];
      host.registry.Apply(AnnouncementOf(i, sequence), now_, now_);
    }
    for (std::size_t i = 0; i < control_.size(); ++i) {
      if (control_[i].is_lost)
        continue;
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
  int leader_ = 0;
  TimePoint now_ = At(0);
  std::vector<HostId> control_ids_;
  std::vector<HostId> entry_ids_;
  std::map<HostId, int> entry_numbers_;
  std::deque<ControlHost> control_;
  std::deque<EntryHost> entries_;
  std::multimap<TimePoint, Message> messages_;  // by arrival
  std::size_t link_bytes_per_s_ = 0;            // 0: unlimited
  std::map<HostId, TimePoint> link_free_at_;
  std::map<HostId, std::size_t> queued_;  // bytes by sender
  std::map<HostId, std::size_t> peak_queued_;
  std::uint64_t restarts_ = 1;
  std::map<std::string, Count> counts_;
  std::map<HostId, std::uint64_t> control_bytes_;
  std::map<std::string, double> processor_us_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_LARGE_FLEET_FIXTURE_H_
