#ifndef ENDIVECART_MOVES_VERSION_GATE_H_
#define ENDIVECART_MOVES_VERSION_GATE_H_

#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/moves/version_judge.h"

namespace endivecart::moves {

// One host's observations of a model's move, reported to the leader.
struct MoveReport {
  ModelId model;
  VersionId version;
  std::int64_t started_ms = 0;  // start of the move, which identifies it
  std::uint64_t requests = 0;   // sent to the new version by this host
  std::uint64_t faults = 0;
  std::string verdict;  // why this host stopped the version; or empty
  CountsBySegment counts;

  bool operator==(const MoveReport&) const = default;
};

// Selects the version for a new request on one host, and stops a faulty version
// on this host without waiting for the leader. Not thread-safe.
class VersionGate {
 public:
  // Returns the version for a request. `draw` in [0, 1000) is fixed for the
  // request; `fresh` is whether this host's configuration is known to be the
  // newest.
  VersionId Choose(const configuration::Model& model,
                   const std::string& route,
                   int draw,
                   bool fresh) const;
  // Records the outcome of a request.
  void OnOutcome(const configuration::Model& model,
                 const VersionId& version,
                 const VersionOutcome& outcome);
  // Returns a report for each move.
  std::vector<MoveReport> Reports() const;

 private:
  struct WatchedMove {
    VersionId version;
    std::int64_t started_ms = 0;
    VersionJudge judge;
  };

  const WatchedMove* Find(const configuration::Model& model) const;

  std::map<ModelId, WatchedMove> moves_;
};

}  // namespace endivecart::moves

#endif  // ENDIVECART_MOVES_VERSION_GATE_H_
