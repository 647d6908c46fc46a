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
constexpr std::int64_t kPropagationDelayMs = 200;
constexpr std::int64_t kReportIntervalMs = 250;
constexpr std::int64_t kLoadTimeMs = 1000;
constexpr std::int64_t kObservationMs = 30000;  // simulated after the deadline
constexpr double kRequestsPerStep = 1.0;        // 40 per second
constexpr std::int64_t kEpochMs = 1000000;

// How a version behaves in one kind of simulated move.
struct VersionBehavior {
  const char* name;
  bool bad = true;
  double fail_fraction = 0;  // fraction of requests that fail while bad
  double slow_factor = 1;    // factor on first-token time and gaps while bad
  std::int64_t from_ms = 0;  // bad from this time on
  bool under_load = false;   // bad only on upstreams with high load
  bool one_route = false;
  bool one_domain = false;
  double noise_fail_fraction = 0.003;  // failures of both versions
  double noise_spread = 0.25;  // log-normal spread of both versions' latencies
  std::int64_t deadline_ms = 60000;
};

const VersionBehavior kBehaviors[] = {
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
  std::uint64_t requests_while_bad = 0;  // sent to the version while it was bad
  std::uint64_t faults = 0;              // failed or slow answers
  std::int64_t first_fault_ms = -1;
  std::int64_t fifth_fault_ms = -1;
  std::int64_t last_assigned_ms = -1;
  std::string state;
  bool done_in_time = false;
};

class MoveSimulation {
 public:
  MoveSimulation(const VersionBehavior& behavior, std::uint64_t seed)
      : behavior_(behavior), random_(seed) {}

  MoveResult Run();

 private:
  struct Upstream {
    moves::KnownUpstream known;
    std::optional<std::int64_t> loaded_at;
    std::deque<std::int64_t>
        recent;  // times of requests within the last second
  };
  struct Host {
    moves::VersionGate gate;
    configuration::ConfigurationPtr configuration;
  };

  void Apply(const std::string& patch);
  void Propagate();
  void TickController();
  void SendRequest();
  bool IsBad(const std::string& route, const Upstream& upstream) const;
  Upstream& PickUpstream(const VersionId& version);
  void Serve(Host& host,
             const configuration::Model& model,
             const VersionId& version,
             const std::string& route);
  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  const VersionBehavior behavior_;
  std::mt19937_64 random_;
  std::int64_t now_ms_ = 0;
  configuration::ConfigurationPtr newest_;
  std::deque<std::pair<std::int64_t, configuration::ConfigurationPtr>>
      propagating_;
  std::vector<Host> hosts_{kHosts};
  std::vector<Upstream> upstreams_;
  std::vector<std::pair<std::int64_t, std::string>> proposals_;
  std::optional<moves::MoveController> controller_;
  MoveResult result_;
};

void MoveSimulation::Apply(const std::string& patch) {
  const std::string before = newest_ ? newest_->document : "{}";
  const auto document = configuration::ApplyMergePatch(before, patch);
  auto set = configuration::ParseConfiguration(*document);
  newest_ = std::make_shared<const configuration::ConfigurationSnapshot>(
      configuration::ConfigurationSnapshot{newest_ ? newest_->revision + 1 : 1,
                                           *document, std::move(*set)});
  propagating_.emplace_back(now_ms_ + kPropagationDelayMs, newest_);
}

void MoveSimulation::Propagate() {
  while (!propagating_.empty() && propagating_.front().first <= now_ms_) {
    for (Host& host : hosts_)
      host.configuration = propagating_.front().second;
    propagating_.pop_front();
  }
}

void MoveSimulation::TickController() {
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

bool MoveSimulation::IsBad(const std::string& route,
                           const Upstream& upstream) const {
  constexpr std::size_t kHighLoad = 3;  // requests per second at one upstream
  return behavior_.bad && now_ms_ >= behavior_.from_ms &&
         (!behavior_.under_load || upstream.recent.size() >= kHighLoad) &&
         (!behavior_.one_route || route == "caption") &&
         (!behavior_.one_domain || upstream.known.domain.str() == "c");
}

MoveSimulation::Upstream& MoveSimulation::PickUpstream(
    const VersionId& version) {
  std::vector<Upstream*> candidates;
  for (Upstream& upstream : upstreams_) {
    for (const VersionId& loaded : upstream.known.versions) {
      if (loaded == version)
        candidates.push_back(&upstream);
    }
  }
  return *candidates[random_() % candidates.size()];
}

void MoveSimulation::Serve(Host& host,
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
  std::lognormal_distribution<double> noise(0, behavior_.noise_spread);
  moves::VersionOutcome outcome;
  outcome.route = route;
  outcome.domain = upstream.known.domain;
  outcome.failed = RandomFraction() < behavior_.noise_fail_fraction ||
                   (bad && RandomFraction() < behavior_.fail_fraction);
  outcome.first_token_ratio =
      noise(random_) * (bad ? behavior_.slow_factor : 1);
  outcome.gap_ms = 15 * noise(random_) * (bad ? behavior_.slow_factor : 1);
  host.gate.OnOutcome(model, version, outcome);
  if (!is_new)
    return;
  result_.last_assigned_ms = now_ms_;
  if (behavior_.bad && now_ms_ >= behavior_.from_ms)
    ++result_.requests_while_bad;
  if (!bad || (!outcome.failed && behavior_.slow_factor <= 1))
    return;
  if (++result_.faults == 1)
    result_.first_fault_ms = now_ms_;
  if (result_.faults == 5)
    result_.fifth_fault_ms = now_ms_;
}

void MoveSimulation::SendRequest() {
  Host& host = hosts_[random_() % hosts_.size()];
  ++result_.requests;
  const auto& model = host.configuration->set.models().at(ModelId("quill"));
  const std::string route = random_() % 2 == 0 ? "caption" : "quote";
  VersionId version =
      host.gate.Choose(model, route, static_cast<int>(random_() % 1000), true);
  // Until an upstream has loaded the new version, the promoted one serves.
  const bool loaded =
      version == model.version ||
      std::any_of(upstreams_.begin(), upstreams_.end(), [&](const Upstream& u) {
        return u.known.versions.size() > 1;
      });
  Serve(host, model, loaded ? version : model.version, route);
}

MoveResult MoveSimulation::Run() {
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
            upstream.loaded_at = now_ms_ + kLoadTimeMs;
        }
      }});
  controller_->OnLeadershipGained(1, TimePoint(Millis(1)));
  Apply(R"({"models":{"quill":{"version":"v1"}},"classes":{
            "quote":{"deadline_ms":1000},"caption":{"deadline_ms":1000}}})");
  Propagate();
  now_ms_ = -5000;  // collects a baseline before the move starts
  for (Host& host : hosts_)
    host.configuration = newest_;
  const std::int64_t end = behavior_.deadline_ms + kObservationMs;
  std::poisson_distribution<int> arrivals(kRequestsPerStep);
  for (; now_ms_ < end; now_ms_ += kStepMs) {
    if (now_ms_ == 0) {
      Apply("{\"rollouts\":{\"quill\":{\"version\":\"v2\",\"started_ms\":" +
            std::to_string(kEpochMs) + ",\"deadline_ms\":" +
            std::to_string(kEpochMs + behavior_.deadline_ms) + "}}}");
    }
    Propagate();
    for (int i = arrivals(random_); i > 0; --i)
      SendRequest();
    if (now_ms_ % kReportIntervalMs == 0)
      TickController();
    const auto& rollout = newest_->set.models().at(ModelId("quill")).rollout;
    if (rollout && rollout->state == configuration::RolloutState::kDone &&
        now_ms_ <= behavior_.deadline_ms) {
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
              "taken back", "in time", "mean bad", "worst bad",
              "stop after 5th");
  for (const VersionBehavior& behavior : kBehaviors) {
    int taken_back = 0;
    int in_time = 0;
    double mean_share = 0;
    double worst_share = 0;
    std::int64_t slowest_stop = 0;
    for (int i = 0; i < moves; ++i) {
      const MoveResult result =
          MoveSimulation(behavior,
                         site.seed * 1000 + static_cast<std::uint64_t>(i))
              .Run();
      taken_back += result.state == "taken-back" ? 1 : 0;
      in_time += result.done_in_time ? 1 : 0;
      const double share = static_cast<double>(result.requests_while_bad) /
                           static_cast<double>(result.requests);
      mean_share += share / moves;
      worst_share = std::max(worst_share, share);
      if (result.state == "taken-back" && result.fifth_fault_ms >= 0) {
        slowest_stop = std::max(
            slowest_stop, result.last_assigned_ms - result.fifth_fault_ms);
      }
    }
    std::printf("%-22s %6d %10d %10d %11.2f%% %11.2f%% %10ld ms\n",
                behavior.name, moves, taken_back, in_time, 100 * mean_share,
                100 * worst_share, static_cast<long>(slowest_stop));
  }
  return 0;
}

}  // namespace bench
