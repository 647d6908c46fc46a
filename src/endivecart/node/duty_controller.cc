#include "endivecart/node/duty_controller.h"

#include <utility>

namespace endivecart::node {

using duties::DutyCall;
using duties::DutyOutcome;

namespace {

constexpr Millis kCallTimeout{1000};
constexpr Millis kReconnectDelay{500};

std::string_view DutyNameOf(const DutyCall& call) {
  return std::holds_alternative<duties::UsageWindow>(call.content) ? "usage"
                                                                   : "scale";
}

}  // namespace

DutyController::DutyController(net::EventLoop& loop,
                               Options options,
                               Hooks hooks,
                               MetricsRegistry& metrics)
    : loop_(loop),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      client_(loop),
      scheduler_(options_.scheduler) {}

void DutyController::Tick(const fleet::Decisions& decisions) {
  ReadCustomers(decisions);
  if (!UpdateLeadership())
    return;
  CloseWindow();
  SendNext();
}

bool DutyController::UpdateLeadership() {
  if (hooks_.is_confirmed_leader()) {
    scheduler_.OnLeader(hooks_.term(), loop_.Now());
    return scheduler_.IsHolder(loop_.Now());
  }
  scheduler_.OnLeadershipLost();
  // The kernel must not go on sending after another process has taken over.
  EndCall(false);
  client_.CloseIdleConnections(options_.api.address);
  return false;
}

void DutyController::ReadCustomers(const fleet::Decisions& decisions) {
  const bool is_first_tick = !std::exchange(has_ticked_, true);
  if (decisions.routing_version == routing_version_)
    return;
  routing_version_ = decisions.routing_version;
  auto customers = hooks_.decode_customers(decisions.routing_document);
  if (!customers)
    return;
  if (!customers_ && !is_first_tick)
    routing_since_ = loop_.Now();
  customers_ = std::move(customers);
}

std::optional<std::uint64_t> DutyController::UnixMs() const {
  return hooks_.unix_ms ? hooks_.unix_ms(loop_.Now()) : std::nullopt;
}

// No window that ended before the first routing configuration is reported.
std::uint64_t DutyController::FirstWindow(std::uint64_t unix_ms) const {
  if (!routing_since_)
    return 0;
  const auto since = static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(loop_.Now() - *routing_since_)
          .count());
  return since < unix_ms ? options_.scheduler.timing.WindowAt(unix_ms - since)
                         : 0;
}

void DutyController::CloseWindow() {
  const auto unix_ms = UnixMs();
  if (!options_.api.duties.contains(settings::Duty::kUsage) ||
      !hooks_.usage_counts || !hooks_.usage_complete || !unix_ms ||
      !customers_ || is_proposing_) {
    return;
  }
  const duties::UsageSource source{
      hooks_.usage_counts, [this](std::uint64_t window) {
        return hooks_.usage_complete(window, loop_.Now());
      }};
  const auto decision = duties::NextWindowToClose(
      options_.scheduler.timing, hooks_.usage_log(), source, *customers_,
      FirstWindow(*unix_ms), *unix_ms);
  if (!decision)
    return;
  wire::FleetCommand command;
  wire::CloseUsageWindowCommand& close = *command.mutable_close_usage_window();
  *close.mutable_window() = duties::ToWire(decision->window);
  for (const auto number : scheduler_.FinishedWindows(hooks_.usage_log()))
    close.add_finished_windows(number);
  LogLine("duties.window_closed")
      .Add("window", decision->window.number)
      .Add("reason", decision->reason)
      .Add("customers", std::uint64_t{decision->window.counts.size()})
      .Add("late_ms",
           static_cast<std::int64_t>(*unix_ms - options_.scheduler.timing.EndOf(
                                                    decision->window.number)))
      .Info();
  metrics_.Add("endivecart_usage_windows_closed_total",
               "reason=\"" + std::string(decision->reason) + "\"");
  is_proposing_ = true;
  // The window is returned again if this proposal is lost.
  hooks_.propose(command, [this, alive = std::weak_ptr<bool>(alive_)](
                              fleet::ProposalResult) {
    if (alive.expired())
      return;
    is_proposing_ = false;
    SendNext();
  });
}

void DutyController::SendNext() {
  // The leadership is checked right before each call: this process may have
  // been suspended since the last check.
  if (call_ || is_connecting_ || !UpdateLeadership())
    return;
  // A request waits for no connection: by then the leadership may be lost.
  if (client_.IdleConnectionsTo(options_.api.address) == 0) {
    Connect();
    return;
  }
  static const duties::UsageLog kNoWindows;
  const bool has_usage = options_.api.duties.contains(settings::Duty::kUsage);
  const bool has_scale = options_.api.duties.contains(settings::Duty::kScale) &&
                         hooks_.scale_targets;
  const auto call =
      scheduler_.NextCall(has_usage ? hooks_.usage_log() : kNoWindows,
                          has_scale ? hooks_.scale_targets(loop_.Now())
                                    : std::vector<duties::ScaleTarget>(),
                          UnixMs(), loop_.Now());
  if (call)
    Send(*call);
}

void DutyController::Connect() {
  if (loop_.Now() < connect_not_before_)
    return;
  is_connecting_ = true;
  client_.Preconnect(
      options_.api.address, kCallTimeout,
      [this, alive = std::weak_ptr<bool>(alive_)](bool is_connected) {
        if (alive.expired())
          return;
        is_connecting_ = false;
        if (std::exchange(was_connected_, is_connected) != is_connected) {
          LogLine("duties.connection")
              .Add("address", options_.api.address.ToString())
              .Add("connected", is_connected ? "yes" : "no")
              .Info();
        }
        connect_not_before_ = loop_.Now() + kReconnectDelay;
        if (is_connected)
          SendNext();
      });
}

void DutyController::Send(const DutyCall& call) {
  const TimePoint now = loop_.Now();
  auto http = client_.Start(
      options_.api.address,
      hooks_.encode_call(call, options_.holder, options_.api.address),
      net::CallOptions(),
      {[this](const net::HttpResponseHead& head) {
         call_->status = head.status;
       },
       [](std::string_view) {},  // the body of an answer says nothing
       [this](net::CallResult result) {
         EndCall(result == net::CallResult::kComplete);
       }});
  if (http->opened_connection()) {
    // The idle connection was closed by the platform.
    http.reset();
    Finish(call, DutyOutcome::kNotSent, 0, now);
    return;
  }
  call_ = {call, now, 0, std::move(http),
           loop_.After(kCallTimeout, [this](TimePoint) { EndCall(false); })};
}

void DutyController::EndCall(bool is_complete) {
  if (!call_)
    return;
  // Destroying the handle of an incomplete call resets the connection.
  CallInProgress ended = std::move(*call_);
  call_.reset();
  const bool was_sent = ended.http->may_have_been_sent();
  ended.http.reset();
  DutyOutcome outcome = DutyOutcome::kNoAnswer;
  if (is_complete) {
    outcome = hooks_.decode_result(ended.status);
  } else if (!was_sent) {
    outcome = DutyOutcome::kNotSent;
  }
  Finish(ended.call, outcome, is_complete ? ended.status : 0, ended.sent_at);
  if (is_complete)
    SendNext();
}

void DutyController::Finish(const DutyCall& call,
                            DutyOutcome outcome,
                            int status,
                            TimePoint sent_at) {
  scheduler_.OnResult(call, outcome, loop_.Now());
  LogLine line("duties.call");
  line.Add("duty", DutyNameOf(call));
  if (const auto* window = std::get_if<duties::UsageWindow>(&call.content)) {
    line.Add("window", window->number);
  } else {
    const auto& target = std::get<duties::ScaleTarget>(call.content);
    line.Add("service", target.service.str())
        .Add("domain", target.domain.str())
        .Add("servers", target.servers);
  }
  line.Add("fencing_number", call.fencing_number)
      .Add("outcome", duties::DutyOutcomeName(outcome))
      .Add("status", status)
      .Add("ms", MillisBetween(sent_at, loop_.Now()))
      .Info();
  metrics_.Add("endivecart_duty_calls_total",
               "duty=\"" + std::string(DutyNameOf(call)) + "\",outcome=\"" +
                   std::string(duties::DutyOutcomeName(outcome)) + "\"");
}

}  // namespace endivecart::node
