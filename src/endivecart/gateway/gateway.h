#ifndef ENDIVECART_GATEWAY_GATEWAY_H_
#define ENDIVECART_GATEWAY_GATEWAY_H_

// Public header of the gateway library, which matches callers' requests to
// routes and sends them to upstreams.

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "endivecart/duties/duties.h"
#include "endivecart/estimates/estimates.h"
#include "endivecart/fleet/fleet.h"
#include "endivecart/gateway/cache_save_claims.h"
#include "endivecart/gateway/cache_view.h"
#include "endivecart/gateway/caller_request.h"
#include "endivecart/gateway/capacity_estimator.h"
#include "endivecart/gateway/cold_start_limiter.h"
#include "endivecart/gateway/duration_estimator.h"
#include "endivecart/gateway/follower_wiring.h"
#include "endivecart/gateway/move_tracker.h"
#include "endivecart/gateway/prefill_rate_estimator.h"
#include "endivecart/gateway/reach_prober.h"
#include "endivecart/gateway/region_map.h"
#include "endivecart/gateway/relayed_request.h"
#include "endivecart/gateway/request_queue.h"
#include "endivecart/gateway/retry_limiter.h"
#include "endivecart/gateway/upstream_tracker.h"
#include "endivecart/net/net.h"
#include "endivecart/routes/routes.h"

namespace endivecart::gateway {

struct GatewayOptions {
  HostId host;
  DomainId domain;
  RegionMap regions;
  double retry_ratio = 0.2;
  Millis retry_window{10000};
  // How long older weights may still serve after a newer version was decided.
  Millis old_weights_grace{8000};
  // Where other hosts may send requests; 0: nowhere.
  int relay_port = 0;
  // Length of the windows in which usage is counted.
  Millis usage_window{5000};
  std::uint64_t seed = 1;
};

class Forwarding;

// The data path of one host. Must be used only on the event loop's thread.
class Gateway {
 public:
  // `loop`, `client` and `metrics` must outlive the gateway.
  Gateway(GatewayOptions options,
          Dialect dialect,
          net::EventLoop& loop,
          net::HttpClient& client,
          MetricsRegistry& metrics);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Handles one request of a caller.
  void Handle(net::HttpExchangePtr exchange);
  // Handles a request that another host passed on, since it is cut off from the
  // upstreams. It is never passed on again.
  void HandleRelayed(net::HttpExchangePtr exchange);
  // Tells control hosts that this host takes no more requests from others.
  void StopRelaying() { relay_port_ = 0; }
  // Returns what to report about the way to upstreams.
  quarantine::HostReach ReachReport() const;
  quarantine::RelaySelector& relays() { return relays_; }
  duties::UsageCounter& usage() { return usage_; }
  // Returns the usage that changed after this change, or nullopt if usage is
  // not wanted.
  std::optional<fleet::UsageChanges> UsageSince(std::uint64_t change);
  // Returns the requests that wait for services with `scaling`.
  std::vector<wire::WaitingRecord> WaitingForScaled() const;

  // Sets the decisions in force. If `routes` is null, the previous routes stay.
  void SetDecisions(fleet::DecisionsPtr decisions,
                    routes::RouteTablePtr routes);
  fleet::WeightsAges& weights_ages() { return weights_ages_; }
  // Returns the oldest version of the weights that may serve a request; 0: any.
  std::uint64_t MinWeights(const ModelId& model) const;
  void SetFollower(const fleet::FleetFollower* follower) {
    follower_ = follower;
  }
  TimePoint Now() const { return loop_.Now(); }
  UpstreamTracker& upstreams() { return upstreams_; }
  CacheView& cache() { return cache_; }
  CacheSaveClaims& save_claims() { return save_claims_; }
  quarantine::PartMonitor& part_monitor() { return part_monitor_; }
  limits::LimitMonitor& limits() { return limits_; }
  const quarantine::ReachMonitor& reach() const { return reach_; }
  const MoveTracker& moves() const { return moves_; }
  bool HasRoutes() const { return routes_ != nullptr; }
  // Number of accepted requests that are not answered yet.
  std::size_t active() const { return active_.size(); }
  // Schedules another attempt to send queued requests; to be called when
  // capacity may have become free.
  void AdmitSoon();
  // This process ends at `end`: from now on, requests that can't be expected to
  // be answered until then are rejected. From `callers_know_at`, when callers
  // could have gone elsewhere, those that must be answered until then by their
  // time limit are the only ones that are accepted.
  void StopBy(TimePoint end, TimePoint callers_know_at = TimePoint::max()) {
    stop_at_ = end;
    callers_know_at_ = callers_know_at;
  }
  // Sends a final answer to each request that has none yet, because the process
  // is about to exit. Streams that have begun get none.
  void AnswerAll();
  // Logs the requests that are not answered yet, because the process exits.
  void LogCutRequests() const;
  // Removes upstreams that are gone, and retries requests at silent upstreams
  // elsewhere. To be called about once a second.
  void Tick();

 private:
  friend class Forwarding;

  // An answer that the system itself gives.
  struct Refusal {
    int status = 0;
    std::string reason;
    std::optional<Millis> retry_after;
    RequestId id;
  };

  void Accept(net::HttpExchangePtr exchange,
              const net::HttpRequest& received,
              std::optional<RelayTicket> ticket);
  // Returns the refusal of a request whose route or key the configuration
  // doesn't have. It isn't final if a newer configuration is known to be in
  // force, which may have them.
  Refusal RoutingRefusal(int status,
                         std::string_view reason,
                         const RequestId& id) const;
  void Refuse(net::HttpExchange& exchange,
              const Refusal& refusal,
              bool is_relayed);
  // Returns whether this process lives long enough to answer the request.
  bool CanFinish(const routes::Route& route,
                 const CallerRequest& request) const;
  // Returns an estimate of how long the request takes: `limit` if nothing is
  // known, and never longer.
  Millis ExpectedDuration(const routes::Route& route,
                          const CallerRequest& request,
                          Millis limit) const;
  // `tells_not_run`: whether to guarantee to a host that relayed the request
  // that it was not run.
  void RespondWithRefusal(net::HttpExchange& exchange,
                          const Refusal& refusal,
                          bool tells_not_run);
  routes::ServiceId ChooseService(const routes::Route& route);
  void Remove(const std::shared_ptr<Forwarding>& forwarding);
  void CountBadServerLoad(const UpstreamId& upstream);
  // Shows what is known of upstreams' speeds in the log and on the metrics
  // page.
  void ReportSpeeds();
  // This host's rank among those that serve callers, as far as known.
  HostRank Rank() const;
  void OnRequestLimit(const UpstreamId& upstream,
                      const AnswerMetadata& metadata,
                      TimePoint sent_at);
  // Records that the answer to a request that was sent at `sent_at` said that
  // this upstream leaves.
  void OnLeaving(const upstreams::UpstreamRun& run, TimePoint sent_at);
  // Records the wait that an upstream named with a refusal.
  void OnNamedWait(const UpstreamId& upstream, const AnswerMetadata& metadata);
  void Admit();
  // Looks for silent upstreams, and probes upstreams if necessary.
  void ReachTick();

  const GatewayOptions options_;
  const Dialect dialect_;
  net::EventLoop& loop_;
  net::HttpClient& client_;
  MetricsRegistry& metrics_;
  UpstreamTracker upstreams_;
  CacheView cache_;
  CacheSaveClaims save_claims_;
  // The weights on which a prompt was last sent, by model.
  std::map<ModelId, std::uint64_t> last_weights_;
  MoveTracker moves_;
  quarantine::PartMonitor part_monitor_;
  limits::LimitMonitor limits_;
  limits::NamedWaits named_waits_;
  quarantine::ReachMonitor reach_;
  ReachProber prober_;
  quarantine::RelaySelector relays_;
  int relay_port_ = 0;
  RetryLimiter retry_limiter_;
  ColdStartLimiter cold_start_limiter_;
  PrefillRateEstimator prefill_rates_;
  // Of prompts none of whose parts was fetched.
  PrefillRateEstimator unfetched_prefill_rates_;
  estimates::TransferLines transfer_lines_;
  estimates::CacheHits cache_hits_;
  DurationEstimator durations_;
  std::optional<TimePoint> stop_at_;
  TimePoint callers_know_at_ = TimePoint::max();
  CapacityEstimator capacity_estimator_;
  std::mt19937_64 random_;
  const fleet::FleetFollower* follower_ = nullptr;
  fleet::DecisionsPtr decisions_;
  routes::RouteTablePtr routes_;
  std::uint64_t cache_generation_ = 0;  // with routes_; see CacheSharing
  fleet::WeightsAges weights_ages_;
  std::set<std::shared_ptr<Forwarding>> active_;
  RequestQueue request_queue_;
  std::map<RequestQueue::Ticket, std::weak_ptr<Forwarding>> waiting_;
  duties::UsageCounter usage_;
  std::optional<TimePoint> bad_server_load_logged_at_;
  std::uint64_t reported_contradictions_ = 0;  // on the metrics page
  std::optional<TimePoint> contradictions_logged_at_;
  std::unique_ptr<TimerSubscription> admit_soon_;
  std::unique_ptr<TimerSubscription> admit_timer_;
  std::unique_ptr<TimerSubscription> reach_timer_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_GATEWAY_H_
