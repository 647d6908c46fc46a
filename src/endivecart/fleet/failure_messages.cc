#include "endivecart/fleet/failure_messages.h"

#include <algorithm>

#include "endivecart/fleet/message_times.h"

namespace endivecart::fleet {

namespace {

// Larger counts say no more than this one.
constexpr std::uint32_t kMaxFailures = 1000;

}  // namespace

FailureRecords ToWire(const std::vector<quarantine::UpstreamFailures>& failures,
                      TimePoint now) {
  FailureRecords records;
  for (const quarantine::UpstreamFailures& observed : failures) {
    wire::UpstreamFailuresRecord& record = *records.Add();
    record.set_upstream_run(observed.upstream_run);
    if (observed.failures > 0) {
      record.set_failures(static_cast<std::uint32_t>(observed.failures));
      record.set_first_failed_age_ms(AgeMillis(observed.first_failed_at, now));
      record.set_failed_age_ms(AgeMillis(observed.failed_at, now));
    }
    if (observed.answered_at != TimePoint{})
      record.set_answered_age_ms(AgeMillis(observed.answered_at, now));
  }
  return records;
}

std::vector<quarantine::UpstreamFailures> FromWire(
    const FailureRecords& records,
    TimePoint now) {
  std::vector<quarantine::UpstreamFailures> failures;
  for (const wire::UpstreamFailuresRecord& record : records) {
    quarantine::UpstreamFailures& observed = failures.emplace_back();
    observed.upstream_run = record.upstream_run();
    observed.failures =
        static_cast<int>(std::min(record.failures(), kMaxFailures));
    if (observed.failures > 0) {
      observed.first_failed_at = now - Millis(record.first_failed_age_ms());
      observed.failed_at = now - Millis(record.failed_age_ms());
    }
    if (record.has_answered_age_ms())
      observed.answered_at = now - Millis(record.answered_age_ms());
  }
  return failures;
}

wire::FailureRulingRecord ToWire(const quarantine::FailureRuling& ruling,
                                 TimePoint now) {
  wire::FailureRulingRecord record;
  for (const quarantine::FailingUpstream& failing : ruling.failing) {
    wire::FailingUpstreamRecord& out = *record.add_failing();
    out.set_upstream_run(failing.upstream_run);
    out.set_failed_age_ms(AgeMillis(failing.failed_at, now));
    for (const DomainId& domain : failing.domains)
      out.add_domains(domain.str());
  }
  for (const std::uint64_t run : ruling.questioned)
    record.add_questioned(run);
  return record;
}

quarantine::FailureRuling FromWire(const wire::FailureRulingRecord& record,
                                   TimePoint now) {
  quarantine::FailureRuling ruling;
  for (const wire::FailingUpstreamRecord& failing : record.failing()) {
    ruling.failing.push_back(
        {failing.upstream_run(), now - Millis(failing.failed_age_ms()), {}});
    for (const std::string& domain : failing.domains())
      ruling.failing.back().domains.emplace_back(domain);
  }
  ruling.questioned = {record.questioned().begin(), record.questioned().end()};
  return ruling;
}

}  // namespace endivecart::fleet
