// Sending through another host while this one is cut off from all upstreams of
// the service.

#include <algorithm>
#include <utility>

#include "endivecart/gateway/forwarding.h"
#include "endivecart/gateway/send_invariants.h"

namespace endivecart::gateway {

namespace {

constexpr Millis kConnectTimeout{400};
// The relay must answer this long before the deadline, for the way back.
constexpr Millis kWayBack{10};
constexpr std::size_t kMaxRelays = 3;
// A relay that stops closes idle connections only after it has announced that
// for longer.
constexpr Millis kMaxIdle{1000};

}  // namespace

std::optional<quarantine::RelayHost> Forwarding::ChooseRelay() const {
  const auto cut_off_since = gateway_.reach_.CutOffSince(service_.str());
  if (ticket_from_relay_ || !cut_off_since ||
      tried_relays_.size() >= kMaxRelays || TimeLeft() <= kWayBack) {
    return std::nullopt;
  }
  quarantine::RelaySelector::Query query;
  query.service = service_.str();
  query.cut_off_since = *cut_off_since;
  query.excluded = tried_relays_;
  query.may_be_in = [this](const DomainId& domain) {
    return IsAllowedIn(domain);
  };
  return gateway_.relays_.Choose(query, gateway_.random_(),
                                 gateway_.loop_.Now());
}

bool Forwarding::SatisfiesInvariants(const quarantine::RelayHost& relay) const {
  RelayContext context;
  context.request = &request_;
  context.was_relayed = ticket_from_relay_.has_value();
  context.may_be_there = IsAllowedIn(relay.reach.domain);
  context.may_repeat = MayRepeat();
  context.may_have_run = MayHaveRun();
  context.is_quarantined = gateway_.part_monitor_.IsQuarantined(parts_);
  context.is_trial = is_trial_;
  context.caller_was_there = caller_was_there_;
  return CheckRelayInvariants(context);
}

void Forwarding::StartRelayedCall(const quarantine::RelayHost& relay) {
  if (!SatisfiesInvariants(relay)) {
    GiveUp("promise");
    return;
  }
  ResetSend();
  relay_ = relay.host;
  tried_relays_.insert(relay.host);
  gateway_.relays_.OnSent(relay.host);
  gateway_.metrics_.Add("endivecart_relayed_requests_total");
  RelayTicket ticket;
  ticket.runs = runs_;
  ticket.routing_version =
      gateway_.decisions_ ? gateway_.decisions_->routing_version : 0;
  LogLine("gateway.relay")
      .Add("request", request_.id.str())
      .Add("route", route_.name)
      .Add("service", service_.str())
      .Add("host", relay.host.str())
      .Add("send", sends_)
      .Add("requests_there", relay.reach.requests)
      .Add("left_ms", TimeLeft().count())
      .Info();
  net::HttpRequest request = gateway_.dialect_.encode_for_relay(
      request_, TimeLeft() - kWayBack, LastEventIdToSend());
  request.fields.Set(kRelayedField, ToText(ticket));
  if (usage_counted_)
    request.fields.Set(kUsageCountedField, "1");
  net::CallOptions options;
  options.connect_timeout = std::min(kConnectTimeout, TimeLeft());
  options.max_idle = kMaxIdle;
  call_ =
      StartCallTo({relay.host.str(), relay.reach.relay_port}, request, options);
  connection_ = call_->connection_number();
}

void Forwarding::OnRelayEnd(net::CallResult end, SendEffect effect) {
  if (effect == SendEffect::kNotReached) {
    gateway_.relays_.OnUnreachable(*relay_, gateway_.loop_.Now());
    EndSend(SendResult::kUnreachable);
    if (ChooseRelay()) {
      Send();
    } else {
      GiveUp(kReasonUnreachable);
    }
    return;
  }
  if (end != net::CallResult::kComplete) {
    // How many upstreams have run it there is unknown.
    runs_ = std::max(runs_, route_.max_attempts);
    OnFailedRun(SendResult::kBroken, net::CallResultName(end).data());
    return;
  }
  if (effect == SendEffect::kRefused) {
    OnRelayNotRun();
  } else {
    OnAnswerEnd(effect);
  }
}

void Forwarding::OnRelayNotRun() {
  const std::string reason(head_.fields.Find(kRelayNotRunField).value_or(""));
  LogLine("gateway.relay_not_run")
      .Add("request", request_.id.str())
      .Add("host", relay_->str())
      .Add("status", head_.status)
      .Add("reason", reason)
      .Info();
  EndSend(SendResult::kRefused);
  if (MayRelayElsewhere(reason) && ChooseRelay()) {
    Send();
    return;
  }
  // Other statuses than these come from a configuration that isn't in force
  // here.
  if (started_ || run_state_ != RunState::kNotRun ||
      !GuaranteesNotRun(head_.status)) {
    GiveUp(kReasonUnreachable);
    return;
  }
  CheckInvariant(run_state_ == RunState::kNotRun, Invariant::kNotRunIsTrue,
                 request_.id.str());
  exchange_->Respond({HeadForCaller(), body_});
  Finish(head_.status, "refused_by_relay");
}

void Forwarding::FailOverFromCutLink() {
  const auto cut_off_since = gateway_.reach_.CutOffSince(service_.str());
  if (!call_ || relay_ || !cut_off_since || data_at_ >= *cut_off_since ||
      !call_->may_have_been_sent() || !MayRepeat() ||
      runs_ + 1 >= route_.max_attempts || !ChooseRelay()) {
    return;
  }
  // A cut may hold up answers only, or new connections only, so that the
  // request may have arrived.
  if (!gateway_.retry_limiter_.TryAcquire(service_, gateway_.loop_.Now()))
    return;
  call_.reset();
  EndFailedRun(SendResult::kSilent, "cut_off");
  Send();
}

}  // namespace endivecart::gateway
