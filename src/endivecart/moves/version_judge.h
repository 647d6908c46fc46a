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
  std::string route;             // request class
  DomainId domain;               // of the upstream
  bool failed = false;           // or an empty or short answer
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

// How many outcomes of a new version were bad, and in which way.
struct OutcomeCounts {
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;
  std::uint64_t slow_first_tokens = 0;
  std::uint64_t slow_gaps = 0;

  bool operator==(const OutcomeCounts&) const = default;
};

// By part of the traffic: "route R", "domain D" or "all routes".
using CountsByPart = std::map<std::string, OutcomeCounts>;

// The sequential tests of one part of the traffic.
class PartTests {
 public:
  PartTests();

  // Adds outcomes; the bad ones count as the latest.
  void Add(const OutcomeCounts& counts);
  // What is bad; empty while nothing is.
  std::string_view verdict() const;

 private:
  std::vector<DriftTest> failures_;
  std::vector<DriftTest> slow_first_tokens_;
  std::vector<DriftTest> slow_gaps_;
};

// Judges a new version by what all hosts together have seen of it.
class PooledJudge {
 public:
  // Takes a host's counts since the move began.
  void OnCounts(const HostId& host, const CountsByPart& counts);
  const std::string& verdict() const { return verdict_; }

 private:
  std::map<HostId, CountsByPart> seen_;
  std::map<std::string, PartTests> tests_;
  std::string verdict_;
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
  const CountsByPart& counts() const { return counts_; }

 private:
  void Count(const std::string& part, const OutcomeCounts& one);

  std::map<std::string, RouteBaseline> baselines_;  // by route
  std::map<std::string, PartTests> tests_;
  CountsByPart counts_;
  std::string verdict_;
  std::uint64_t candidates_ = 0;
  std::uint64_t faults_ = 0;
};

}  // namespace endivecart::moves

#endif  // ENDIVECART_MOVES_VERSION_JUDGE_H_
