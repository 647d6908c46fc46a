#ifndef ENDIVECART_MOVES_VERSION_JUDGE_H_
#define ENDIVECART_MOVES_VERSION_JUDGE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/moves/cusum_detector.h"

namespace endivecart::moves {

// Outcome of one request, attributed to the version that served it.
struct VersionOutcome {
  std::string route;             // request class
  DomainId domain;               // of the upstream
  bool failed = false;           // or the answer was empty or truncated
  double first_token_ratio = 1;  // observed over predicted
  double gap_ms = 0;             // longest gap between tokens

  bool operator==(const VersionOutcome&) const = default;
};

// Recent outcomes of the promoted version on one route.
class RouteBaseline {
 public:
  void Add(const VersionOutcome& outcome);
  // Returns the 95th percentile of the first-token ratio, with a margin, or a
  // default if there are too few outcomes.
  double FirstTokenLimit() const;
  // Returns the same for the longest gap between tokens, in ms.
  double GapLimit() const;
  bool HasEnough() const;
  // Returns the fraction of failed requests, or 0 if there are too few
  // outcomes.
  double FailureRate() const;

 private:
  std::deque<VersionOutcome> recent_;
};

// Numbers of bad outcomes of a new version, by kind.
struct OutcomeCounts {
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;
  std::uint64_t slow_first_tokens = 0;
  std::uint64_t slow_gaps = 0;

  bool operator==(const OutcomeCounts&) const = default;
};

// Counts by traffic segment: "route R", "domain D" or "all routes".
using CountsBySegment = std::map<std::string, OutcomeCounts>;

// The change detectors for one traffic segment.
class SegmentDetectors {
 public:
  SegmentDetectors();

  // Adds outcomes; the bad ones are treated as the most recent.
  void Add(const OutcomeCounts& counts);
  // Returns the kind of fault detected; empty if none.
  std::string_view verdict() const;

 private:
  std::vector<CusumDetector> failures_;
  std::vector<CusumDetector> slow_first_tokens_;
  std::vector<CusumDetector> slow_gaps_;
};

// Judges a new version by the pooled outcomes of all hosts.
class PooledJudge {
 public:
  // Updates `host`'s cumulative counts since the start of the move.
  void OnCounts(const HostId& host, const CountsBySegment& counts);
  const std::string& verdict() const { return verdict_; }

 private:
  std::map<HostId, CountsBySegment> last_counts_;
  std::map<std::string, SegmentDetectors> detectors_;
  std::string verdict_;
};

// Judges a new version on each route against the promoted one in the same time
// window. Does no I/O and reads no clock. Not thread-safe.
class VersionJudge {
 public:
  void AddBaseline(const VersionOutcome& outcome);
  void AddCandidate(const VersionOutcome& outcome);
  // Returns whether an outcome of the new version would count as slow. False
  // while the promoted version has too few outcomes on the route.
  bool IsSlow(const VersionOutcome& outcome) const;

  // Returns the fault found; empty if none.
  const std::string& verdict() const { return verdict_; }
  std::uint64_t candidates() const { return candidates_; }
  std::uint64_t faults() const { return faults_; }
  const CountsBySegment& counts() const { return counts_; }

 private:
  void Count(const std::string& segment, const OutcomeCounts& added);

  std::map<std::string, RouteBaseline> baselines_;  // by route
  std::map<std::string, SegmentDetectors> detectors_;
  CountsBySegment counts_;
  std::string verdict_;
  std::uint64_t candidates_ = 0;
  std::uint64_t faults_ = 0;
};

}  // namespace endivecart::moves

#endif  // ENDIVECART_MOVES_VERSION_JUDGE_H_
