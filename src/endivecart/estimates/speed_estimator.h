#ifndef ENDIVECART_ESTIMATES_SPEED_ESTIMATOR_H_
#define ENDIVECART_ESTIMATES_SPEED_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <optional>

#include "endivecart/base/base.h"
#include "endivecart/estimates/first_event_prediction.h"
#include "endivecart/estimates/ridge_regression.h"
#include "endivecart/routes/routes.h"

namespace endivecart::estimates {

// What the time to a prompt's first event depends on.
struct PromptWork {
  std::int64_t queued_tokens = 0;   // of prompts before it, of all hosts
  std::int64_t prefill_tokens = 0;  // neither cached nor fetched
  int requests = 0;                 // in progress there
  // Of fetched parts by the stated rates of links, beyond the time in the
  // queue.
  double transfer_ms = 0;
  bool is_near = true;  // in this host's failure domain

  bool operator==(const PromptWork&) const = default;
};

// Learns the speed of each upstream from responses. What all upstreams of a
// service have in common (time per token of prefill, time per step by the
// number of requests, fixed costs) is learned per service. Per upstream, a
// factor by which its work takes longer than usual: from the time between
// events, which shows a change within a step, and from first events. Factors
// return to 1 as samples age.
class SpeedEstimator {
 public:
  FirstEventPrediction Predict(const routes::ServiceId& service,
                               const UpstreamId& upstream,
                               const PromptWork& work,
                               TimePoint now) const;
  // Returns the expected time between events of a stream at an engine with
  // `requests` in progress.
  double ExpectedGapMs(const routes::ServiceId& service,
                       const UpstreamId& upstream,
                       int requests,
                       TimePoint now) const;
  // Returns the time that an engine of usual speed needs for a token's prefill.
  double PrefillMsPerToken(const routes::ServiceId& service) const;

  // Returns how long transfers take in relation to the links' stated rates.
  double TransferScale(const routes::ServiceId& service) const;

  // Records how long the first event of a prompt took.
  void AddFirstEvent(const routes::ServiceId& service,
                     const UpstreamId& upstream,
                     const PromptWork& work,
                     double observed_ms,
                     TimePoint now);
  // Records the time between two events of a stream.
  void AddGap(const routes::ServiceId& service,
              const UpstreamId& upstream,
              int requests,
              double gap_ms,
              TimePoint now);
  // Records how long the upstream says that work takes there now; 1: as usual.
  void AddReportedSlowness(const UpstreamId& upstream,
                           double slowness,
                           TimePoint now);
  // Returns the factor by which work at the upstream takes longer than usual.
  double SlownessOf(const UpstreamId& upstream, TimePoint now) const;
  // Forgets upstreams without recent samples.
  void Expire(TimePoint now);

 private:
  // Components of the time to a first event; see Features().
  static constexpr std::size_t kComponents = 6;
  using FirstEventModel = RidgeRegression<kComponents>;
  using GapModel = RidgeRegression<2>;

  struct ServiceSpeed {
    ServiceSpeed();

    FirstEventModel first_event;
    GapModel gap;
    double error_ms;
  };
  // A ratio of observed to expected times, as its logarithm. Returns to 0.
  struct Ratio {
    double log = 0;
    double samples = 0;
    TimePoint at{};

    void Add(double sample_log, double weight, Millis lifetime, TimePoint now);
    double Get(Millis lifetime, TimePoint now) const;
  };
  struct UpstreamSpeed {
    Ratio gap;
    Ratio first_event;
    double reported_log = 0;
    TimePoint reported_at{};
  };
  // How the gaps between events follow what upstreams report: moments of both,
  // as logarithms, over recent samples.
  struct ReportTrust {
    double reported_mean = 0;
    double gap_mean = 0;
    double reported_variance = 0;
    double gap_variance = 0;
    double covariance = 0;

    void Add(double reported_log, double gap_log);
    // Returns the part of a report that shows in responses, from 0 to 1.
    double Value() const;
  };

  const ServiceSpeed& SpeedOf(const routes::ServiceId& service) const;
  FirstEventModel::Vector Features(const routes::ServiceId& service,
                                   const UpstreamId& upstream,
                                   const PromptWork& work,
                                   TimePoint now) const;
  double TypicalGapMs(const ServiceSpeed& speed, int requests) const;

  std::map<routes::ServiceId, ServiceSpeed> services_;
  std::map<UpstreamId, UpstreamSpeed> upstreams_;
  ReportTrust trust_;
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_SPEED_ESTIMATOR_H_
