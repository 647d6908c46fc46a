#ifndef BENCH_EXPERIMENTS_H_
#define BENCH_EXPERIMENTS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bench {

// Addresses, credentials and load parameters of an experiment.
struct SiteTargets {
  std::vector<std::string> hosts;      // URLs of the hosts' caller API
  std::vector<std::string> upstreams;  // URLs of the stand-ins
  std::vector<std::string> stores;     // URLs of the stand-ins
  std::vector<std::string> keys;       // API keys, one per customer
  std::vector<std::string> operators;  // URLs of the hosts' operator API
  std::string operator_token;
  std::string output = "/dev/null";  // file for the ids of accepted changes
  std::string prompts = "docs";  // folder of .md files to build prompts from
  std::uint64_t seed = 1;
  double seconds = 10;  // duration of the run
  double rate = 20;     // calls per second
  double warmup = 0;    // seconds at the start that are reported separately
  double burst = 1;  // factor on the last customer's rate in the middle third
  int concurrent = 200;  // moves of each kind in RunMoves
  bool json = false;     // prints JSON lines instead of tables
};

// Each experiment prints its results and returns the exit status: 0 if every
// check passed.

// Sends long prompts three times: cold, warm, and after the upstreams lost
// their caches, when the prompts have to be restored from the stores.
int RunReturns(const SiteTargets& site);
// Compares the time to first token through a host with that of direct calls to
// the stand-ins.
int RunOverhead(const SiteTargets& site);
// Open-loop load with customers that resend earlier prompts.
int RunLoad(const SiteTargets& site);
// Micro-benchmark of the routing decision; needs no site.
int RunDecide(const SiteTargets& site);
// Simulates moves to good and faulty versions with the production decision code
// and a simulated clock. Needs no site.
int RunMoves(const SiteTargets& site);
// Measures the bytes and the processor time of a change of a routing document
// with 1,400 routes, for 100 and 300 entry hosts. Needs no site.
int RunDistribution(const SiteTargets& site);
// Sends configuration changes one after the other and measures the time until
// each is accepted and in force, and the control traffic.
int RunChanges(const SiteTargets& site);
// Sends non-idempotent calls with reused idempotency keys and checks that each
// key always gets the same answer.
int RunCalls(const SiteTargets& site);

}  // namespace bench

#endif  // BENCH_EXPERIMENTS_H_
