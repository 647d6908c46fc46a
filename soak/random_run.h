#ifndef SOAK_RANDOM_RUN_H_
#define SOAK_RANDOM_RUN_H_

#include <cstdint>
#include <string>

namespace soak {

struct RunOptions {
  std::uint64_t seed = 1;
  int steps = 5000;  // of 10 ms each
  bool verbose = false;
};

struct RunReport {
  std::string violation;  // empty if every check held
  int step = 0;           // at which it was seen
  int accepted_changes = 0;
  int claims_granted = 0;
  int crashes = 0;
  int lost_disks = 0;
  int leaders = 0;

  bool operator==(const RunReport&) const = default;
};

// Runs the real control node, share exchange and ledger of six hosts over a
// fake network and fake disks, with faults, racing operators and claims, all
// from one seed, and checks the promises that need agreement.
RunReport RunOnce(const RunOptions& options);

}  // namespace soak

#endif  // SOAK_RANDOM_RUN_H_
