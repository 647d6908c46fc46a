#include "experiments.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <set>
#include <thread>

#include "endivecart/routing/routing.h"
#include "load_run.h"

namespace bench {

namespace {

using endivecart::LatencyHistogram;
using endivecart::Millis;

constexpr std::size_t kLongPromptBytes = 36000;
constexpr std::size_t kPromptsPerCustomer = 4;
constexpr Millis kExportDelay{2500};  // until caches are exported to the stores
constexpr Millis kCacheLossDelay{2500};  // until hosts learn of lost caches
constexpr double kSpacingMs = 150;

std::vector<Arrival> MakeReturnsRound(
    const SiteTargets& site,
    const std::vector<std::vector<std::string>>& prompts,
    int round) {
  std::vector<Arrival> arrivals;
  double at = 0;
  std::size_t turn = static_cast<std::size_t>(round);
  for (std::size_t i = 0; i < kPromptsPerCustomer; ++i) {
    for (std::size_t c = 0; c < site.keys.size(); ++c) {
      Arrival arrival;
      arrival.at_ms = at;
      arrival.group = "customer " + std::to_string(c + 1);
      arrival.call.url = site.hosts[turn++ % site.hosts.size()];
      arrival.call.api_key = site.keys[c];
      arrival.call.prompt = prompts[c][i];
      arrivals.push_back(std::move(arrival));
      at += kSpacingMs;
    }
  }
  return arrivals;
}

std::uint64_t CountNotOk(const LoadStats& stats) {
  std::uint64_t not_ok = 0;
  for (const auto& [name, group] : stats)
    not_ok += group.sent - group.ok;
  return not_ok;
}

double RecomputedPercent(const LoadStats& stats) {
  std::int64_t prompt = 0;
  std::int64_t cached = 0;
  for (const auto& [name, group] : stats) {
    prompt += group.prompt_tokens;
    cached += group.cached_tokens;
  }
  return prompt == 0 ? 100
                     : 100.0 * static_cast<double>(prompt - cached) /
                           static_cast<double>(prompt);
}

// Returns customer `c`'s arrival times in ms. The last customer's burst fills
// the middle third of the time after the warm-up.
std::vector<double> ArrivalTimes(const SiteTargets& site, std::size_t c) {
  const double rate = site.rate / static_cast<double>(site.keys.size());
  std::vector<double> times = PoissonTimes(rate, site.seconds, site.seed + c);
  if (site.burst <= 1 || c + 1 != site.keys.size())
    return times;
  const double third = (site.seconds - site.warmup) / 3;
  for (const double at :
       PoissonTimes(rate * (site.burst - 1), third, site.seed + 1000)) {
    times.push_back(at + (site.warmup + third) * 1000);
  }
  return times;
}

int CountViolations(const SiteTargets& site) {
  double violations = 0;
  for (const std::string& url : site.upstreams)
    violations += StandinStat(url, "violations");
  return static_cast<int>(violations);
}

}  // namespace

int RunReturns(const SiteTargets& site) {
  std::vector<std::vector<std::string>> prompts;
  for (const std::string& key : site.keys) {
    prompts.push_back(
        MakePrompts(site.prompts, kPromptsPerCustomer, kLongPromptBytes,
                    "customer " + endivecart::Sha256Hex(key).substr(0, 8)));
    if (prompts.back().empty()) {
      std::fprintf(stderr, "no prompts in folder %s\n", site.prompts.c_str());
      return 2;
    }
  }
  const LoadStats cold = RunOpenLoop(MakeReturnsRound(site, prompts, 0));
  PrintStats("cold", cold, site.json);
  std::this_thread::sleep_for(kExportDelay);
  const LoadStats warm = RunOpenLoop(MakeReturnsRound(site, prompts, 1));
  PrintStats("warm", warm, site.json);
  for (const std::string& url : site.upstreams)
    Control(url, "{\"clear_cache\":true}");
  std::this_thread::sleep_for(kCacheLossDelay);
  const LoadStats returned = RunOpenLoop(MakeReturnsRound(site, prompts, 2));
  PrintStats("returned", returned, site.json);
  const std::uint64_t not_ok =
      CountNotOk(cold) + CountNotOk(warm) + CountNotOk(returned);
  const int violations = CountViolations(site);
  std::printf(
      "answers checked: %lu wrong or missing; recomputed: cold %.1f%%, warm "
      "%.1f%%, returned %.1f%%; requests above capacity: %d\n",
      not_ok, RecomputedPercent(cold), RecomputedPercent(warm),
      RecomputedPercent(returned), violations);
  constexpr double kMaxReturnedRecomputed = 50;  // some exports may be late
  const bool good = not_ok == 0 && violations == 0 &&
                    RecomputedPercent(returned) < kMaxReturnedRecomputed;
  return good ? 0 : 1;
}

int RunOverhead(const SiteTargets& site) {
  // Direct and routed calls alternate, so that both are subject to the same
  // noise.
  const std::vector<std::string> prompts = MakePrompts(
      site.prompts, 64, 2000, "overhead " + std::to_string(site.seed));
  std::vector<Arrival> arrivals;
  const auto times = PoissonTimes(site.rate, site.seconds, site.seed);
  for (std::size_t i = 0; i < times.size(); ++i) {
    Arrival arrival;
    arrival.at_ms = times[i];
    arrival.call.prompt = prompts[i % prompts.size()];
    arrival.call.max_tokens = 64;
    if (i % 2 == 0) {
      arrival.group = "direct";
      arrival.call.url = site.upstreams[i / 2 % site.upstreams.size()];
      arrival.call.version = "v1";
    } else {
      arrival.group = "through a host";
      arrival.call.url = site.hosts[i / 2 % site.hosts.size()];
      arrival.call.api_key = site.keys[i / 2 % site.keys.size()];
    }
    arrivals.push_back(std::move(arrival));
  }
  LoadStats stats = RunOpenLoop(std::move(arrivals));
  PrintStats("overhead", stats, site.json);
  const LatencyHistogram& direct = stats["direct"].first_token;
  const LatencyHistogram& routed = stats["through a host"].first_token;
  std::printf("added to first token: p50 %.2f ms, p99 %.2f ms\n",
              routed.Quantile(0.5) - direct.Quantile(0.5),
              routed.Quantile(0.99) - direct.Quantile(0.99));
  return CountNotOk(stats) == 0 ? 0 : 1;
}

int RunLoad(const SiteTargets& site) {
  std::vector<Arrival> arrivals;
  std::mt19937_64 random(site.seed);
  for (std::size_t c = 0; c < site.keys.size(); ++c) {
    const auto prompts = MakePrompts(
        site.prompts, 24, kLongPromptBytes,
        "load " + std::to_string(site.seed) + " customer " + std::to_string(c));
    std::set<std::size_t> seen;
    for (const double at : ArrivalTimes(site, c)) {
      Arrival arrival;
      arrival.at_ms = at;
      arrival.call.url = site.hosts[random() % site.hosts.size()];
      arrival.call.api_key = site.keys[c];
      const std::size_t prompt = random() % prompts.size();
      const bool returned = !seen.insert(prompt).second;
      arrival.group = at < site.warmup * 1000 ? "(warm-up)"
                      : returned ? "customer " + std::to_string(c + 1)
                                 : "(first time)";
      arrival.call.prompt = prompts[prompt];
      arrivals.push_back(std::move(arrival));
    }
  }
  const LoadStats stats = RunOpenLoop(std::move(arrivals));
  PrintStats("load", stats, site.json);
  std::printf("requests above capacity: %d\n", CountViolations(site));
  std::uint64_t failed = 0;
  for (const auto& [name, group] : stats)
    failed += group.failed;
  return failed == 0 ? 0 : 1;
}

int RunDecide(const SiteTargets& site) {
  namespace routing = endivecart::routing;
  constexpr int kDecisions = 20000;
  for (const std::size_t count : {12UL, 150UL, 750UL}) {
    std::mt19937_64 random(site.seed);
    std::vector<routing::UpstreamView> views(count);
    for (std::size_t i = 0; i < count; ++i) {
      views[i].id = endivecart::UpstreamId("upstream-" + std::to_string(i));
      views[i].domain = endivecart::DomainId("domain-" + std::to_string(i % 5));
      views[i].model = endivecart::ModelId("model-" + std::to_string(i % 6));
      views[i].versions = {endivecart::VersionId("v1")};
      views[i].free_slots = static_cast<int>(random() % 4);
      views[i].prefill_tokens_per_ms = 16;
      views[i].queue_ms = static_cast<double>(random() % 100);
    }
    const std::vector<routing::StoreSource> stores = {
        {"s1", endivecart::DomainId("domain-0"), 8000, 40},
        {"s2", endivecart::DomainId("domain-1"), 8000, 50}};
    routing::RouteRequest request;
    request.version = endivecart::VersionId("v1");
    request.prompt_tokens = 9000;
    request.home_domain = endivecart::DomainId("domain-0");
    request.stores = stores;
    std::size_t chosen = 0;
    const auto start = Clock::now();
    for (int i = 0; i < kDecisions; ++i) {
      request.model = endivecart::ModelId("model-" + std::to_string(i % 6));
      request.affinity = random();
      const auto decision = routing::Decide(request, views);
      chosen += decision ? decision->upstream : 0;
    }
    const double micros =
        std::chrono::duration<double, std::micro>(Clock::now() - start)
            .count() /
        kDecisions;
    std::printf("%4zu upstreams: %.2f microseconds per decision (check %zu)\n",
                count, micros, chosen % 1000);
  }
  return 0;
}

}  // namespace bench
