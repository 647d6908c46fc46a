#ifndef ENDIVECART_MOVES_VERSION_GATE_H_
#define ENDIVECART_MOVES_VERSION_GATE_H_

#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/moves/version_judge.h"

namespace endivecart::moves {

// What one host has seen of a model's move, for the leader.
struct MoveReport {
  ModelId model;
  VersionId version;
  std::int64_t started_ms = 0;  // of the move, to tell it from others
  std::uint64_t requests = 0;   // given to the new version here
  std::uint64_t faults = 0;
  std::string verdict;  // why this host has stopped the version; or empty
  CountsByPart counts;

  bool operator==(const MoveReport&) const = default;
};

// Decides on one host which version a new request gets, and stops a bad
// version at once. Not thread-safe.
class VersionGate {
 public:
  // `draw` in [0, 1000) is fixed for a request; `fresh` tells whether this
  // host's configuration is known to be the newest.
  VersionId Choose(const configuration::Model& model,
                   const std::string& route,
                   int draw,
                   bool fresh) const;
  // Notes how a request ended.
  void OnOutcome(const configuration::Model& model,
                 const VersionId& version,
                 const VersionOutcome& outcome);
  std::vector<MoveReport> Reports() const;

 private:
  struct Watch {
    VersionId version;
    std::int64_t started_ms = 0;
    VersionJudge judge;
  };

  const Watch* Find(const configuration::Model& model) const;

  std::map<ModelId, Watch> watches_;
};

}  // namespace endivecart::moves

#endif  // ENDIVECART_MOVES_VERSION_GATE_H_
