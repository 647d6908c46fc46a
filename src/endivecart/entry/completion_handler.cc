#include "endivecart/entry/completion_handler.h"

#include <algorithm>
#include <set>
#include <utility>

namespace endivecart::entry {

namespace {

constexpr int kMaxAttempts = 5;
constexpr Millis kNoAdvice{0};

std::string ClassLabel(const CallerContext& caller) {
  return "class=\"" + caller.request_class.name + "\"";
}

CallerError ErrorFor(const PlacementError& error) {
  const std::string code(PlacementErrorName(error.code));
  switch (error.code) {
    case PlacementErrorCode::kUnknownModel:
      return {404, code, "there is no such model", RunState::kNotRun,
              kNoAdvice};
    case PlacementErrorCode::kRateLimited:
      return {429, code, "the plan's rate is used up", RunState::kNotRun,
              error.retry_after};
    case PlacementErrorCode::kQueueFull:
      return {429, code, "too many of this customer's requests wait",
              RunState::kNotRun, error.retry_after};
    case PlacementErrorCode::kDeadline:
      return {503, code, "the deadline can't be met", RunState::kNotRun,
              error.retry_after};
    case PlacementErrorCode::kUnavailable:
      return {503, code, "no upstream may take the request", RunState::kNotRun,
              error.retry_after};
    case PlacementErrorCode::kStopping:
      return {503, code, "this host is stopping", RunState::kNotRun,
              error.retry_after};
  }
  return {500, "internal", "unexpected placement error", RunState::kNotRun,
          kNoAdvice};
}

}  // namespace

// What has happened to one request so far.
struct CompletionHandler::Progress {
  int attempts = 0;
  bool bytes_sent = false;  // some upstream may have got a byte
  // Upstreams that failed without giving a token. One that cut a stream may
  // be asked to resume it.
  std::set<UpstreamId> useless;
  AttemptReport last_report;
};

CompletionHandler::CompletionHandler(Dispatcher& dispatcher,
                                     http::ClientPool& pool,
                                     MetricsRegistry& metrics,
                                     Hooks hooks)
    : dispatcher_(dispatcher),
      pool_(pool),
      metrics_(metrics),
      hooks_(std::move(hooks)) {}

void CompletionHandler::Handle(const CallerContext& caller,
                               const InferenceRequest& request,
                               http::ServerResponse& response) {
  AnswerWriter writer(request, caller.id, response);
  PlacementRequest wanted;
  wanted.id = caller.id;
  wanted.customer = caller.customer;
  wanted.class_name = caller.request_class.name;
  wanted.model = request.model;
  wanted.priority = caller.request_class.priority;
  wanted.deadline = caller.arrived + caller.request_class.deadline;
  wanted.prompt = &request.prompt;
  const auto placement = dispatcher_.Admit(wanted);
  if (!placement) {
    Refuse(caller, placement.error(), false, writer);
    return;
  }
  RunAttempts(caller, request, wanted, *placement, writer);
  dispatcher_.Release(caller.customer);
}

void CompletionHandler::RunAttempts(const CallerContext& caller,
                                    const InferenceRequest& request,
                                    PlacementRequest& wanted,
                                    Placement placement,
                                    AnswerWriter& writer) {
  Progress progress;
  while (true) {
    const AttemptResult result =
        RunOne(caller, request, placement, writer, progress);
    if (result.end == AttemptEnd::kComplete) {
      writer.Finish(result.finish_reason,
                    {placement.pieces.tokens, writer.tokens(),
                     result.report.cached_tokens},
                    placement.version);
      hooks_.on_answered(placement, result.report);
      return;
    }
    if (result.end == AttemptEnd::kCallerGone)
      return;
    // A stream that has begun stays on its weight version.
    if (writer.tokens() > 0)
      wanted.pinned_version = placement.version;
    if (!MayRetry(caller, result, progress)) {
      GiveUp(caller, result, progress, writer);
      return;
    }
    wanted.excluded.assign(progress.useless.begin(), progress.useless.end());
    const auto next = dispatcher_.PlaceAgain(wanted);
    if (!next) {
      Refuse(caller, next.error(), progress.bytes_sent, writer);
      return;
    }
    placement = *next;
  }
}

AttemptResult CompletionHandler::RunOne(const CallerContext& caller,
                                        const InferenceRequest& request,
                                        Placement& placement,
                                        AnswerWriter& writer,
                                        Progress& progress) {
  if (!placement.stored.pieces.empty() && !hooks_.lease_pieces(placement)) {
    placement.stored = {};
    if (placement.source == routing::SourceKind::kStore)
      placement.source = routing::SourceKind::kRecompute;
  }
  AttemptInput input;
  input.request = &request;
  input.placement = &placement;
  input.attempt_id = caller.id.str() + "-" + std::to_string(placement.number);
  input.resume_from = writer.tokens();
  input.priority = caller.request_class.priority;
  input.deadline = caller.arrived + caller.request_class.deadline;
  const TimePoint started = hooks_.now();
  ++progress.attempts;
  AttemptResult result = RunAttempt(
      input, hooks_.now, pool_,
      [&](double ms) {
        dispatcher_.OnFirstToken(placement, ms);
        if (input.resume_from == 0) {
          metrics_.Observe("endivecart_first_token_ms", ClassLabel(caller),
                           MillisBetween(caller.arrived, hooks_.now()));
        }
      },
      [&](std::string_view text) { return writer.OnToken(text); });
  progress.bytes_sent |= result.end != AttemptEnd::kNotSent;
  progress.last_report = result.report;
  if (result.report.failed && result.report.tokens == 0)
    progress.useless.insert(placement.upstream);
  dispatcher_.Finish(placement, caller.request_class.name, result.report);
  metrics_.Add("endivecart_attempts_total",
               "end=\"" + std::string(AttemptEndName(result.end)) + "\"");
  metrics_.Add("endivecart_prompt_tokens_total", "",
               static_cast<std::uint64_t>(placement.pieces.tokens));
  metrics_.Add("endivecart_cached_tokens_total", "",
               static_cast<std::uint64_t>(result.report.cached_tokens));
  metrics_.Add("endivecart_imported_bytes_total", "",
               result.report.imported_tokens > 0
                   ? static_cast<std::uint64_t>(placement.stored.bytes)
                   : 0);
  LogLine("entry.attempt")
      .Add("request", caller.id.str())
      .Add("attempt", static_cast<std::int64_t>(placement.number))
      .Add("upstream", placement.upstream.str())
      .Add("end", AttemptEndName(result.end))
      .Add("detail", result.detail)
      .Add("first_token_ms", result.report.first_token_ms)
      .Add("predicted_ms", placement.predicted_ms)
      .Add("tokens", result.report.tokens)
      .Add("cached_tokens", result.report.cached_tokens)
      .Add("total_ms", MillisBetween(started, hooks_.now()))
      .Info();
  return result;
}

bool CompletionHandler::MayRetry(const CallerContext& caller,
                                 const AttemptResult& result,
                                 Progress& progress) const {
  if (progress.attempts >= kMaxAttempts ||
      hooks_.now() >= caller.arrived + caller.request_class.deadline) {
    return false;
  }
  // What was never sent costs the upstreams nothing to send again.
  return result.end == AttemptEnd::kNotSent ||
         dispatcher_.TryTakeRetry(caller.customer);
}

void CompletionHandler::Refuse(const CallerContext& caller,
                               const PlacementError& error,
                               bool bytes_sent,
                               AnswerWriter& writer) {
  CallerError caller_error = ErrorFor(error);
  if (bytes_sent)
    caller_error.run = RunState::kUnknown;
  CheckInvariant(caller_error.run != RunState::kNotRun || !bytes_sent,
                 Invariant::kNotRunIsTrue, caller.id.str());
  metrics_.Add("endivecart_refusals_total",
               "reason=\"" + caller_error.code + "\"");
  LogLine("entry.refused")
      .Add("request", caller.id.str())
      .Add("customer", caller.customer.str())
      .Add("reason", caller_error.code)
      .Add("run", RunStateName(caller_error.run))
      .Info();
  writer.Fail(caller_error);
}

void CompletionHandler::GiveUp(const CallerContext& caller,
                               const AttemptResult& result,
                               const Progress& progress,
                               AnswerWriter& writer) {
  CallerError error{502, "upstream_failed",
                    "no upstream gave a whole answer in time",
                    RunState::kUnknown, kNoAdvice};
  if (!progress.bytes_sent) {
    error.run = RunState::kNotRun;
    error.code = "upstream_unreachable";
  }
  CheckInvariant(error.run != RunState::kNotRun || writer.tokens() == 0,
                 Invariant::kNotRunIsTrue, caller.id.str());
  metrics_.Add("endivecart_failures_total",
               "end=\"" + std::string(AttemptEndName(result.end)) + "\"");
  LogLine("entry.failed")
      .Add("request", caller.id.str())
      .Add("customer", caller.customer.str())
      .Add("end", AttemptEndName(result.end))
      .Add("attempts", progress.attempts)
      .Warn();
  writer.Fail(error);
}

}  // namespace endivecart::entry
