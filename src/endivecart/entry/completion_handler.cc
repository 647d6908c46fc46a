#include "endivecart/entry/completion_handler.h"

#include <algorithm>
#include <set>
#include <utility>

namespace endivecart::entry {

namespace {

constexpr int kMaxAttempts = 5;
constexpr Millis kNoRetryAfter{0};

std::string ClassLabel(const CallerContext& caller) {
  return MetricLabel("class", caller.request_class.name);
}

CallerError ErrorFor(const PlacementError& error) {
  const std::string code(PlacementErrorName(error.code));
  switch (error.code) {
    case PlacementErrorCode::kUnknownModel:
      return {404, code, "there is no such model", RunState::kNotRun,
              kNoRetryAfter};
    case PlacementErrorCode::kRateLimited:
      return {429, code, "the plan's request rate is exceeded",
              RunState::kNotRun, error.retry_after};
    case PlacementErrorCode::kQueueFull:
      return {429, code, "the customer's queue on this host is full",
              RunState::kNotRun, error.retry_after};
    case PlacementErrorCode::kDeadline:
      return {503, code, "the deadline cannot be met", RunState::kNotRun,
              error.retry_after};
    case PlacementErrorCode::kUnavailable:
      return {503, code, "no upstream is available", RunState::kNotRun,
              error.retry_after};
    case PlacementErrorCode::kStopping:
      return {503, code, "this host is stopping", RunState::kNotRun,
              error.retry_after};
  }
  return {500, "internal", "unexpected placement error", RunState::kNotRun,
          kNoRetryAfter};
}

}  // namespace

// State of one request over all its attempts.
struct CompletionHandler::Progress {
  int attempts = 0;
  bool bytes_sent = false;  // an upstream may have received a byte
  // Upstreams that failed before the first token. One that cut a stream is not
  // among them, because it may be able to resume it.
  std::set<UpstreamId> failed_upstreams;
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
  PlacementRequest placement_request;
  placement_request.id = caller.id;
  placement_request.customer = caller.customer;
  placement_request.class_name = caller.request_class.name;
  placement_request.model = request.model;
  placement_request.priority = caller.request_class.priority;
  placement_request.deadline = caller.arrived + caller.request_class.deadline;
  placement_request.prompt = &request.prompt;
  const auto placement = dispatcher_.Admit(placement_request);
  if (!placement) {
    Refuse(caller, placement.error(), false, writer);
    return;
  }
  RunAttempts(caller, request, placement_request, *placement, writer);
  dispatcher_.Release(caller.customer);
}

void CompletionHandler::RunAttempts(const CallerContext& caller,
                                    const InferenceRequest& request,
                                    PlacementRequest& placement_request,
                                    Placement placement,
                                    AnswerWriter& writer) {
  Progress progress;
  while (true) {
    const AttemptResult result =
        RunOne(caller, request, placement, writer, progress);
    if (result.outcome == AttemptOutcome::kComplete) {
      writer.Finish(result.finish_reason,
                    {placement.pieces.tokens, writer.tokens(),
                     result.report.cached_tokens},
                    placement.version);
      hooks_.on_answered(placement, result.report);
      return;
    }
    if (result.outcome == AttemptOutcome::kCallerGone)
      return;
    // A started stream must be continued by the same weight version.
    if (writer.tokens() > 0)
      placement_request.pinned_version = placement.version;
    if (!MayRetry(caller, result, progress)) {
      ReportFailure(caller, result, progress, writer);
      return;
    }
    placement_request.excluded.assign(progress.failed_upstreams.begin(),
                                      progress.failed_upstreams.end());
    const auto next = dispatcher_.PlaceRetry(placement_request);
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
  progress.bytes_sent |= result.outcome != AttemptOutcome::kNotSent;
  progress.last_report = result.report;
  if (result.report.failed && result.report.tokens == 0)
    progress.failed_upstreams.insert(placement.upstream);
  dispatcher_.Finish(placement, caller.request_class.name, result.report);
  metrics_.Add(
      "endivecart_attempts_total",
      "end=\"" + std::string(AttemptOutcomeName(result.outcome)) + "\"");
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
      .Add("end", AttemptOutcomeName(result.outcome))
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
  // Retries of attempts that were never sent do not count against the budget,
  // because they put no load on the upstreams.
  return result.outcome == AttemptOutcome::kNotSent ||
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

void CompletionHandler::ReportFailure(const CallerContext& caller,
                                      const AttemptResult& result,
                                      const Progress& progress,
                                      AnswerWriter& writer) {
  CallerError error{502, "upstream_failed",
                    "no upstream returned a complete response in time",
                    RunState::kUnknown, kNoRetryAfter};
  if (!progress.bytes_sent) {
    error.run = RunState::kNotRun;
    error.code = "upstream_unreachable";
  }
  CheckInvariant(error.run != RunState::kNotRun || writer.tokens() == 0,
                 Invariant::kNotRunIsTrue, caller.id.str());
  metrics_.Add(
      "endivecart_failures_total",
      "end=\"" + std::string(AttemptOutcomeName(result.outcome)) + "\"");
  LogLine("entry.failed")
      .Add("request", caller.id.str())
      .Add("customer", caller.customer.str())
      .Add("end", AttemptOutcomeName(result.outcome))
      .Add("attempts", progress.attempts)
      .Warn();
  writer.Fail(error);
}

}  // namespace endivecart::entry
