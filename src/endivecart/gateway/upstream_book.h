#ifndef ENDIVECART_GATEWAY_UPSTREAM_BOOK_H_
#define ENDIVECART_GATEWAY_UPSTREAM_BOOK_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/fleet/fleet.h"
#include "endivecart/gateway/placement.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::gateway {

// How one send to an upstream ended, for judging the upstream.
enum class SendResult {
  kAnswered,     // whole, whatever its status
  kFailed,       // answered with a server's error
  kRefused,      // stated that it didn't run it: full, leaving or another one
  kUnreachable,  // no connection
  kBroken,       // the connection ended, or what came was no answer
  kSilent,       // nothing came for too long
  kAbandoned,    // the caller left, or the time was up: tells nothing
};

std::string_view SendResultName(SendResult result);

// Why upstreams of a service can't be used, for logs.
struct UpstreamCensus {
  int known = 0;
  int usable = 0;
  int leaving = 0;
  int domain_out = 0;
  int distrusted = 0;
  int old_weights = 0;
  int resting = 0;
  int region = 0;  // where the request may not run
  int excluded = 0;

  bool operator==(const UpstreamCensus&) const = default;
  std::string ToString() const;
};

// What one host knows of all upstreams: their announcements, its own work
// there, and how that went.
class UpstreamBook {
 public:
  // An upstream that neither announced itself nor sent this host a byte for
  // this long is silent.
  static constexpr Millis kSilentAfter{4000};

  struct Query {
    routes::ServiceId service;
    ModelId model;  // empty: any
    // Only upstreams that have this version of the model's weights, or a newer
    // one; 0: any.
    std::uint64_t least_weights = 0;
    std::set<UpstreamId> excluded;          // were tried before
    std::optional<VersionId> only_version;  // of its software
    std::optional<VersionId> except_version;
    std::function<bool(const DomainId&)> may_run_in;  // null: anywhere
  };

  UpstreamBook(DomainId own_domain, std::function<TimePoint()> now);

  upstreams::AnnouncementEffect Apply(
      const upstreams::Announcement& announcement,
      TimePoint received_at);
  void SetDecisions(fleet::DecisionsPtr decisions);
  // An answer of the upstream told which weights it has.
  void NoteWeights(const UpstreamId& id,
                   const ModelId& model,
                   std::uint64_t version);

  // Version of the model's weights there, as last heard; 0 if unknown.
  std::uint64_t WeightsOf(const upstreams::AnnouncedUpstream& upstream,
                          const ModelId& model) const;

  std::vector<Candidate> Candidates(const Query& query,
                                    const fleet::FleetFollower* others,
                                    UpstreamCensus* census) const;
  const upstreams::AnnouncedUpstream* Find(const UpstreamId& id) const;
  bool IsCold(const UpstreamId& id) const;
  bool IsSilent(const UpstreamId& id) const;
  // The upstream has sent this host something.
  void NoteBytes(const UpstreamId& id);

  // Work begins and ends; `prompt_tokens` count until the first event.
  // `held_tokens` until the work ends.
  void StartWork(const UpstreamId& id,
                 std::int64_t prompt_tokens,
                 std::int64_t held_tokens);
  void PromptRead(const UpstreamId& id, std::int64_t prompt_tokens);
  void EndWork(const UpstreamId& id,
               SendResult result,
               double latency_ms,
               std::int64_t held_tokens);
  std::vector<fleet::LocalLoad> OwnLoads() const;

  void Expire();
  const upstreams::AnnouncedRoster& roster() const { return roster_; }

 private:
  struct Record {
    int requests = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t held_tokens = 0;
    double latency_ms = 0;
    int failures_in_row = 0;
    // Not used until then, and not before it announces itself again.
    TimePoint distrusted_until{};
    TimePoint distrusted_since{};
    std::map<ModelId, std::uint64_t> weights;  // as its answers told
    std::uint64_t weights_born_ms = 0;
    TimePoint sent_bytes_at{};  // the last time, to this host
    TimePoint refused_at{};     // the last time that it had no room
  };

  // Upstreams of one domain that couldn't be reached one after the other.
  struct DomainReach {
    std::set<UpstreamId> unreachable;
    TimePoint failed_at{};
  };

  bool IsOutOfReach(const DomainId& domain) const;
  void NoteUnreachable(const UpstreamId& id);
  bool IsSilent(const upstreams::AnnouncedUpstream& upstream,
                const Record& record) const;
  bool IsDistrusted(const upstreams::AnnouncedUpstream& upstream,
                    const Record& record) const;
  const Record& RecordOf(const UpstreamId& id) const;

  const DomainId own_domain_;
  const std::function<TimePoint()> now_;
  upstreams::AnnouncedRoster roster_;
  fleet::DecisionsPtr decisions_;
  std::map<UpstreamId, Record> records_;
  std::map<DomainId, DomainReach> reach_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_UPSTREAM_BOOK_H_
