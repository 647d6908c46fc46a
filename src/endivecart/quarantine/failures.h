#ifndef ENDIVECART_QUARANTINE_FAILURES_H_
#define ENDIVECART_QUARANTINE_FAILURES_H_

#include <cstdint>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::quarantine {

// What one host observed of one incarnation of an upstream. Incarnations are
// named by hashes, since hosts report them with each poll.
struct UpstreamFailures {
  std::uint64_t upstream_run = 0;
  int failures = 0;  // since the host's last answer
  TimePoint first_failed_at{};
  TimePoint failed_at{};    // the last one
  TimePoint answered_at{};  // last answer; TimePoint{} if there was none

  bool operator==(const UpstreamFailures&) const = default;
};

// An incarnation that fails the requests of all hosts that try it.
struct FailingUpstream {
  std::uint64_t upstream_run = 0;
  TimePoint failed_at{};          // last failure at any host
  std::vector<DomainId> domains;  // of the hosts that saw failures

  bool operator==(const FailingUpstream&) const = default;
};

// What a control host tells all hosts.
struct FailureRuling {
  std::vector<FailingUpstream> failing;
  // When have hosts been answered by these?
  std::vector<std::uint64_t> questioned;

  bool operator==(const FailureRuling&) const = default;
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_FAILURES_H_
