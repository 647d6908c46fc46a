#ifndef ENDIVECART_ESTIMATES_UPSTREAM_SPEEDS_H_
#define ENDIVECART_ESTIMATES_UPSTREAM_SPEEDS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/estimates/concurrency_levels.h"
#include "endivecart/estimates/report_trust.h"
#include "endivecart/estimates/typical_time.h"
#include "endivecart/routes/routes.h"

namespace endivecart::estimates {

// Delay that one more request causes to each other one at an engine, as long as
// nothing is learned: a few batch steps.
inline constexpr double kInitialMsPerRequest = 8;

// What is known of one upstream.
struct Speed {
  // Time of work there relative to the service's typical upstream; 1: typical
  // or unknown.
  double slowness = 1;
  // Requests in progress from which on more of them get no more work done: of
  // the upstream, otherwise of its service's upstreams; nullopt if no such
  // number shows.
  std::optional<double> sustained_requests;

  bool operator==(const Speed&) const = default;
};

// Learns from answers how fast each upstream works in relation to the typical
// one of its service, and how many requests it sustains. A lasting difference
// is learned from many samples, a momentary one from a few. Both return to 1 as
// samples age.
class UpstreamSpeeds {
 public:
  UpstreamSpeeds() = default;
  UpstreamSpeeds(const UpstreamSpeeds&) = delete;
  UpstreamSpeeds& operator=(const UpstreamSpeeds&) = delete;

  // A step of a stream: `ms` between two events that were produced without a
  // pause, while `requests` were in progress there.
  void AddStep(const UpstreamId& upstream,
               const routes::ServiceId& service,
               int requests,
               double ms,
               TimePoint now);
  // A first event: `tokens` that were to be prefilled there until then, `ms`
  // since the send.
  void AddFirstEvent(const UpstreamId& upstream,
                     const routes::ServiceId& service,
                     std::int64_t tokens,
                     double ms,
                     TimePoint now);
  // An answer of a plain service.
  void AddAnswer(const UpstreamId& upstream,
                 const routes::ServiceId& service,
                 int requests,
                 double ms,
                 TimePoint now);
  // How long work takes there now, as the upstream reports it; 100: as usual.
  void AddReported(const UpstreamId& upstream,
                   const routes::ServiceId& service,
                   int percent,
                   TimePoint now);

  // The sustained requests are those as of the last Tick().
  Speed SpeedOf(const UpstreamId& upstream, TimePoint now) const;
  // Returns by how much one more request in progress at an engine delays each
  // event of the others.
  double MsPerRequest(const routes::ServiceId& service) const;
  // Returns how many reports differed from the answers after them by more than
  // a factor of two.
  std::uint64_t contradicted_reports() const { return contradicted_reports_; }

  // Updates the sustained numbers and forgets upstreams without recent samples;
  // to be called about once a second.
  void Tick(TimePoint now);
  // Returns what is known of the upstreams with recent samples.
  std::vector<std::pair<UpstreamId, Speed>> Known(TimePoint now) const;

 private:
  // What a time was measured of.
  enum Kind : std::uint8_t { kStep, kFirstEvent, kAnswer, kKinds };

  // A logarithm of a ratio that returns to 0.
  struct Ratio {
    double log = 0;
    TimePoint at{};

    double Get(double lifetime_ms, TimePoint now) const;
  };
  struct Service {
    Service();

    std::array<TypicalTime, kKinds> typical;
    // Logarithm of observed over expected times at a typical upstream.
    std::array<double, kKinds> mean_log{};
    ConcurrencyLevels levels;
    std::optional<double> sustained;
    ReportTrust trust;
  };
  struct Upstream {
    Upstream();

    Service* service = nullptr;
    Ratio lasting;
    Ratio momentary;
    double momentary_lifetime_ms = 0;
    std::array<Ratio, kKinds> previous;  // the last sample of each kind
    ConcurrencyLevels levels;
    std::optional<double> sustained;
    Ratio reported;
    bool is_report_judged = true;
  };

  Upstream& Find(const UpstreamId& id, const routes::ServiceId& service);
  // Adds a time to what is typical, and its ratio to what was expected to the
  // upstream's factors.
  void AddTime(Upstream& upstream,
               Kind kind,
               double load,
               double ms,
               TimePoint now);
  // Returns the part of the ratio that the sample before confirms.
  double AddRatio(Upstream& upstream, Kind kind, double log, TimePoint now);
  void CompareReport(Upstream& upstream, double log, TimePoint now);
  static Speed SpeedNow(const Upstream& upstream, TimePoint now);
  static bool IsForgotten(const Upstream& upstream, TimePoint now);

  std::map<routes::ServiceId, Service> services_;  // nodes are referred to
  std::unordered_map<UpstreamId, Upstream> upstreams_;
  std::uint64_t contradicted_reports_ = 0;
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_UPSTREAM_SPEEDS_H_
