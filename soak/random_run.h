#ifndef SOAK_RANDOM_RUN_H_
#define SOAK_RANDOM_RUN_H_

#include <cstdint>
#include <string>

namespace soak {

struct RunOptions {
  std::uint64_t seed = 1;
  int steps = 5000;  // steps with faults, 10 ms each
  bool verbose = false;
};

struct RunReport {
  std::string violation;  // the first failed check; empty if all passed
  int step = 0;           // last step, or the step of the violation
  int accepted_changes = 0;
  int claims_granted = 0;
  int crashes = 0;
  int lost_disks = 0;
  int leaders = 0;  // times a host became leader

  bool operator==(const RunReport&) const = default;
};

// Runs the production control node, slot exchange and ledger of six hosts on a
// fake network and fake disks, with random faults, concurrent configuration
// changes and claims. Checks the invariants that depend on consensus: accepted
// changes are kept and ordered, calls are sent at most once, a fresh host has
// every change older than its lease, and slots in use stay within the
// upstream's capacity. The seed determines the whole run.
RunReport RunOnce(const RunOptions& options);

}  // namespace soak

#endif  // SOAK_RANDOM_RUN_H_
