#include "endivecart/fleet/operator_service.h"

#include <utility>

namespace endivecart::fleet {

namespace {

// Below one second, after which callers try another voter.
constexpr Millis kCallTimeout{900};

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

wire::ReplaceRoutingCommand ToCommand(const ReplaceRouting& call) {
  wire::ReplaceRoutingCommand command;
  command.set_version(call.version);
  command.set_document(call.document);
  wire::CacheCustomersRecord& customers = *command.mutable_cache_customers();
  for (const CustomerId& customer : call.cache_customers.sharing)
    customers.add_sharing(customer.str());
  for (const CustomerId& customer : call.cache_customers.isolated)
    customers.add_isolated(customer.str());
  return command;
}

}  // namespace

std::string_view OperatorOutcomeName(OperatorOutcome outcome) {
  switch (outcome) {
    case OperatorOutcome::kDone:
      return "done";
    case OperatorOutcome::kInvalid:
      return "invalid";
    case OperatorOutcome::kNotFound:
      return "not_found";
    case OperatorOutcome::kNotLeader:
      return "elsewhere";
    case OperatorOutcome::kUnavailable:
      return "unavailable";
  }
  return "";
}

OperatorService::OperatorService(FleetVoter& voter,
                                 upstreams::UpstreamRegistry& roster,
                                 FleetFeed& feed,
                                 std::function<TimePoint()> now,
                                 std::function<std::uint64_t()> unix_ms)
    : voter_(voter),
      roster_(roster),
      feed_(feed),
      now_(std::move(now)),
      unix_ms_(std::move(unix_ms)) {}

OperatorReply OperatorService::NotLeaderReply() const {
  OperatorReply reply;
  reply.leader = voter_.LeaderHost();
  reply.outcome = reply.leader.empty() || voter_.IsLeader()
                      ? OperatorOutcome::kUnavailable
                      : OperatorOutcome::kNotLeader;
  reply.detail = "this voter is not the leader";
  return reply;
}

void OperatorService::ProposeCommand(const wire::FleetCommand& command,
                                     ReplyCallback reply) {
  voter_.Propose(
      command, kCallTimeout,
      [this, reply = std::move(reply)](ProposalResult proposal_result) {
        OperatorReply result;
        if (proposal_result == ProposalResult::kDecided) {
          result.outcome = OperatorOutcome::kDone;
        } else if (proposal_result == ProposalResult::kNotLeader) {
          result = NotLeaderReply();
        } else {
          result.detail =
              "commit not confirmed; the command may still be committed";
        }
        reply(result);
      });
}

void OperatorService::ReadDecisions(
    std::function<OperatorReply(const Decisions&)> reader,
    ReplyCallback reply) {
  if (!voter_.IsLeader()) {
    reply(NotLeaderReply());
    return;
  }
  voter_.Confirm(kCallTimeout, [this, reader = std::move(reader),
                                reply = std::move(reply)](bool confirmed) {
    if (confirmed) {
      reply(reader(voter_.decisions()));
      return;
    }
    OperatorReply result;
    result.detail = "could not confirm that this is the latest state";
    reply(result);
  });
}

OperatorReply OperatorService::HandleAnnounce(const Announce& call) {
  const upstreams::Announcement& announcement = call.announcement;
  const bool was_present = roster_.IsPresent(announcement.id);
  const auto effect = roster_.Apply(announcement, now_(), now_());
  if (effect == upstreams::AnnouncementEffect::kChanged) {
    LogLine("fleet.upstream")
        .Add("upstream", announcement.id.str())
        .Add("service", announcement.service.str())
        .Add("address", announcement.address.ToString())
        .Add("domain", announcement.domain.str())
        .Add("state", upstreams::UpstreamStateName(announcement.state))
        .Add("cold_ms", announcement.cold_for.count())
        .Add("born_ms", announcement.start_time_ms)
        .Add("sequence", announcement.sequence)
        .Info();
    // Nobody uses a new upstream yet, so it can wait for the next poll.
    if (was_present)
      feed_.RequestPush();
  }
  OperatorReply reply;
  // A partitioned voter accepts the announcement, but asks the upstream to send
  // it to others too.
  reply.outcome = voter_.LeaderHost().empty() ? OperatorOutcome::kUnavailable
                                              : OperatorOutcome::kDone;
  return reply;
}

OperatorReply OperatorService::HandleLeave(const Leave& call) {
  if (roster_.Leave(call.id, call.start_time_ms, now_()) ==
      upstreams::AnnouncementEffect::kChanged) {
    LogLine("fleet.upstream_left").Add("upstream", call.id.str()).Info();
    feed_.RequestPush();
  }
  OperatorReply reply;
  reply.outcome = OperatorOutcome::kDone;
  return reply;
}

void OperatorService::Handle(const OperatorCall& call, ReplyCallback reply) {
  wire::FleetCommand command;
  std::visit(
      Overloaded{[&](const ReplaceRouting& c) {
                   *command.mutable_replace_routing() = ToCommand(c);
                   ProposeCommand(
                       command, [version = c.version, reply = std::move(reply)](
                                    const OperatorReply& result) {
                         if (result.outcome == OperatorOutcome::kDone) {
                           LogLine("fleet.configuration_acknowledged")
                               .Add("version", version)
                               .Info();
                         }
                         reply(result);
                       });
                 },
                 [&](const SetDomain& c) {
                   command.mutable_set_domain()->set_domain(c.domain.str());
                   command.mutable_set_domain()->set_out(c.out);
                   ProposeCommand(command, std::move(reply));
                 },
                 [&](const BeginMove& c) {
                   wire::BeginMoveCommand& begin =
                       *command.mutable_begin_move();
                   begin.set_service(c.service.str());
                   begin.set_target(c.target.str());
                   begin.set_duration_ms(
                       static_cast<std::uint64_t>(c.duration.count()));
                   ProposeCommand(command, std::move(reply));
                 },
                 [&](const NameWeights& c) {
                   command.mutable_name_weights()->set_model(c.model.str());
                   command.mutable_name_weights()->set_version(c.version);
                   command.mutable_name_weights()->set_named_ms(unix_ms_());
                   ProposeCommand(command, std::move(reply));
                 },
                 [&](const ReadRouting&) {
                   ReadDecisions(
                       [](const Decisions& decisions) {
                         OperatorReply result;
                         result.outcome = decisions.routing_version == 0
                                              ? OperatorOutcome::kUnavailable
                                              : OperatorOutcome::kDone;
                         result.document = decisions.routing_document;
                         return result;
                       },
                       std::move(reply));
                 },
                 [&](const ReadMove& c) {
                   ReadDecisions(
                       [service = c.service](const Decisions& decisions) {
                         OperatorReply result;
                         const auto it = decisions.moves.find(service);
                         if (it == decisions.moves.end()) {
                           result.outcome = OperatorOutcome::kNotFound;
                         } else {
                           result.outcome = OperatorOutcome::kDone;
                           result.move = it->second;
                         }
                         return result;
                       },
                       std::move(reply));
                 },
                 [&](const Announce& c) { reply(HandleAnnounce(c)); },
                 [&](const Leave& c) { reply(HandleLeave(c)); },
                 [&](const InvalidCall& c) {
                   OperatorReply result;
                   result.outcome = OperatorOutcome::kInvalid;
                   result.detail = c.reason;
                   reply(result);
                 }},
      call);
}

}  // namespace endivecart::fleet
