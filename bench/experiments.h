#ifndef BENCH_EXPERIMENTS_H_
#define BENCH_EXPERIMENTS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bench {

// What all experiments on a running site share.
struct SiteTargets {
  std::vector<std::string> hosts;      // callers' URLs
  std::vector<std::string> upstreams;  // stand-ins' URLs
  std::vector<std::string> stores;     // stand-ins' URLs
  std::vector<std::string> keys;       // API keys, one a customer
  std::vector<std::string> operators;  // operators' URLs
  std::string operator_token;
  std::string output = "/dev/null";  // file for accepted change ids
  std::string prompts = "docs";      // folder
  std::uint64_t seed = 1;
  double seconds = 10;
  double rate = 20;   // calls a second
  double warmup = 0;  // seconds at the start that are shown apart
  double burst = 1;   // factor on the last customer's rate in the middle third
  int concurrent = 200;
  bool json = false;
};

// Each returns the exit status: 0 if every check held.

// Long prompts cold, warm, and returned after the upstreams lost their caches.
int RunReturns(const SiteTargets& site);
// First-token time through a host and straight from the stand-in, in turns.
int RunOverhead(const SiteTargets& site);
// Open-loop load with customers that return.
int RunLoad(const SiteTargets& site);
// Micro-benchmark of the routing decision; needs no site.
int RunDecide(const SiteTargets& site);
// Moves of versions of every kind through the real decision code, with a
// manual clock; `concurrent` is the number of moves of each kind. Needs no
// site.
int RunMoves(const SiteTargets& site);
// Changes of the configuration one after the other: time until accepted and
// until in force, and control traffic meanwhile.
int RunChanges(const SiteTargets& site);
// Calls that may not be repeated, with keys that come again.
int RunCalls(const SiteTargets& site);

}  // namespace bench

#endif  // BENCH_EXPERIMENTS_H_
