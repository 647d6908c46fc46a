// What upstreams answer, and what of it callers get.

#include <algorithm>
#include <utility>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

namespace {

// A whole answer is held until it is complete, so that a broken one can be
// asked for again; one that is larger is refused.
constexpr std::size_t kMaxAnswerBytes = 4UL << 20;
// An event of a stream is never larger.
constexpr std::size_t kMaxEventBytes = 1UL << 20;
// Beyond this a stream is read on only as fast as the caller takes it.
constexpr std::size_t kMaxUnsentBytes = 256UL << 10;

}  // namespace

void Forwarding::OnHead(const net::HttpResponseHead& head) {
  gateway_.book_.NoteBytes(upstream_);
  const AnswerFacts facts = gateway_.dialect_.read_answer(head);
  if (facts.request_id != request_.id) {
    OnBadAnswer("answers_another_request");
    return;
  }
  head_ = head;
  head_seen_ = true;
  if (facts.weights_version && request_.prompt) {
    gateway_.book_.NoteWeights(upstream_, request_.prompt->model,
                               *facts.weights_version);
  }
  const bool success = head.status >= 200 && head.status < 300;
  if (success && (!facts.is_signed || facts.has_unasked_coding)) {
    OnBadAnswer("unsigned_or_coded");
    return;
  }
  passes_on_ = success && IsStream();
}

void Forwarding::OnBody(std::string_view bytes) {
  if (!head_seen_ || !call_)
    return;
  gateway_.book_.NoteBytes(upstream_);
  if (!passes_on_) {
    if (body_.size() + bytes.size() > kMaxAnswerBytes) {
      OnBadAnswer("too_large");
      return;
    }
    body_ += bytes;
    return;
  }
  splitter_.Add(bytes);
  OnEvents();
}

void Forwarding::OnEvents() {
  while (call_) {
    const auto event = splitter_.Next();
    if (!event)
      break;
    if (event->id && last_event_id_ && *event->id != *last_event_id_ + 1) {
      OnBadAnswer("event_out_of_order");
      return;
    }
    PassOnEvent(*event);
  }
  if (call_ && splitter_.pending_bytes() > kMaxEventBytes) {
    OnBadAnswer("event_too_large");
    return;
  }
  if (call_ && exchange_->unsent_bytes() > kMaxUnsentBytes)
    call_->SetPaused(true);
}

void Forwarding::PassOnEvent(const StreamEvent& event) {
  if (unread_tokens_ > 0) {
    gateway_.book_.PromptRead(upstream_, unread_tokens_);
    gateway_.speeds_.Add(service_, unread_tokens_,
                         MillisBetween(sent_at_, gateway_.loop_.Now()),
                         requests_there_);
    unread_tokens_ = 0;
  }
  if (!started_) {
    started_ = true;
    first_event_at_ = gateway_.loop_.Now();
    exchange_->StartResponse(
        {head_.status, gateway_.dialect_.fields_for_caller(head_.fields)});
  }
  if (event.id) {
    // Counted from the first: every number once, none left out.
    numbered_events_ += last_event_id_ ? *event.id - *last_event_id_ : 1;
    last_event_id_ = event.id;
  } else {
    ++numbered_events_;
  }
  ++events_;
  exchange_->Write(event.text);
}

void Forwarding::OnEnd(net::CallResult end) {
  const bool sent = call_->may_have_been_sent();
  call_.reset();
  switch (end) {
    case net::CallResult::kNotSent:
      EndSend(SendResult::kUnreachable);
      SendAgainOrGiveUp("unreachable");
      return;
    case net::CallResult::kBroken:
    case net::CallResult::kMalformedResponse:
      if (!sent) {
        EndSend(SendResult::kUnreachable);
        SendAgainOrGiveUp("unreachable");
        return;
      }
      OnBrokenRun(SendResult::kBroken, net::CallResultName(end).data());
      return;
    case net::CallResult::kComplete:
      break;
  }
  if (!head_seen_) {
    OnBrokenRun(SendResult::kBroken, "no_head");
  } else if (passes_on_ && splitter_.HasPartial()) {
    OnBrokenRun(SendResult::kBroken, "event_cut");
  } else if (passes_on_) {
    if (!started_) {
      exchange_->StartResponse(
          {head_.status, gateway_.dialect_.fields_for_caller(head_.fields)});
    }
    EndSend(SendResult::kAnswered);
    if (!CheckInvariant(!splitter_.HasPartial() && events_ == numbered_events_,
                        Invariant::kAnswerComplete, request_.id.str())) {
      exchange_->Abort();
      Finish(0, "promise");
      return;
    }
    exchange_->FinishResponse();
    Finish(head_.status, "answered");
  } else {
    OnWholeAnswer();
  }
}

// The connection to an upstream that has died, or is cut off, may stay open
// until the time limit.
void Forwarding::LeaveSilentUpstream() {
  if (!call_ || !call_->may_have_been_sent() ||
      !gateway_.book_.IsSilent(upstream_) || !MayRepeat() ||
      runs_ + 1 >= route_.max_attempts ||
      !gateway_.retries_.Allows(service_, gateway_.loop_.Now())) {
    return;
  }
  call_.reset();
  OnBrokenRun(SendResult::kSilent, "silent");
}

void Forwarding::OnWholeAnswer() {
  if (gateway_.dialect_.read_answer(head_).not_run) {
    OnNotRun(head_);
    return;
  }
  run_state_ = RunState::kMayHaveRun;
  const bool server_error = head_.status >= 500;
  if (PromisesNotRun(head_.status)) {
    // The upstream doesn't say so: the promise would not be true.
    OnBrokenRun(SendResult::kFailed, "unproven_refusal");
    return;
  }
  ++runs_;
  if (server_error && head_.status != 504 && MaySendAgain(true)) {
    EndSend(SendResult::kFailed);
    Send();
    return;
  }
  EndSend(server_error ? SendResult::kFailed : SendResult::kAnswered);
  if (started_) {
    exchange_->Abort();
    Finish(head_.status, "resume_failed");
    return;
  }
  exchange_->Respond(
      {{head_.status, gateway_.dialect_.fields_for_caller(head_.fields)},
       body_});
  Finish(head_.status, "answered");
}

void Forwarding::OnNotRun(const net::HttpResponseHead& head) {
  LogLine("gateway.not_run")
      .Add("request", request_.id.str())
      .Add("upstream", upstream_.str())
      .Add("status", head.status)
      .Info();
  EndSend(SendResult::kRefused);
  SendAgainOrGiveUp("refused");
}

void Forwarding::OnBadAnswer(const char* reason) {
  call_.reset();
  OnBrokenRun(SendResult::kBroken, reason);
}

void Forwarding::OnBrokenRun(SendResult result, const char* reason) {
  run_state_ = RunState::kMayHaveRun;
  ++runs_;
  LogLine("gateway.broken")
      .Add("request", request_.id.str())
      .Add("upstream", upstream_.str())
      .Add("reason", reason)
      .Add("events", std::uint64_t{events_})
      .Warn();
  EndSend(result);
  if (MaySendAgain(true)) {
    Send();
  } else {
    GiveUp(reason);
  }
}

}  // namespace endivecart::gateway
