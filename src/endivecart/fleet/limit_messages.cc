#include "endivecart/fleet/limit_messages.h"

#include <cmath>

#include "endivecart/fleet/message_times.h"

namespace endivecart::fleet {

LimitRecords ToWire(const std::vector<limits::NamedLimit>& limits,
                    TimePoint now) {
  LimitRecords records;
  for (const limits::NamedLimit& limit : limits) {
    wire::NamedLimitRecord& record = *records.Add();
    record.set_upstream_run(limit.upstream_run);
    record.set_is_limited(limit.limits.requests_per_s.has_value());
    record.set_requests_per_s(limit.limits.requests_per_s.value_or(0));
    record.set_is_brittle(limit.limits.refusals_per_s.has_value());
    record.set_refusals_per_s(limit.limits.refusals_per_s.value_or(0));
    record.set_age_ms(AgeMillis(limit.at, now));
    if (limit.refused_at != TimePoint{})
      record.set_refused_age_ms(AgeMillis(limit.refused_at, now));
  }
  return records;
}

std::vector<limits::NamedLimit> FromWire(const LimitRecords& records,
                                         TimePoint now) {
  std::vector<limits::NamedLimit> limits;
  for (const wire::NamedLimitRecord& record : records) {
    if (!AcceptName(InputSource::kPeer, "upstream", record.upstream_run()))
      continue;
    const double limit = record.requests_per_s();
    const double refusals = record.refusals_per_s();
    if (!std::isfinite(limit) || limit < 0 || !std::isfinite(refusals) ||
        refusals < 0) {
      LogLine("fleet.limit_unusable")
          .Add("upstream", record.upstream_run())
          .Warn();
      continue;
    }
    limits.push_back(
        {record.upstream_run(),
         {record.is_limited() ? std::optional(limit) : std::nullopt,
          record.is_brittle() ? std::optional(refusals) : std::nullopt},
         now - Millis(record.age_ms()),
         record.has_refused_age_ms() ? now - Millis(record.refused_age_ms())
                                     : TimePoint{}});
  }
  return limits;
}

}  // namespace endivecart::fleet
