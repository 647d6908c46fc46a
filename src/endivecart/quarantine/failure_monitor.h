#ifndef ENDIVECART_QUARANTINE_FAILURE_MONITOR_H_
#define ENDIVECART_QUARANTINE_FAILURE_MONITOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "endivecart/quarantine/failures.h"

namespace endivecart::quarantine {

// One host's part in finding upstreams that fail: reports what it observed, and
// says which upstreams are better avoided by what all hosts observed.
//
// That is a preference, not a ban: if all upstreams are avoided, all are used.
// After the last failure, first one host returns to it, then
// twice as many after each kReturnStep, so that few requests find out whether
// it has recovered.
class FailureMonitor {
 public:
  // Failures are forgotten this long after the last one, and so is the ruling.
  static constexpr Millis kMemory{5000};
  static constexpr Millis kReturnStep{500};
  // A host that was answered within this time, and hasn't seen a failure since,
  // trusts that: others may have another way to the upstream.
  static constexpr Millis kOwnMemory{2000};
  // A ruling that isn't confirmed for this long is void: the host is on its own
  // again.
  static constexpr Millis kRulingMemory{2000};
  static constexpr std::size_t kMaxUpstreams = 4096;
  static constexpr std::size_t kMaxReported = 512;

  // Returns the name of an incarnation in reports.
  static std::uint64_t NameOf(const std::string& upstream_run);

  void OnFailed(const std::string& upstream_run, TimePoint now);
  void OnAnswered(const std::string& upstream_run, TimePoint now);
  // Returns what to report to the control host that this host relies on.
  std::vector<UpstreamFailures> Report(TimePoint now);
  void Apply(const FailureRuling& ruling, TimePoint now);
  // Returns whether IsFailing() may be true for any upstream.
  bool KnowsFailing(TimePoint now) const {
    return !failing_.empty() && now - ruled_at_ <= kRulingMemory;
  }
  // Returns whether a host of this domain and rank should prefer others.
  bool IsFailing(const std::string& upstream_run,
                 const DomainId& own_domain,
                 const HostRank& rank,
                 TimePoint now) const;

 private:
  UpstreamFailures& RecordOf(std::uint64_t upstream_run);

  std::map<std::uint64_t, UpstreamFailures> records_;
  std::map<std::uint64_t, FailingUpstream> failing_;
  std::vector<std::uint64_t> questioned_;
  TimePoint ruled_at_{};
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_FAILURE_MONITOR_H_
