#ifndef ENDIVECART_FLEET_OPERATOR_DESK_H_
#define ENDIVECART_FLEET_OPERATOR_DESK_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "endivecart/fleet/fleet_feed.h"
#include "endivecart/fleet/fleet_voter.h"

namespace endivecart::fleet {

// What operators and upstreams may ask of a voter.

struct ReplaceRouting {
  std::uint64_t version = 0;
  std::string document;  // was found valid

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
  std::uint64_t born_ms = 0;  // 0: not said

  bool operator==(const Leave&) const = default;
};

// A call that can't be carried out as it stands.
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
  kDone,         // decided for good, or read
  kInvalid,      // the call is at fault
  kNotFound,     // there is nothing to read
  kElsewhere,    // another voter leads; nothing was done here
  kUnavailable,  // not known; the call may be sent again
};

std::string_view OperatorOutcomeName(OperatorOutcome outcome);

struct OperatorReply {
  OperatorOutcome outcome = OperatorOutcome::kUnavailable;
  std::string detail;
  HostId leader;                        // of kElsewhere
  std::optional<std::string> document;  // of ReadRouting
  std::optional<Move> move;             // of ReadMove

  bool operator==(const OperatorReply&) const = default;
};

// Answers operators' and upstreams' calls at one voter.
class OperatorDesk {
 public:
  using ReplyCallback = std::function<void(const OperatorReply&)>;

  // All must outlive the desk.
  OperatorDesk(FleetVoter& voter,
               upstreams::UpstreamRegistry& roster,
               FleetFeed& feed,
               std::function<TimePoint()> now);

  // Calls back once, perhaps at once.
  void Handle(const OperatorCall& call, ReplyCallback reply);

 private:
  void Decide(const wire::FleetCommand& command, ReplyCallback reply);
  void Read(std::function<OperatorReply(const Decisions&)> reader,
            ReplyCallback reply);
  OperatorReply NotLeading() const;
  OperatorReply HandleAnnounce(const Announce& call);
  OperatorReply HandleLeave(const Leave& call);

  FleetVoter& voter_;
  upstreams::UpstreamRegistry& roster_;
  FleetFeed& feed_;
  const std::function<TimePoint()> now_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_OPERATOR_DESK_H_
