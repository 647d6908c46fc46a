#include "fleet_load.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <thread>
#include <vector>
#include <zmq.hpp>

#include "endivecart/fleet/fleet.h"
#include "platform.h"

namespace bench {

namespace {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

constexpr int kMaxSockets = 16384;
constexpr int kAnnouncers = 6;
constexpr int kServices = 40;
constexpr int kDomains = 6;
constexpr int kSlots = 16;
constexpr int kRequestsPerHost = 4;
constexpr Millis kStep{5};
constexpr Millis kTick{50};
constexpr Millis kRequestTime{1000};
constexpr Millis kAnnounceInterval{1200};
// Of an idle connection; upstreams close it before the server would.
constexpr Millis kKeepTime{12000};

TimePoint Now() {
  return TimePoint(std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

std::string Name(int upstream) {
  return "i-" + std::to_string(100000 + upstream);
}

// An entry host's follower, with a socket to each control host.
class SimulatedHost {
 public:
  SimulatedHost(zmq::context_t& context, const FleetLoad& load, int number)
      : load_(load), number_(number) {
    const HostId self("10.2." + std::to_string(number / 200) + "." +
                      std::to_string(number % 200));
    fleet::FleetFollowerOptions options;
    options.self = self;
    options.incarnation = static_cast<std::uint64_t>(number + 1) * 7919;
    options.serves_callers = true;
    for (const std::string& host : load.control_hosts) {
      options.contacts.emplace_back(host);
      zmq::socket_t& socket =
          sockets_
              .emplace(HostId(host),
                       zmq::socket_t(context, zmq::socket_type::dealer))
              .first->second;
      socket.set(zmq::sockopt::linger, 0);
      socket.set(zmq::sockopt::immediate, true);
      socket.set(zmq::sockopt::routing_id, self.str());
      socket.connect("tcp://" + host + ":" + std::to_string(load.peer_port));
    }
    fleet::FleetFollower::Hooks hooks;
    hooks.send = [this, self](const HostId& to, wire::Envelope envelope) {
      envelope.set_from(self.str());
      const std::string bytes = envelope.SerializeAsString();
      static_cast<void>(
          sockets_.at(to).send(zmq::buffer(bytes), zmq::send_flags::dontwait));
    };
    hooks.on_control_hosts = [](const std::vector<HostId>&) {};
    hooks.on_decisions = [](const fleet::DecisionsPtr&) {};
    hooks.on_announcement = [](const upstreams::Announcement&, TimePoint) {};
    hooks.move_reports = [] { return std::vector<wire::ServiceMoveReport>(); };
    hooks.local_loads = [this] { return Loads(); };
    hooks.limit_findings = [this] { return Limits(); };
    hooks.reach_report = [this] { return Reach(); };
    hooks.now = Now;
    follower_.emplace(options, std::move(hooks));
  }

  void Receive() {
    zmq::message_t message;
    for (auto& [host, socket] : sockets_) {
      while (socket.recv(message, zmq::recv_flags::dontwait)) {
        bytes_ += message.size();
        wire::Envelope envelope;
        if (envelope.ParseFromArray(message.data(),
                                    static_cast<int>(message.size()))) {
          ++updates_;
          // Nothing here uses them.
          envelope.mutable_fleet_news()->clear_announcements();
          follower_->OnUpdate(host, envelope.fleet_news());
        }
      }
    }
  }
  void Tick() { follower_->Tick(); }
  std::uint64_t updates() const { return updates_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  int UpstreamAt(int i, std::int64_t round) const {
    return static_cast<int>(
        (number_ * 7919LL + i * 104729LL + round * 1299709LL) %
        load_.upstreams);
  }
  std::vector<fleet::LocalLoad> Loads() const {
    const auto round =
        (Now().time_since_epoch() + Millis(number_ * 37 % 1000)) / kRequestTime;
    std::vector<fleet::LocalLoad> loads;
    loads.reserve(kRequestsPerHost);
    for (int i = 0; i < kRequestsPerHost; ++i)
      loads.push_back({UpstreamId(Name(UpstreamAt(i, round))), 1, 1500, 4000});
    return loads;
  }
  std::vector<limits::NamedLimit> Limits() const {
    std::vector<limits::NamedLimit> limits;
    limits.reserve(static_cast<std::size_t>(load_.limits));
    for (int i = 0; i < load_.limits; ++i) {
      limits.push_back({Name(UpstreamAt(i, 0)) + "/1700000000000",
                        {50.0, std::nullopt},
                        Now() - Millis(number_ % 500),
                        {}});
    }
    return limits;
  }
  quarantine::HostReach Reach() const {
    quarantine::HostReach reach;
    reach.domain = DomainId("zone-" + std::to_string(number_ % kDomains));
    reach.relay_port = 7300;
    reach.services.reserve(kServices);
    for (int i = 0; i < kServices; ++i)
      reach.services.push_back({"service-" + std::to_string(i), false, Now()});
    return reach;
  }

  const FleetLoad& load_;
  const int number_;
  std::map<HostId, zmq::socket_t> sockets_;
  std::optional<fleet::FleetFollower> follower_;
  std::uint64_t updates_ = 0;
  std::uint64_t bytes_ = 0;
};

upstreams::Announcement AnnouncementOf(int upstream, std::uint64_t sequence) {
  constexpr int kPerNetwork = 250;
  upstreams::Announcement announcement;
  announcement.id = UpstreamId(Name(upstream));
  announcement.start_time_ms = 1700000000000;
  announcement.sequence = sequence;
  announcement.service =
      routes::ServiceId("service-" + std::to_string(upstream % kServices));
  announcement.address = {"10." + std::to_string(3 + upstream / kPerNetwork) +
                              ".1." + std::to_string(upstream % kPerNetwork),
                          8080};
  announcement.domain = DomainId("zone-" + std::to_string(upstream % kDomains));
  announcement.software_version = VersionId("v2.14.0");
  announcement.slots = kSlots;
  announcement.models = {{ModelId("model-a"), 12}};
  return announcement;
}

// Announces a share of the upstreams, each to any control host, on one thread.
class Announcer {
 public:
  Announcer(const FleetLoad& load, int number, std::atomic<bool>& stop)
      : load_(load),
        number_(number),
        stop_(stop),
        random_(static_cast<unsigned>(number)) {}

  void Run() {
    const TimePoint start = Now();
    std::uniform_int_distribution<std::size_t> any(
        0, load_.control_hosts.size() - 1);
    for (std::int64_t call = number_; !stop_; call += kAnnouncers) {
      const TimePoint due =
          start +
          std::chrono::microseconds(kAnnounceInterval) * call / load_.upstreams;
      std::this_thread::sleep_until(
          std::chrono::steady_clock::time_point(due.time_since_epoch()));
      const int upstream = static_cast<int>(call % load_.upstreams);
      Call(upstream, any(random_),
           static_cast<std::uint64_t>(call / load_.upstreams + 1));
    }
  }
  std::uint64_t calls = 0;
  std::uint64_t connects = 0;
  std::uint64_t broken = 0;

 private:
  struct Connection {
    int descriptor = -1;
    TimePoint used_at{};
  };

  int Connect(std::size_t host) {
    ++connects;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(load_.operator_port));
    inet_pton(AF_INET, load_.control_hosts[host].c_str(), &address.sin_addr);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
      ::close(descriptor);
      return -1;
    }
    const timeval timeout{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    return descriptor;
  }
  void Call(int upstream, std::size_t host, std::uint64_t sequence) {
    ++calls;
    Connection& connection = connections_[{upstream, host}];
    if (connection.descriptor >= 0 && Now() - connection.used_at > kKeepTime) {
      ::close(std::exchange(connection.descriptor, -1));
    }
    if (connection.descriptor < 0)
      connection.descriptor = Connect(host);
    connection.used_at = Now();
    const std::string text =
        platform::AnnouncementCall(AnnouncementOf(upstream, sequence));
    std::array<char, 1024> answer{};
    if (connection.descriptor < 0 ||
        ::send(connection.descriptor, text.data(), text.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(text.size()) ||
        ::recv(connection.descriptor, answer.data(), answer.size(), 0) <= 0) {
      ++broken;
      if (connection.descriptor >= 0)
        ::close(std::exchange(connection.descriptor, -1));
    }
  }

  const FleetLoad& load_;
  const int number_;
  std::atomic<bool>& stop_;
  std::mt19937 random_;
  std::map<std::pair<int, std::size_t>, Connection> connections_;
};

}  // namespace

int RunFleetLoad(const FleetLoad& load) {
  SetUpLogging({.level = "error"});
  std::atomic<bool> stop = false;
  std::deque<Announcer> announcers;
  std::vector<std::thread> announcing;
  for (int i = 0; i < kAnnouncers; ++i) {
    Announcer& announcer = announcers.emplace_back(load, i, stop);
    announcing.emplace_back([&announcer] { announcer.Run(); });
  }
  zmq::context_t context(1);
  context.set(zmq::ctxopt::max_sockets, kMaxSockets);
  std::deque<SimulatedHost> hosts;
  for (int i = 0; i < load.hosts; ++i)
    hosts.emplace_back(context, load, i);
  const TimePoint end = Now() + Millis(static_cast<int>(load.seconds * 1000));
  std::int64_t step = 0;
  for (; Now() < end; ++step) {
    const TimePoint next = Now() + kStep;
    constexpr std::int64_t kStepsPerTick = kTick / kStep;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      hosts[i].Receive();
      if (step % kStepsPerTick == static_cast<std::int64_t>(i) % kStepsPerTick)
        hosts[i].Tick();
    }
    std::this_thread::sleep_until(
        std::chrono::steady_clock::time_point(next.time_since_epoch()));
  }
  stop = true;
  for (std::thread& thread : announcing)
    thread.join();
  std::uint64_t calls = 0;
  std::uint64_t connects = 0;
  std::uint64_t broken = 0;
  for (const Announcer& announcer : announcers) {
    calls += announcer.calls;
    connects += announcer.connects;
    broken += announcer.broken;
  }
  std::uint64_t updates = 0;
  std::uint64_t bytes = 0;
  for (const SimulatedHost& host : hosts) {
    updates += host.updates();
    bytes += host.bytes();
  }
  const auto rate = [&](std::uint64_t count) {
    return static_cast<double>(count) / load.seconds;
  };
  std::printf(
      "a second: %.0f announcements, %.0f on new connections, %.1f broken, "
      "%.0f updates, %.0f kB of updates\n",
      rate(calls), rate(connects), rate(broken), rate(updates),
      rate(bytes) / 1000);
  return 0;
}

}  // namespace bench
