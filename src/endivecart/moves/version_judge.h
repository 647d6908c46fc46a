#ifndef ENDIVECART_MOVES_VERSION_JUDGE_H_
#define ENDIVECART_MOVES_VERSION_JUDGE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/moves/drift_test.h"

namespace endivecart::moves {

// What one request showed of the version that served it.
struct VersionOutcome {
  std::string route;  // request class
  bool failed = false;  // or an empty or short answer
  double first_token_ratio = 1;  // observed over predicted
  double gap_ms = 0;             // longest between tokens

  bool operator==(const VersionOutcome&) const = default;
};

// How the promoted version does on one route in the recent past.
class RouteBaseline {
 public:
  void Add(const VersionOutcome& outcome);
  // What the best 95 in 100 stay under, with a margin.
  double FirstTokenLimit() const;
  double GapLimit() const;
  double FailurePart() const;

 private:
  std::deque<VersionOutcome> recent_;
};

// Judges a new version route by route against the promoted one in the same
// window. A pure core.
class VersionJudge {
 public:
  void AddBaseline(const VersionOutcome& outcome);
  void AddCandidate(const VersionOutcome& outcome);

  // Empty while there is nothing against the version.
  const std::string& verdict() const { return verdict_; }
  std::uint64_t candidates() const { return candidates_; }
  std::uint64_t faults() const { return faults_; }

 private:
  struct Route {
    RouteBaseline baseline;
    std::vector<DriftTest> failures;
    std::vector<DriftTest> slow_first_tokens;
    std::vector<DriftTest> slow_gaps;
  };

  Route& RouteOf(const std::string& name);
  void Test(const std::string& route,
            std::vector<DriftTest>& tests,
            bool bad,
            std::string_view what);

  std::map<std::string, Route> routes_;
  std::string verdict_;
  std::uint64_t candidates_ = 0;
  std::uint64_t faults_ = 0;
};

}  // namespace endivecart::moves

#endif  // ENDIVECART_MOVES_VERSION_JUDGE_H_
