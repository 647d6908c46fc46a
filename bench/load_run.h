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
  double at_ms = 0;   // intended time since the run's start
  std::string group;  // for the table, such as a customer
  CompletionCall call;
};

// What happens at a given time of a run, such as a fault.
struct RunEvent {
  double at_ms = 0;
  std::function<void()> action;
};

// Figures of one group of calls.
struct GroupStats {
  std::uint64_t sent = 0;
  std::uint64_t ok = 0;
  std::uint64_t refused = 0;  // truly not run
  std::uint64_t failed = 0;   // any other end
  std::map<std::string, std::uint64_t> errors;
  endivecart::LatencyHistogram first_token;
  endivecart::LatencyHistogram gap;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::map<std::string, std::uint64_t> versions;

  double RecomputedPercent() const;
};

using LoadStats = std::map<std::string, GroupStats>;

// Sends each call at its intended time, whatever the answers do, and counts
// latency from the intended time.
LoadStats RunOpenLoop(std::vector<Arrival> arrivals,
                      std::vector<RunEvent> events = {});

// Prints a table with one row a group; as JSON if `json`.
void PrintStats(const std::string& title, const LoadStats& stats, bool json);

// Seeded Poisson arrival times in ms.
std::vector<double> PoissonTimes(double per_second,
                                 double seconds,
                                 std::uint64_t seed);

// Distinct long prompts cut from files of a folder; `salt` makes each set
// differ from its start.
std::vector<std::string> CutPrompts(const std::string& folder,
                                    std::size_t count,
                                    std::size_t bytes,
                                    const std::string& salt);

}  // namespace bench

#endif  // BENCH_LOAD_RUN_H_
