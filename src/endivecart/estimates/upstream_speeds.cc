#include "endivecart/estimates/upstream_speeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace endivecart::estimates {

namespace {

// Machines that are shared with other workloads slow down for some 600 ms.
// Answers of plain services come less often than events.
constexpr double kStepLifetimeMs = 700;
constexpr double kAnswerLifetimeMs = 3000;
// A host sends a prompt to the same engine every 15 s or so; with 20 s, 1.10 is
// learned of a ratio of 1.3.
constexpr double kLastingLifetimeMs = 40000;
constexpr double kReportLifetimeMs = 500;
// A sample counts as confirmed by the one before only if that is as recent.
constexpr double kPreviousLifetimeMs = 3000;
constexpr double kForgetAfterMs = 120000;
// What is older than so many lifetimes counts for nothing.
constexpr double kMaxLifetimes = 6;
// Weight of one sample.
constexpr double kMomentaryWeight = 0.3;
constexpr double kLastingWeight = 0.04;
constexpr double kMeanWeight = 0.01;
// Factors outside of this are no speed but a fault.
const double kMaxLog = std::log(8.0);
// Machines of one service do not differ by more than this for long. Without the
// bound a short but strong slowdown would leave a lasting mark.
const double kMaxLastingLog = std::log(1.5);
const double kContradictionLog = std::log(2.0);
constexpr double kMinMs = 0.1;
// Typical loads: requests in progress, thousands of tokens.
constexpr double kTypicalRequests = 3;
constexpr double kTypicalKiloTokens = 3;
constexpr double kTokenUnit = 1000;
constexpr double kInitialMsPerKiloToken = 50;
constexpr double kMinSamplesOfUpstream = 20;
constexpr double kMinSamplesOfService = 100;

double Clip(double log, double limit) {
  return std::clamp(log, -limit, limit);
}

}  // namespace

double UpstreamSpeeds::Ratio::Get(double lifetime_ms, TimePoint now) const {
  const double age_ms = std::max(MillisBetween(at, now), 0.0);
  return log == 0 || age_ms >= kMaxLifetimes * lifetime_ms
             ? 0
             : log * std::exp(-age_ms / lifetime_ms);
}

UpstreamSpeeds::Service::Service()
    : typical{TypicalTime(kInitialMsPerRequest, kTypicalRequests),
              TypicalTime(kInitialMsPerKiloToken, kTypicalKiloTokens),
              TypicalTime(0, kTypicalRequests)},
      levels(kMinSamplesOfService) {}

UpstreamSpeeds::Upstream::Upstream() : levels(kMinSamplesOfUpstream) {}

UpstreamSpeeds::Upstream& UpstreamSpeeds::Find(
    const UpstreamId& id,
    const routes::ServiceId& service) {
  Upstream& upstream = upstreams_[id];
  if (upstream.service == nullptr)
    upstream.service = &services_[service];
  return upstream;
}

void UpstreamSpeeds::AddStep(const UpstreamId& upstream,
                             const routes::ServiceId& service,
                             int requests,
                             double ms,
                             TimePoint now) {
  Upstream& at = Find(upstream, service);
  at.levels.Add(requests, ms, now);
  at.service->levels.Add(requests, ms, now);
  AddTime(at, kStep, requests, ms, now);
}

void UpstreamSpeeds::AddFirstEvent(const UpstreamId& upstream,
                                   const routes::ServiceId& service,
                                   std::int64_t tokens,
                                   double ms,
                                   TimePoint now) {
  AddTime(Find(upstream, service), kFirstEvent,
          static_cast<double>(tokens) / kTokenUnit, ms, now);
}

void UpstreamSpeeds::AddAnswer(const UpstreamId& upstream,
                               const routes::ServiceId& service,
                               int requests,
                               double ms,
                               TimePoint now) {
  Upstream& at = Find(upstream, service);
  at.levels.Add(requests, ms, now);
  at.service->levels.Add(requests, ms, now);
  AddTime(at, kAnswer, requests, ms, now);
}

void UpstreamSpeeds::AddTime(Upstream& upstream,
                             Kind kind,
                             double load,
                             double ms,
                             TimePoint now) {
  ms = std::max(ms, kMinMs);
  TypicalTime& typical = upstream.service->typical[kind];
  if (typical.IsKnown()) {
    double& mean = upstream.service->mean_log[kind];
    const double log = Clip(std::log(ms / typical.Expected(load)), kMaxLog);
    mean += AddRatio(upstream, kind, log - mean, now) * kMeanWeight;
  }
  typical.Add(load, ms, now);
}

// A single slow answer has many causes. A sample moves an estimate only as far
// as the one before agrees: what counts is the median of both and the estimate.
double UpstreamSpeeds::AddRatio(Upstream& upstream,
                                Kind kind,
                                double log,
                                TimePoint now) {
  const double lasting = upstream.lasting.Get(kLastingLifetimeMs, now);
  const double momentary =
      upstream.momentary.Get(upstream.momentary_lifetime_ms, now);
  const double estimate = lasting + momentary;
  const Ratio previous = std::exchange(upstream.previous[kind], {log, now});
  double confirmed = estimate;
  if (previous.at != TimePoint{} &&
      MillisBetween(previous.at, now) < kPreviousLifetimeMs) {
    confirmed = std::max(std::min(log, previous.log),
                         std::min(std::max(log, previous.log), estimate));
  }
  upstream.lasting = {
      lasting + (Clip(confirmed, kMaxLastingLog) - lasting) * kLastingWeight,
      now};
  // First events depend on much else, and are too rare to show a moment.
  if (kind == kFirstEvent)
    return confirmed;
  upstream.momentary_lifetime_ms =
      kind == kStep ? kStepLifetimeMs : kAnswerLifetimeMs;
  upstream.momentary = {
      momentary + (confirmed - lasting - momentary) * kMomentaryWeight, now};
  // Both samples must be of the time after the report.
  if (upstream.reported.at != TimePoint{} && previous.at > upstream.reported.at)
    CompareReport(upstream, confirmed - lasting, now);
  return confirmed;
}

void UpstreamSpeeds::CompareReport(Upstream& upstream,
                                   double log,
                                   TimePoint now) {
  if (MillisBetween(upstream.reported.at, now) > kReportLifetimeMs)
    return;
  ReportTrust& trust = upstream.service->trust;
  trust.Add(upstream.reported.log, log);
  const double deviation = upstream.reported.log - trust.reported_mean();
  if (!upstream.is_report_judged &&
      std::abs(deviation - log) > kContradictionLog)
    ++contradicted_reports_;
  upstream.is_report_judged = true;
}

void UpstreamSpeeds::AddReported(const UpstreamId& upstream,
                                 const routes::ServiceId& service,
                                 int percent,
                                 TimePoint now) {
  Upstream& at = Find(upstream, service);
  at.reported = {Clip(std::log(std::max(percent, 1) / 100.0), kMaxLog), now};
  at.is_report_judged = false;
}

Speed UpstreamSpeeds::SpeedNow(const Upstream& upstream, TimePoint now) {
  const double lasting = upstream.lasting.Get(kLastingLifetimeMs, now);
  double momentary =
      upstream.momentary.Get(upstream.momentary_lifetime_ms, now);
  const double report_age = MillisBetween(upstream.reported.at, now);
  if (upstream.reported.at != TimePoint{} &&
      report_age < kMaxLifetimes * kReportLifetimeMs) {
    const ReportTrust& trust = upstream.service->trust;
    const double reported = upstream.reported.log - trust.reported_mean();
    momentary += trust.Value() * (reported - momentary) *
                 std::exp(-std::max(report_age, 0.0) / kReportLifetimeMs);
  }
  return {
      std::exp(Clip(lasting + momentary, kMaxLog)),
      upstream.sustained ? upstream.sustained : upstream.service->sustained};
}

Speed UpstreamSpeeds::SpeedOf(const UpstreamId& upstream, TimePoint now) const {
  const auto it = upstreams_.find(upstream);
  return it == upstreams_.end() ? Speed() : SpeedNow(it->second, now);
}

double UpstreamSpeeds::MsPerRequest(const routes::ServiceId& service) const {
  const auto it = services_.find(service);
  return it == services_.end() || !it->second.typical[kStep].IsKnown()
             ? kInitialMsPerRequest
             : it->second.typical[kStep].Slope();
}

bool UpstreamSpeeds::IsForgotten(const Upstream& upstream, TimePoint now) {
  const TimePoint last = std::max(upstream.lasting.at, upstream.reported.at);
  return MillisBetween(last, now) > kForgetAfterMs &&
         upstream.levels.IsEmpty(now);
}

void UpstreamSpeeds::Tick(TimePoint now) {
  for (auto& [id, service] : services_)
    service.sustained = service.levels.Sustained(now);
  std::erase_if(upstreams_, [now](const auto& entry) {
    return IsForgotten(entry.second, now);
  });
  for (auto& [id, upstream] : upstreams_)
    upstream.sustained = upstream.levels.Sustained(now);
}

std::vector<std::pair<UpstreamId, Speed>> UpstreamSpeeds::Known(
    TimePoint now) const {
  std::vector<std::pair<UpstreamId, Speed>> known;
  known.reserve(upstreams_.size());
  for (const auto& [id, upstream] : upstreams_)
    known.emplace_back(id, SpeedNow(upstream, now));
  return known;
}

}  // namespace endivecart::estimates
