#ifndef ENDIVECART_GATEWAY_UPSTREAM_TRACKER_H_
#define ENDIVECART_GATEWAY_UPSTREAM_TRACKER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/estimates/estimates.h"
#include "endivecart/fleet/fleet.h"
#include "endivecart/gateway/placement.h"
#include "endivecart/limits/limits.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::gateway {

// How one send to an upstream ended, for rating the upstream.
enum class SendResult {
  kAnswered,     // complete answer that is no server error
  kFailed,       // complete answer with a server error
  kRefused,      // not run: full, leaving or another upstream
  kUnreachable,  // no connection
  kBroken,       // the connection ended, or the answer was invalid
  kSilent,       // nothing was received for too long
  kAbandoned,    // caller gone or time limit; not rated
};

std::string_view SendResultName(SendResult result);

struct SendEnd {
  SendResult result = SendResult::kAbandoned;
  double latency_ms = 0;
  // It broke off before any answer on a connection that was used before: maybe
  // only the connection was stale.
  bool is_stale_connection = false;

  bool operator==(const SendEnd&) const = default;
};

// Counts of a service's upstreams by the reason why they are not used, for
// logs.
struct UpstreamCounts {
  int known = 0;
  int usable = 0;
  int leaving = 0;
  int domain_out = 0;
  int distrusted = 0;
  int old_weights = 0;
  int resting = 0;
  int region = 0;  // in a region where the request may not run
  int excluded = 0;
  int waiting = 0;  // it wants nothing from this host for a while
  std::optional<Millis> shortest_wait;  // of these

  bool operator==(const UpstreamCounts&) const = default;
  std::string ToString() const;
};

// Tracks all upstreams on one host: their announcements, the requests that this
// host has in progress there, and their outcomes.
class UpstreamTracker {
 public:
  // An upstream is silent if for this long it neither announced itself nor sent
  // this host a byte.
  static constexpr Millis kSilenceTimeout{4000};

  struct Query {
    routes::ServiceId service;
    ModelId model;  // empty: any
    // Minimum version of the model's weights; 0: any.
    std::uint64_t min_weights = 0;
    std::set<UpstreamId> excluded;          // already tried
    std::optional<VersionId> only_version;  // of the software
    std::optional<VersionId> except_version;
    std::function<bool(const DomainId&)> may_run_in;  // null: anywhere
    const limits::NamedWaits* waits = nullptr;        // null: none
  };

  UpstreamTracker(DomainId own_domain, std::function<TimePoint()> now);

  upstreams::AnnouncementEffect Apply(
      const upstreams::Announcement& announcement,
      TimePoint received_at);
  // Records that the upstream announced itself unchanged at `heard_at`. Returns
  // whether it is known.
  bool Refresh(const UpstreamId& id, TimePoint heard_at) {
    return registry_.Refresh(id, heard_at);
  }
  void SetDecisions(fleet::DecisionsPtr decisions);
  // Records the version of the weights that an answer reported.
  void RecordWeights(const UpstreamId& id,
                     const ModelId& model,
                     std::uint64_t version);

  // Records that the answer to a request that this host sent at `sent_at` said
  // that the upstream leaves: it gets no new requests from here on. Returns
  // whether that was unknown.
  bool RecordLeaving(const upstreams::UpstreamRun& run, TimePoint sent_at);
  // Returns the upstreams that said so to this host and are not known to be
  // gone or to have started again, for the other hosts.
  std::vector<upstreams::UpstreamRun> LeavingUpstreams() const;

  // Records the load that an answer reported.
  void RecordServerLoad(const UpstreamId& id, const ServerLoad& load);

  // What this host has learned of upstreams' speeds.
  estimates::UpstreamSpeeds& speeds() { return speeds_; }
  const estimates::UpstreamSpeeds& speeds() const { return speeds_; }
  // Returns the estimated number of requests in progress there, of this host
  // and, if `others` is not null, of the other hosts.
  int RequestsAt(const UpstreamId& id,
                 const fleet::FleetFollower* others) const;

  // Returns the last known version of the model's weights; 0 if unknown.
  std::uint64_t WeightsOf(const upstreams::AnnouncedUpstream& upstream,
                          const ModelId& model) const;

  // Returns the usable upstreams, with the load of this host and, if `others`
  // is not null, of the other hosts. Fills in `counts` unless it is null.
  std::vector<Candidate> Candidates(const Query& query,
                                    const fleet::FleetFollower* others,
                                    UpstreamCounts* counts) const;
  const upstreams::AnnouncedUpstream* Find(const UpstreamId& id) const;
  bool IsCold(const UpstreamId& id) const;
  bool IsSilent(const UpstreamId& id) const;
  // Records that the upstream has sent this host data.
  void RecordActivity(const UpstreamId& id);
  // Records the begin of an answer.
  void RecordAnswer(const UpstreamId& id) {
    failures_.OnAnswered(RunOf(id), now_());
  }
  // Identifies the incarnation of an upstream.
  std::string RunOf(const UpstreamId& id) const;
  // What this host and all others know of failing upstreams.
  quarantine::FailureMonitor& failures() { return failures_; }

  // Record the begin and end of a request. `prompt_tokens` count as load until
  // FinishPrefill(), `held_tokens` until EndWork().
  void StartWork(const UpstreamId& id,
                 std::int64_t prompt_tokens,
                 std::int64_t held_tokens);
  void FinishPrefill(const UpstreamId& id, std::int64_t prompt_tokens);
  void EndWork(const UpstreamId& id,
               const SendEnd& end,
               std::int64_t held_tokens);
  std::vector<fleet::LocalLoad> LocalLoads() const;

  // Returns up to `count` addresses of ready upstreams of the service: the one
  // that sent this host data last, then others of as many domains as possible,
  // the own one first. `random` selects among them.
  std::vector<settings::Endpoint> ProbeTargets(const routes::ServiceId& service,
                                               std::size_t count,
                                               std::uint64_t random) const;

  // Returns for each upstream of the service, in an order that hardly changes
  // when one is added or removed, its position as a fraction of their number.
  std::map<UpstreamId, double> PlacesInService(
      const routes::ServiceId& service) const;

  // Removes upstreams that the registry has expired.
  void Expire();
  const upstreams::UpstreamRegistry& registry() const { return registry_; }

 private:
  struct Record {
    int requests = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t held_tokens = 0;
    double latency_ms = 0;
    int failures_in_row = 0;
    // Not used until this time and until its next announcement.
    TimePoint distrusted_until{};
    TimePoint distrusted_since{};
    std::map<ModelId, std::uint64_t> weights;  // as reported by its answers
    std::uint64_t weights_start_time_ms = 0;
    ServerLoad server_load;  // of the last answer that reported one
    TimePoint server_load_at{};
    int requests_at_server_load = 0;
    TimePoint active_at{};   // last data to this host
    TimePoint refused_at{};  // last refusal
  };

  // Upstreams of one domain that could not be reached since the last data from
  // any of its upstreams.
  struct DomainFailures {
    std::set<UpstreamId> unreachable;
    TimePoint failed_at{};
  };

  // Adds the load of other hosts, and what the upstream itself reported.
  void AddLoad(const Record& record,
               const fleet::FleetFollower* others,
               Candidate& candidate) const;
  bool IsDomainSuspect(const DomainId& domain) const;
  void RecordUnreachable(const UpstreamId& id);
  bool IsSilent(const upstreams::AnnouncedUpstream& upstream,
                const Record& record) const;
  bool IsDistrusted(const upstreams::AnnouncedUpstream& upstream,
                    const Record& record) const;
  const Record& RecordOf(const UpstreamId& id) const;
  // Returns when the request was sent whose answer said that this incarnation
  // leaves, if one did. An earlier incarnation doesn't answer what is sent once
  // this one has announced itself, even if this host took it for that.
  std::optional<TimePoint> SaidLeavingAt(const upstreams::UpstreamRun& run,
                                         TimePoint announced_at) const;

  const DomainId own_domain_;
  const std::function<TimePoint()> now_;
  upstreams::UpstreamRegistry registry_;
  fleet::DecisionsPtr decisions_;
  std::map<UpstreamId, Record> records_;
  std::map<DomainId, DomainFailures> domain_failures_;
  // When the request was sent whose answer last said so; also of upstreams that
  // are not known yet, or no more.
  std::map<upstreams::UpstreamRun, TimePoint> leaving_;
  estimates::UpstreamSpeeds speeds_;
  quarantine::FailureMonitor failures_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_UPSTREAM_TRACKER_H_
