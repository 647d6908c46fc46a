#ifndef ENDIVECART_QUARANTINE_FAILURE_JUDGE_H_
#define ENDIVECART_QUARANTINE_FAILURE_JUDGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "endivecart/quarantine/failure_monitor.h"

namespace endivecart::quarantine {

// A control host's part in finding upstreams that fail, from the reports of the
// hosts that rely on it.
//
// With many hosts, each of them sends an upstream few requests, so each would
// need as many failures to find out. Here the failures of all count, but only
// those since the last answer to any host: an upstream that fails for some
// hosts only is theirs to avoid. Hosts are asked for their answers before an
// upstream is taken to fail.
//
// Soft state: hosts repeat what they know with each poll.
class FailureJudge {
 public:
  static constexpr std::size_t kFailures = 3;
  // Hosts get the question, and answer it, with a poll each, so that this is
  // allowed beyond two of their poll intervals.
  static constexpr Millis kQuestionMargin{100};
  // What a host reported counts for this long after its last report.
  static constexpr Millis kReportMemory{2000};
  static constexpr std::size_t kMaxQuestioned = 256;
  static constexpr std::size_t kMaxDomains = 2;
  // The ruling is determined anew after this time.
  static constexpr Millis kInterval{100};

  // `reaches_upstreams`: whether the host isn't cut off itself; failures that
  // it sees otherwise say nothing about the upstreams.
  void OnReport(const HostId& host,
                const DomainId& domain,
                const std::vector<UpstreamFailures>& report,
                bool reaches_upstreams,
                TimePoint now);
  // Sets how often hosts report.
  void SetPollInterval(Millis interval) { poll_interval_ = interval; }
  // Returns what to tell the hosts.
  const FailureRuling& CurrentRuling(TimePoint now);

 private:
  struct HostReport {
    DomainId domain;
    std::vector<UpstreamFailures> report;
    bool reaches_upstreams = true;
    TimePoint reported_at{};
  };
  // What all hosts together observed of one incarnation.
  struct Evidence {
    TimePoint answered_at{};   // last answer to any host
    std::size_t failures = 0;  // since then
    TimePoint first_failed_at = TimePoint::max();
    TimePoint failed_at{};  // the last one
    std::vector<DomainId>
        domains;  // of hosts with failures, at most kMaxDomains

    void Add(const UpstreamFailures& observed, const DomainId& domain);
  };

  std::map<std::uint64_t, Evidence> Collect() const;
  void Judge(TimePoint now);

  std::map<HostId, HostReport> reports_;
  std::map<std::uint64_t, TimePoint> questioned_since_;
  FailureRuling ruling_;
  TimePoint judged_at_{};
  Millis poll_interval_{250};
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_FAILURE_JUDGE_H_
