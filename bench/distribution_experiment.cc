// Measures what a change of a large routing document costs, with real feeds and
// followers and without a network.

#include <ctime>
#include <deque>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>

#include "endivecart/fleet/fleet.h"
#include "experiments.h"
#include "platform.h"

namespace bench {

namespace {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

constexpr int kRoutes = 1400;
constexpr int kChanges = 20;
constexpr Millis kChangeInterval{330};

double ProcessorMillis() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

using Decode = std::function<void(std::string_view document)>;

// A configuration with `kRoutes` routes, of which each version changes one.
class Documents {
 public:
  explicit Documents(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kRoutes; ++i)
      prefixes_.push_back(RandomName());
  }

  std::string Next(std::uint64_t version) {
    prefixes_[version * 37 % kRoutes] = RandomName();
    std::string text = R"({"version":)" + std::to_string(version) +
                       R"(,"services":[{"name":"orders"}],"routes":[)";
    for (std::size_t i = 0; i < prefixes_.size(); ++i) {
      text += R"({"name":"r-)" + std::to_string(i) +
              R"(","host":"orders.example","path_prefix":"/)" + prefixes_[i] +
              R"(/","type":"unsafe","timeout_ms":1500,"target_latency_ms":150,)"
              R"("priority":1,"service":"orders","attempts":2,"public":false,)"
              R"("sticky":false,"resumable":false,"gap_target_ms":0},)";
    }
    text.back() = ']';
    return text + "}";
  }

 private:
  std::string RandomName() {
    std::string name;
    for (int i = 0; i < 18; ++i)
      name += static_cast<char>('a' + random_() % 26);
    return name;
  }

  std::mt19937_64 random_;
  std::vector<std::string> prefixes_;
};

// A control host's feed and the followers of many entry hosts. The processor
// time of each side is measured apart.
class Fleet {
 public:
  explicit Fleet(int hosts) : feed_(1, &registry_, FeedHooks()) {
    for (int i = 0; i < hosts; ++i)
      AddHost("10.2." + std::to_string(i / 200) + "." + std::to_string(i % 200),
              i);
  }

  void Replace(std::uint64_t version, std::string document) {
    fleet::Decisions decisions;
    decisions.index = version;
    decisions.routing_version = version;
    decisions.routing_document = std::move(document);
    OnControlHost([&] { feed_.PushDecisions(decisions); });
    Deliver();
  }

  void RunFor(Millis duration) {
    for (const TimePoint end = now_ + duration; now_ < end;
         now_ += Millis(50)) {
      for (auto& [id, follower] : followers_)
        OnHosts([&f = *follower] { f.Tick(); });
      Deliver();
    }
  }

  int CountWithRouting(std::uint64_t version) const {
    int count = 0;
    for (const auto& [id, follower] : followers_) {
      const auto& decisions = follower->decisions();
      count += decisions && decisions->routing_version == version ? 1 : 0;
    }
    return count;
  }

  std::uint64_t update_bytes = 0;
  double control_ms = 0;
  double hosts_ms = 0;

 private:
  struct Message {
    HostId host;  // the entry host that sends or receives it
    wire::Envelope envelope;
  };

  template <class Work>
  void Measure(double& spent_ms, const Work& work) {
    const double began = ProcessorMillis();
    work();
    spent_ms += ProcessorMillis() - began;
  }
  template <class Work>
  void OnControlHost(const Work& work) {
    Measure(control_ms, work);
  }
  template <class Work>
  void OnHosts(const Work& work) {
    Measure(hosts_ms, work);
  }

  fleet::FleetFeed::Hooks FeedHooks() {
    fleet::FleetFeed::Hooks hooks;
    hooks.send = [this](const HostId& to, wire::Envelope envelope) {
      update_bytes += envelope.ByteSizeLong();
      to_hosts_.push_back({to, std::move(envelope)});
    };
    hooks.now = [this] { return now_; };
    hooks.voter_hosts = [this] { return std::vector<HostId>{control_}; };
    hooks.leader_host = [this] { return control_; };
    hooks.on_move_report = [](const HostId&, const wire::ServiceMoveReport&) {};
    hooks.quiesced = [] { return std::vector<UpstreamId>(); };
    hooks.cache_update = [](const fleet::CachePosition&) {
      return std::optional<wire::CacheUpdate>();
    };
    return hooks;
  }

  void AddHost(const std::string& name, int number) {
    const HostId self(name);
    fleet::FleetFollowerOptions options;
    options.self = self;
    options.incarnation = static_cast<std::uint64_t>(number) + 1;
    options.serves_callers = true;
    options.contacts = {control_};
    fleet::FleetFollower::Hooks hooks;
    hooks.send = [this, self](const HostId&, wire::Envelope envelope) {
      to_control_.push_back({self, std::move(envelope)});
    };
    hooks.on_control_hosts = [](const std::vector<HostId>&) {};
    hooks.on_decisions = [](const fleet::DecisionsPtr&) {};
    hooks.local_loads = [] { return std::vector<fleet::LocalLoad>(); };
    hooks.move_reports = [] { return std::vector<wire::ServiceMoveReport>(); };
    hooks.now = [this] { return now_; };
    followers_.emplace(self, std::make_unique<fleet::FleetFollower>(
                                 options, std::move(hooks)));
  }

  void Deliver() {
    while (!to_hosts_.empty() || !to_control_.empty()) {
      for (const Message& message : std::exchange(to_hosts_, {})) {
        OnHosts([&] {
          followers_.at(message.host)
              ->OnUpdate(control_, message.envelope.fleet_news());
        });
      }
      for (const Message& message : std::exchange(to_control_, {})) {
        OnControlHost([&] {
          if (message.envelope.has_routing_receipt()) {
            feed_.OnReceipt(message.host, message.envelope.routing_receipt());
          } else {
            feed_.OnPoll(message.host, message.envelope.fleet_poll());
          }
        });
      }
    }
  }

  const HostId control_{"10.1.0.1"};
  TimePoint now_{std::chrono::seconds(1000)};
  upstreams::UpstreamRegistry registry_;
  fleet::FleetFeed feed_;
  std::map<HostId, std::unique_ptr<fleet::FleetFollower>> followers_;
  std::deque<Message> to_hosts_;
  std::deque<Message> to_control_;
};

// Returns the processor time, in ms, that a host needs to decode each of
// `documents`, which come one after the other.
double DecodeMillis(const std::vector<std::string>& documents,
                    const Decode& decode) {
  decode(documents.front());
  const double began = ProcessorMillis();
  for (const std::string& document : documents)
    decode(document);
  return (ProcessorMillis() - began) / static_cast<double>(documents.size());
}

}  // namespace

int RunDistribution(const SiteTargets& site) {
  SetUpLogging({LogFormat::kKeyValue, "", false, "warn"});
  std::cout << "hosts  document kB  kB a change  control ms  host ms  "
               "decode ms  whole ms\n";
  for (const int hosts : {100, 300}) {
    Documents documents(site.seed);
    Fleet fleet(hosts);
    fleet.RunFor(Millis(1000));
    std::uint64_t version = 2;
    std::vector<std::string> made{documents.Next(version)};
    fleet.Replace(version, made.back());
    fleet.RunFor(Millis(2000));
    // What polls and their answers cost without changes is left out.
    fleet.update_bytes = 0;
    fleet.control_ms = fleet.hosts_ms = 0;
    fleet.RunFor(kChanges * kChangeInterval);
    const auto idle_bytes = static_cast<double>(fleet.update_bytes);
    const double idle_control_ms = fleet.control_ms;
    const double idle_hosts_ms = fleet.hosts_ms;
    fleet.update_bytes = 0;
    fleet.control_ms = fleet.hosts_ms = 0;
    for (int i = 0; i < kChanges; ++i) {
      made.push_back(documents.Next(++version));
      fleet.Replace(version, made.back());
      fleet.RunFor(kChangeInterval);
    }
    if (fleet.CountWithRouting(version) != hosts) {
      std::cerr << "the last change is not in force everywhere\n";
      return 1;
    }
    platform::RoutingDecoder decoder;
    std::cout << std::fixed << std::setprecision(2) << std::setw(5) << hosts
              << std::setw(13) << static_cast<double>(made.back().size()) / 1e3
              << std::setw(13)
              << (static_cast<double>(fleet.update_bytes) - idle_bytes) /
                     kChanges / 1e3
              << std::setw(12)
              << (fleet.control_ms - idle_control_ms) / kChanges << std::setw(9)
              << (fleet.hosts_ms - idle_hosts_ms) / kChanges / hosts
              << std::setw(11)
              << DecodeMillis(made,
                              [&decoder](std::string_view document) {
                                decoder.Decode(document);
                              })
              << std::setw(10)
              << DecodeMillis(made,
                              [](std::string_view document) {
                                platform::DecodeRouting(document);
                              })
              << '\n';
  }
  return 0;
}

}  // namespace bench
