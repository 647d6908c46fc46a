#ifndef ENDIVECART_FLEET_OPERATOR_SERVICE_H_
#define ENDIVECART_FLEET_OPERATOR_SERVICE_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "endivecart/fleet/cache_sharing.h"
#include "endivecart/fleet/fleet_feed.h"
#include "endivecart/fleet/fleet_voter.h"

namespace endivecart::fleet {

// The calls of operators and upstreams to a voter.

struct ReplaceRouting {
  std::uint64_t version = 0;
  std::string document;  // already validated
  CacheCustomers cache_customers;

  bool operator==(const ReplaceRouting&) const = default;
};

struct ReadRouting {
  bool operator==(const ReadRouting&) const = default;
};

struct SetDomain {
  DomainId domain;
  bool out = false;

  bool operator==(const SetDomain&) const = default;
};

struct BeginMove {
  routes::ServiceId service;
  VersionId target;
  Millis duration{0};

  bool operator==(const BeginMove&) const = default;
};

struct ReadMove {
  routes::ServiceId service;

  bool operator==(const ReadMove&) const = default;
};

struct NameWeights {
  ModelId model;
  std::uint64_t version = 0;

  bool operator==(const NameWeights&) const = default;
};

struct Announce {
  upstreams::Announcement announcement;

  bool operator==(const Announce&) const = default;
};

struct Leave {
  UpstreamId id;
  std::uint64_t start_time_ms = 0;  // 0: unknown

  bool operator==(const Leave&) const = default;
};

// A malformed call.
struct InvalidCall {
  std::string reason;

  bool operator==(const InvalidCall&) const = default;
};

using OperatorCall = std::variant<ReplaceRouting,
                                  ReadRouting,
                                  SetDomain,
                                  BeginMove,
                                  ReadMove,
                                  NameWeights,
                                  Announce,
                                  Leave,
                                  InvalidCall>;

enum class OperatorOutcome {
  kDone,         // committed, or read
  kInvalid,      // the call itself is faulty
  kNotFound,     // the requested item doesn't exist
  kNotLeader,    // another voter leads; nothing was changed
  kUnavailable,  // the outcome is unknown; the call may be retried
};

std::string_view OperatorOutcomeName(OperatorOutcome outcome);

struct OperatorReply {
  OperatorOutcome outcome = OperatorOutcome::kUnavailable;
  std::string detail;
  HostId leader;                        // for kNotLeader
  std::optional<std::string> document;  // for ReadRouting
  std::optional<Move> move;             // for ReadMove

  bool operator==(const OperatorReply&) const = default;
};

// Handles the calls of operators and upstreams at one voter.
class OperatorService {
 public:
  using ReplyCallback = std::function<void(const OperatorReply&)>;

  // The references must outlive the service.
  OperatorService(FleetVoter& voter,
                  upstreams::UpstreamRegistry& roster,
                  FleetFeed& feed,
                  std::function<TimePoint()> now,
                  std::function<std::uint64_t()> unix_ms);

  // Calls `reply` exactly once, possibly before returning.
  void Handle(const OperatorCall& call, ReplyCallback reply);

 private:
  void ProposeCommand(const wire::FleetCommand& command, ReplyCallback reply);
  void ReadDecisions(std::function<OperatorReply(const Decisions&)> reader,
                     ReplyCallback reply);
  OperatorReply NotLeaderReply() const;
  OperatorReply HandleAnnounce(const Announce& call);
  OperatorReply HandleLeave(const Leave& call);

  FleetVoter& voter_;
  upstreams::UpstreamRegistry& roster_;
  FleetFeed& feed_;
  const std::function<TimePoint()> now_;
  const std::function<std::uint64_t()> unix_ms_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_OPERATOR_SERVICE_H_
