#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "endivecart/configuration/configuration.h"
#include "endivecart/moves/moves.h"
#include "experiments.h"

namespace bench {

namespace {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

constexpr int kUpstreams = 12;
constexpr int kHosts = 6;
constexpr std::int64_t kStepMs = 25;
constexpr std::int64_t kPropagationMs = 200;
constexpr std::int64_t kReportMs = 250;
constexpr std::int64_t kLoadMs = 1000;
constexpr std::int64_t kWatchMs = 30000;  // after the deadline
constexpr double kRequestsPerStep = 1.0;  // 40 a second
constexpr std::int64_t kEpochMs = 1000000;

// How a version behaves in one kind of experiment.
struct Behaviour {
  const char* name;
  bool bad = true;
  double fail = 0;           // part of requests, while bad
  double slow = 1;           // factor on first token and gaps, while bad
  std::int64_t from_ms = 0;  // bad from then on
  bool under_load = false;   // bad only where load is high
  bool one_route = false;
  bool one_domain = false;
  double noise_fail = 0.003;   // of both versions
  double noise_spread = 0.25;  // of both versions' latencies
  std::int64_t deadline_ms = 60000;
};

const Behaviour kBehaviours[] = {
    {"fails at once", true, 0.5, 1},
    {"fails always", true, 1.0, 1},
    {"fails one in ten", true, 0.1, 1},
    {"slow at once", true, 0, 2.5},
    {"fails later", true, 0.5, 1, 40000},
    {"slow later", true, 0, 2.5, 40000},
    {"fails after promotion", true, 0.5, 1, 70000},
    {"fails under load", true, 0.5, 1, 0, true},
    {"slow under load", true, 0, 3, 0, true},
    {"fails on one route", true, 0.5, 1, 0, false, true},
    {"fails in one domain", true, 0.5, 1, 0, false, false, true},
    {"good", false},
    {"good, noisy", false, 0, 1, 0, false, false, false, 0.01, 0.5},
    {"good, near deadline", false, 0, 1, 0, false, false, false, 0.003, 0.25,
     15000},
};

struct MoveResult {
  std::uint64_t requests = 0;
  std::uint64_t met_bad = 0;  // given to the version while it was bad
  std::uint64_t faults = 0;   // bad answers or slow ones
  std::int64_t first_fault_ms = -1;
  std::int64_t fifth_fault_ms = -1;
  std::int64_t last_given_ms = -1;
  std::string state;
  bool done_in_time = false;
};

class MoveWorld {
 public:
  MoveWorld(const Behaviour& behaviour, std::uint64_t seed)
      : behaviour_(behaviour), random_(seed) {}

  MoveResult Run();

 private:
  struct Upstream {
    moves::KnownUpstream known;
    std::optional<std::int64_t> loaded_at;
    std::deque<std::int64_t> recent;  // requests within a second
  };
  struct Host {
    moves::VersionGate gate;
    configuration::ConfigurationPtr configuration;
  };

  void Apply(const std::string& patch);
  void Propagate();
  void Control();
  void OneRequest();
  bool IsBad(const std::string& route, const Upstream& upstream) const;
  Upstream& PickUpstream(const VersionId& version);
  void Serve(Host& host,
             const configuration::Model& model,
             const VersionId& version,
             const std::string& route);
  double Chance() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  const Behaviour behaviour_;
  std::mt19937_64 random_;
  std::int64_t now_ms_ = 0;
  configuration::ConfigurationPtr newest_;
  std::deque<std::pair<std::int64_t, configuration::ConfigurationPtr>>
      on_the_way_;
  std::vector<Host> hosts_{kHosts};
  std::vector<Upstream> upstreams_;
  std::vector<std::pair<std::int64_t, std::string>> proposals_;
  std::optional<moves::MoveController> controller_;
  MoveResult result_;
};

void MoveWorld::Apply(const std::string& patch) {
  const std::string before = newest_ ? newest_->document : "{}";
  const auto document = configuration::ApplyMergePatch(before, patch);
  auto set = configuration::ParseConfiguration(*document);
  newest_ = std::make_shared<const configuration::ConfigurationSnapshot>(
      configuration::ConfigurationSnapshot{newest_ ? newest_->revision + 1 : 1,
                                           *document, std::move(*set)});
  on_the_way_.emplace_back(now_ms_ + kPropagationMs, newest_);
}

void MoveWorld::Propagate() {
  while (!on_the_way_.empty() && on_the_way_.front().first <= now_ms_) {
    for (Host& host : hosts_)
      host.configuration = on_the_way_.front().second;
    on_the_way_.pop_front();
  }
}

void MoveWorld::Control() {
  std::vector<moves::KnownUpstream> known;
  for (Upstream& upstream : upstreams_) {
    if (upstream.loaded_at && now_ms_ >= *upstream.loaded_at &&
        upstream.known.versions.size() == 1) {
      upstream.known.versions.emplace_back("v2");
      controller_->OnOrderEnded(upstream.known.id,
                                TimePoint(Millis(100000 + now_ms_)));
    }
    known.push_back(upstream.known);
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    for (const moves::MoveReport& report : hosts_[i].gate.Reports())
      controller_->OnReport(HostId("h" + std::to_string(i)), report);
  }
  controller_->Tick(*newest_, known, kEpochMs + now_ms_,
                    TimePoint(Millis(100000 + now_ms_)));
}

bool MoveWorld::IsBad(const std::string& route,
                      const Upstream& upstream) const {
  constexpr std::size_t kHighLoad = 3;  // requests a second at one upstream
  return behaviour_.bad && now_ms_ >= behaviour_.from_ms &&
         (!behaviour_.under_load || upstream.recent.size() >= kHighLoad) &&
         (!behaviour_.one_route || route == "caption") &&
         (!behaviour_.one_domain || upstream.known.domain.str() == "c");
}

MoveWorld::Upstream& MoveWorld::PickUpstream(const VersionId& version) {
  std::vector<Upstream*> able;
  for (Upstream& upstream : upstreams_) {
    for (const VersionId& loaded : upstream.known.versions) {
      if (loaded == version)
        able.push_back(&upstream);
    }
  }
  return *able[random_() % able.size()];
}

void MoveWorld::Serve(Host& host,
                      const configuration::Model& model,
                      const VersionId& version,
                      const std::string& route) {
  Upstream& upstream = PickUpstream(version);
  while (!upstream.recent.empty() && upstream.recent.front() < now_ms_ - 1000) {
    upstream.recent.pop_front();
  }
  upstream.recent.push_back(now_ms_);
  const bool is_new = version.str() == "v2";
  const bool bad = is_new && IsBad(route, upstream);
  std::lognormal_distribution<double> noise(0, behaviour_.noise_spread);
  moves::VersionOutcome outcome;
  outcome.route = route;
  outcome.domain = upstream.known.domain;
  outcome.failed =
      Chance() < behaviour_.noise_fail || (bad && Chance() < behaviour_.fail);
  outcome.first_token_ratio = noise(random_) * (bad ? behaviour_.slow : 1);
  outcome.gap_ms = 15 * noise(random_) * (bad ? behaviour_.slow : 1);
  host.gate.OnOutcome(model, version, outcome);
  if (!is_new)
    return;
  result_.last_given_ms = now_ms_;
  if (behaviour_.bad && now_ms_ >= behaviour_.from_ms)
    ++result_.met_bad;
  if (!bad || (!outcome.failed && behaviour_.slow <= 1))
    return;
  if (++result_.faults == 1)
    result_.first_fault_ms = now_ms_;
  if (result_.faults == 5)
    result_.fifth_fault_ms = now_ms_;
}

void MoveWorld::OneRequest() {
  Host& host = hosts_[random_() % hosts_.size()];
  ++result_.requests;
  const auto& model = host.configuration->set.models().at(ModelId("quill"));
  const std::string route = random_() % 2 == 0 ? "caption" : "quote";
  VersionId version =
      host.gate.Choose(model, route, static_cast<int>(random_() % 1000), true);
  // Without an upstream that has it, the promoted version serves.
  const bool loaded =
      version == model.version ||
      std::any_of(upstreams_.begin(), upstreams_.end(), [&](const Upstream& u) {
        return u.known.versions.size() > 1;
      });
  Serve(host, model, loaded ? version : model.version, route);
}

MoveResult MoveWorld::Run() {
  for (int i = 0; i < kUpstreams; ++i) {
    Upstream upstream;
    upstream.known.id = UpstreamId("u" + std::to_string(10 + i));
    upstream.known.domain = DomainId(std::string(1, "abc"[i % 3]));
    upstream.known.model = ModelId("quill");
    upstream.known.versions = {VersionId("v1")};
    upstreams_.push_back(std::move(upstream));
  }
  controller_.emplace(moves::MoveController::Hooks{
      [this](const std::string&, const std::string& patch, Revision revision) {
        if (revision == newest_->revision)
          Apply(patch);
      },
      [this](const moves::Order& order) {
        for (Upstream& upstream : upstreams_) {
          if (upstream.known.id == order.upstream)
            upstream.loaded_at = now_ms_ + kLoadMs;
        }
      }});
  controller_->OnLeadershipGained(1, TimePoint(Millis(1)));
  Apply(R"({"models":{"quill":{"version":"v1"}},"classes":{
            "quote":{"deadline_ms":1000},"caption":{"deadline_ms":1000}}})");
  Propagate();
  now_ms_ = -5000;  // some baseline before the move
  for (Host& host : hosts_)
    host.configuration = newest_;
  const std::int64_t end = behaviour_.deadline_ms + kWatchMs;
  std::poisson_distribution<int> arrivals(kRequestsPerStep);
  for (; now_ms_ < end; now_ms_ += kStepMs) {
    if (now_ms_ == 0) {
      Apply("{\"rollouts\":{\"quill\":{\"version\":\"v2\",\"started_ms\":" +
            std::to_string(kEpochMs) + ",\"deadline_ms\":" +
            std::to_string(kEpochMs + behaviour_.deadline_ms) + "}}}");
    }
    Propagate();
    for (int i = arrivals(random_); i > 0; --i)
      OneRequest();
    if (now_ms_ % kReportMs == 0)
      Control();
    const auto& rollout = newest_->set.models().at(ModelId("quill")).rollout;
    if (rollout && rollout->state == configuration::RolloutState::kDone &&
        now_ms_ <= behaviour_.deadline_ms) {
      result_.done_in_time = true;
    }
  }
  result_.state = configuration::RolloutStateName(
      newest_->set.models().at(ModelId("quill")).rollout->state);
  return result_;
}

}  // namespace

int RunMoves(const SiteTargets& site) {
  SetLogSinkForTest([](const std::string&) {});
  const int moves = site.concurrent;
  std::printf("%-22s %6s %10s %10s %12s %12s %12s\n", "kind", "moves",
              "taken back", "in time", "met bad", "worst met",
              "stop after 5th");
  for (const Behaviour& behaviour : kBehaviours) {
    int taken_back = 0;
    int in_time = 0;
    double met = 0;
    double worst = 0;
    std::int64_t slowest_stop = 0;
    for (int i = 0; i < moves; ++i) {
      const MoveResult result =
          MoveWorld(behaviour, site.seed * 1000 + static_cast<std::uint64_t>(i))
              .Run();
      taken_back += result.state == "taken-back" ? 1 : 0;
      in_time += result.done_in_time ? 1 : 0;
      const double share = static_cast<double>(result.met_bad) /
                           static_cast<double>(result.requests);
      met += share / moves;
      worst = std::max(worst, share);
      if (result.state == "taken-back" && result.fifth_fault_ms >= 0) {
        slowest_stop = std::max(slowest_stop,
                                result.last_given_ms - result.fifth_fault_ms);
      }
    }
    std::printf("%-22s %6d %10d %10d %11.2f%% %11.2f%% %10ld ms\n",
                behaviour.name, moves, taken_back, in_time, 100 * met,
                100 * worst, static_cast<long>(slowest_stop));
  }
  return 0;
}

}  // namespace bench
