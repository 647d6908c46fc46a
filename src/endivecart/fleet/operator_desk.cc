#include "endivecart/fleet/operator_desk.h"

#include <utility>

namespace endivecart::fleet {

namespace {

// Callers move on to another voter after a second.
constexpr Millis kPatience{900};

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

std::string_view OperatorOutcomeName(OperatorOutcome outcome) {
  switch (outcome) {
    case OperatorOutcome::kDone:
      return "done";
    case OperatorOutcome::kInvalid:
      return "invalid";
    case OperatorOutcome::kNotFound:
      return "not_found";
    case OperatorOutcome::kElsewhere:
      return "elsewhere";
    case OperatorOutcome::kUnavailable:
      return "unavailable";
  }
  return "";
}

OperatorDesk::OperatorDesk(FleetVoter& voter,
                           upstreams::UpstreamRegistry& roster,
                           FleetFeed& feed,
                           std::function<TimePoint()> now)
    : voter_(voter), roster_(roster), feed_(feed), now_(std::move(now)) {}

OperatorReply OperatorDesk::NotLeading() const {
  OperatorReply reply;
  reply.leader = voter_.LeaderHost();
  reply.outcome = reply.leader.empty() || voter_.IsLeader()
                      ? OperatorOutcome::kUnavailable
                      : OperatorOutcome::kElsewhere;
  reply.detail = "this voter does not lead";
  return reply;
}

void OperatorDesk::Decide(const wire::FleetCommand& command,
                          ReplyCallback reply) {
  voter_.Propose(command, kPatience,
                 [this, reply = std::move(reply)](ProposalEnd end) {
                   OperatorReply result;
                   if (end == ProposalEnd::kDecided) {
                     result.outcome = OperatorOutcome::kDone;
                   } else if (end == ProposalEnd::kNotLeader) {
                     result = NotLeading();
                   } else {
                     result.detail = "whether it was decided is not known";
                   }
                   reply(result);
                 });
}

void OperatorDesk::Read(std::function<OperatorReply(const Decisions&)> reader,
                        ReplyCallback reply) {
  if (!voter_.IsLeader()) {
    reply(NotLeading());
    return;
  }
  voter_.Confirm(kPatience, [this, reader = std::move(reader),
                             reply = std::move(reply)](bool confirmed) {
    if (confirmed) {
      reply(reader(voter_.decisions()));
      return;
    }
    OperatorReply result;
    result.detail = "whether this is the newest is not known";
    reply(result);
  });
}

OperatorReply OperatorDesk::HandleAnnounce(const Announce& call) {
  const upstreams::Announcement& said = call.announcement;
  const auto effect = roster_.Apply(said, now_(), now_());
  if (effect == upstreams::AnnouncementEffect::kChanged) {
    LogLine("fleet.upstream")
        .Add("upstream", said.id.str())
        .Add("service", said.service.str())
        .Add("address", said.address.ToString())
        .Add("domain", said.domain.str())
        .Add("state", upstreams::UpstreamStateName(said.state))
        .Add("cold_ms", said.cold_for.count())
        .Add("born_ms", said.start_time_ms)
        .Add("sequence", said.sequence)
        .Info();
    feed_.PushAnnouncements();
  }
  OperatorReply reply;
  // A voter that is cut off takes the news, but others should hear it too.
  reply.outcome = voter_.LeaderHost().empty() ? OperatorOutcome::kUnavailable
                                              : OperatorOutcome::kDone;
  return reply;
}

OperatorReply OperatorDesk::HandleLeave(const Leave& call) {
  if (roster_.Leave(call.id, call.born_ms, now_()) ==
      upstreams::AnnouncementEffect::kChanged) {
    LogLine("fleet.upstream_left").Add("upstream", call.id.str()).Info();
    feed_.PushAnnouncements();
  }
  OperatorReply reply;
  reply.outcome = OperatorOutcome::kDone;
  return reply;
}

void OperatorDesk::Handle(const OperatorCall& call, ReplyCallback reply) {
  wire::FleetCommand command;
  std::visit(
      Overloaded{[&](const ReplaceRouting& c) {
                   command.mutable_replace_routing()->set_version(c.version);
                   command.mutable_replace_routing()->set_document(c.document);
                   Decide(command, std::move(reply));
                 },
                 [&](const SetDomain& c) {
                   command.mutable_set_domain()->set_domain(c.domain.str());
                   command.mutable_set_domain()->set_out(c.out);
                   Decide(command, std::move(reply));
                 },
                 [&](const BeginMove& c) {
                   wire::BeginMoveCommand& begin =
                       *command.mutable_begin_move();
                   begin.set_service(c.service.str());
                   begin.set_target(c.target.str());
                   begin.set_duration_ms(
                       static_cast<std::uint64_t>(c.duration.count()));
                   Decide(command, std::move(reply));
                 },
                 [&](const NameWeights& c) {
                   command.mutable_name_weights()->set_model(c.model.str());
                   command.mutable_name_weights()->set_version(c.version);
                   Decide(command, std::move(reply));
                 },
                 [&](const ReadRouting&) {
                   Read(
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
                   Read(
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
