#ifndef BENCH_LOAD_RUN_H_
#define BENCH_LOAD_RUN_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "load_client.h"

namespace bench {

// One planned call of an open-loop run.
struct Arrival {
  double at_ms = 0;   // intended time since the start of the run
  std::string group;  // row of the table, such as a customer
  CompletionCall call;
};

// An action at a given time of a run, such as injecting a fault.
struct RunEvent {
  double at_ms = 0;
  std::function<void()> action;
};

// Statistics of one group of calls.
struct GroupStats {
  std::uint64_t sent = 0;
  std::uint64_t ok = 0;
  std::uint64_t refused = 0;  // errors with the status "not-run"
  std::uint64_t failed = 0;   // any other error
  std::map<std::string, std::uint64_t> errors;
  endivecart::LatencyHistogram first_token;  // ms since the intended time
  endivecart::LatencyHistogram gap;          // ms, longest gap of each answer
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::map<std::string, std::uint64_t> versions;

  // Returns the percentage of prompt tokens that weren't cached.
  double RecomputedPercent() const;
};

using LoadStats = std::map<std::string, GroupStats>;

// Sends each call at its intended time, regardless of outstanding answers, and
// measures latency from the intended time.
LoadStats RunOpenLoop(std::vector<Arrival> arrivals,
                      std::vector<RunEvent> events = {});

// Prints a table with one row per group, or one JSON line per group if `json`.
void PrintStats(const std::string& title, const LoadStats& stats, bool json);

// Returns Poisson arrival times in ms.
std::vector<double> PoissonTimes(double per_second,
                                 double seconds,
                                 std::uint64_t seed);

// Returns `count` distinct prompts of `bytes` bytes from the .md files below
// `folder`. Each prompt starts with `salt`, so that prompts of different salts
// share no prefix. Empty if there is no text.
std::vector<std::string> MakePrompts(const std::string& folder,
                                     std::size_t count,
                                     std::size_t bytes,
                                     const std::string& salt);

}  // namespace bench

#endif  // BENCH_LOAD_RUN_H_
