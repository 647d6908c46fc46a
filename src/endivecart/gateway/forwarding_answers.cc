// Handling of upstreams' answers.

#include <algorithm>
#include <utility>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

namespace {

// An answer that is no stream is buffered until it is complete, so that the
// request can be retried if it breaks off. A larger answer is rejected.
constexpr std::size_t kMaxAnswerBytes = 4UL << 20;
// Maximum size of one event of a stream.
constexpr std::size_t kMaxEventBytes = 1UL << 20;
// With more unsent bytes, reading from the upstream pauses until the caller has
// received them.
constexpr std::size_t kMaxUnsentBytes = 256UL << 10;
// Status of an upstream that has no room.
constexpr int kNoRoom = 503;
constexpr char kContentType[] = "Content-Type";

}  // namespace

void Forwarding::OnHead(const net::HttpResponseHead& head) {
  RecordData();
  const AnswerMetadata metadata = gateway_.dialect_.read_answer(head);
  if (metadata.request_id != request_.id) {
    OnBadAnswer("answers_another_request");
    return;
  }
  head_ = head;
  head_received_ = true;
  if (relay_) {
    RecordRelayedLeaving(head);
  } else {
    RecordMetadata(metadata);
  }
  const bool success = head.status >= 200 && head.status < 300;
  if (success && (!metadata.is_signed || metadata.has_unrequested_encoding)) {
    OnBadAnswer("unsigned_or_coded");
    return;
  }
  if (success && started_ && !ContinuesAnswer(head)) {
    OnBadAnswer("continues_no_stream");
    return;
  }
  forwards_events_ = success && IsStream();
}

bool Forwarding::ContinuesAnswer(const net::HttpResponseHead& head) const {
  return head.status == answer_head_.status &&
         head.fields.Find(kContentType) ==
             answer_head_.fields.Find(kContentType);
}

net::HttpResponseHead Forwarding::HeadForCaller() const {
  net::HttpFields fields = gateway_.dialect_.fields_for_caller(head_.fields);
  // Only hosts may say so to each other.
  fields.Remove(kRelayNotRunField);
  fields.Remove(kRelayLeavingField);
  if (ticket_from_relay_ && leaving_)
    fields.Add(kRelayLeavingField, ToText(*leaving_));
  return {head_.status, fields};
}

// The caller gets the upstream's answer from this host, too.
void Forwarding::RecordRelayedLeaving(const net::HttpResponseHead& head) {
  const auto text = head.fields.Find(kRelayLeavingField);
  if (const auto run = text ? ParseUpstreamRun(*text) : std::nullopt)
    gateway_.OnLeaving(*run, sent_at_);
}

void Forwarding::RecordMetadata(const AnswerMetadata& metadata) {
  if (call_->opened_connection())
    gateway_.reach_.OnConnected(service_.str(), sent_at_);
  gateway_.part_monitor_.OnAlive(gateway_.upstreams_.RunOf(upstream_),
                                 sent_at_);
  if (metadata.weights_version && request_.prompt) {
    gateway_.upstreams_.RecordWeights(upstream_, request_.prompt->model,
                                      *metadata.weights_version);
  }
  if (metadata.is_leaving) {
    leaving_ = {upstream_, upstream_started_ms_};
    gateway_.OnLeaving(*leaving_, sent_at_);
  }
  if (metadata.server_load)
    gateway_.upstreams_.RecordServerLoad(upstream_, *metadata.server_load);
  if (metadata.has_bad_server_load)
    gateway_.CountBadServerLoad(upstream_);
  gateway_.OnRequestLimit(upstream_, metadata, sent_at_);
  gateway_.OnNamedWait(upstream_, metadata);
}

void Forwarding::OnBody(std::string_view bytes) {
  if (!head_received_ || !call_)
    return;
  RecordData();
  if (!forwards_events_) {
    if (body_.size() + bytes.size() > kMaxAnswerBytes) {
      OnBadAnswer("too_large");
      return;
    }
    // A string that grows may double its memory.
    const std::size_t size = body_.size() + bytes.size();
    if (!exchange_->TryHold(size > body_.capacity() ? 2 * size
                                                    : body_.capacity())) {
      // Not the upstream's fault.
      EndSend(SendResult::kAbandoned);
      GiveUp("no_room_for_answer");
      return;
    }
    body_ += bytes;
    return;
  }
  splitter_.Add(bytes);
  OnEvents();
}

void Forwarding::OnEvents() {
  std::size_t events = 0;
  while (call_) {
    const auto event = splitter_.Next();
    if (!event)
      break;
    if (event->id && last_event_id_ && *event->id != *last_event_id_ + 1) {
      OnBadAnswer("event_out_of_order");
      return;
    }
    if (!event->id && last_event_id_ && !IsComment(*event)) {
      OnBadAnswer("event_without_id");
      return;
    }
    ForwardEvent(*event);
    events += IsComment(*event) ? 0 : 1;
  }
  if (call_ && events > 0)
    RecordStepTime(events);
  if (call_ && splitter_.pending_bytes() > kMaxEventBytes) {
    OnBadAnswer("event_too_large");
    return;
  }
  if (call_ && exchange_->unsent_bytes() > kMaxUnsentBytes) {
    call_->SetPaused(true);
    last_step_at_.reset();
  }
}

void Forwarding::ForwardEvent(const StreamEvent& event) {
  last_event_at_ = gateway_.loop_.Now();
  if (!first_event_of_send_at_) {
    first_event_of_send_at_ = last_event_at_;
    CountUsage(last_event_at_);
    if (!relay_)
      gateway_.upstreams_.RecordAnswer(upstream_);
    RecordFirstEventTime();
  }
  ++events_of_send_;
  RecordSpeedOfRun();
  if (events_of_send_ == 1)
    LearnFromFirstEvent();
  if (pending_prefill_tokens_ > 0) {
    gateway_.upstreams_.FinishPrefill(upstream_, pending_prefill_tokens_);
    gateway_.prefill_rates_.Add(service_, pending_prefill_tokens_,
                                MillisBetween(sent_at_, gateway_.loop_.Now()),
                                requests_there_);
    pending_prefill_tokens_ = 0;
  }
  if (!started_) {
    started_ = true;
    first_event_at_ = gateway_.loop_.Now();
    answer_head_ = head_;
    exchange_->StartResponse(HeadForCaller());
  }
  if (event.id) {
    // The ids must be consecutive, so they give the expected number of events.
    numbered_events_ += last_event_id_ ? *event.id - *last_event_id_ : 1;
    last_event_id_ = event.id;
  } else {
    ++numbered_events_;
  }
  ++events_;
  exchange_->Write(event.text);
}

void Forwarding::OnEnd(net::CallResult end) {
  const bool opened_connection = call_->opened_connection();
  on_used_connection_ = !opened_connection;
  const SendEffect effect = EndCall(end);
  if (relay_) {
    OnRelayEnd(end, effect);
    return;
  }
  if (effect == SendEffect::kNotReached) {
    if (end == net::CallResult::kNotSent && opened_connection)
      gateway_.reach_.OnUnreachable(service_.str(), gateway_.loop_.Now());
    EndSend(SendResult::kUnreachable);
    RetryOrGiveUp(kReasonUnreachable, effect);
  } else if (end == net::CallResult::kComplete) {
    OnAnswerEnd(effect);
  } else {
    if (end == net::CallResult::kBroken)
      RecordBrokenRun();
    OnFailedRun(SendResult::kBroken, net::CallResultName(end).data());
  }
}

void Forwarding::OnAnswerEnd(SendEffect effect) {
  if (!head_received_) {
    RecordBrokenRun();
    OnFailedRun(SendResult::kBroken, "no_head");
  } else if (forwards_events_ && splitter_.HasPartial()) {
    RecordBrokenRun();
    OnFailedRun(SendResult::kBroken, "event_cut");
  } else if (forwards_events_) {
    if (!started_)
      exchange_->StartResponse(HeadForCaller());
    if (events_ > 0)
      RecordAnswered();
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
    OnCompleteAnswer(effect);
  }
}

// The connection to an upstream that has failed may otherwise stay open until
// the time limit.
void Forwarding::FailOverFromSilentUpstream() {
  if (!call_ || !call_->may_have_been_sent() ||
      !gateway_.upstreams_.IsSilent(upstream_) || !MayRepeat() ||
      runs_ + 1 >= route_.max_attempts ||
      !gateway_.retry_limiter_.Allows(service_, gateway_.loop_.Now())) {
    return;
  }
  call_.reset();
  OnFailedRun(SendResult::kSilent, "silent");
}

void Forwarding::OnCompleteAnswer(SendEffect effect) {
  if (effect == SendEffect::kRefused) {
    OnNotRun(head_);
    return;
  }
  const bool server_error = head_.status >= 500;
  if (GuaranteesNotRun(head_.status)) {
    // The status means "not run", but the upstream does not state that, so it
    // must not be forwarded.
    OnFailedRun(SendResult::kFailed, "unproven_refusal");
    return;
  }
  ++runs_;
  if (!IsStream())
    CountUsage(sent_at_);
  // A relay has retried already.
  if (server_error && head_.status != 504 && !relay_ &&
      MayRetry(SendEffect::kMayHaveRun)) {
    EndSend(SendResult::kFailed);
    Send();
    return;
  }
  if (!server_error) {
    RecordAnswered();
    RecordAnswerTime();
  }
  EndSend(server_error ? SendResult::kFailed : SendResult::kAnswered);
  if (started_) {
    exchange_->Abort();
    Finish(head_.status, "resume_failed");
    return;
  }
  exchange_->Respond({HeadForCaller(), body_});
  Finish(head_.status, "answered");
}

void Forwarding::OnNotRun(const net::HttpResponseHead& head) {
  LogLine("gateway.not_run")
      .Add("request", request_.id.str())
      .Add("upstream", upstream_.str())
      .Add("status", head.status)
      .Add("connection", connection_)
      .Add("ms", MillisBetween(sent_at_, gateway_.loop_.Now()))
      .Info();
  if (head.status == kNoRoom) {
    gateway_.limits_.OnRefused(gateway_.upstreams_.RunOf(upstream_),
                               gateway_.loop_.Now());
  }
  EndSend(SendResult::kRefused);
  RetryOrGiveUp("refused", SendEffect::kRefused);
}

void Forwarding::OnBadAnswer(const char* reason) {
  call_.reset();
  OnFailedRun(SendResult::kBroken, reason);
}

void Forwarding::OnFailedRun(SendResult result, const char* reason) {
  EndFailedRun(result, reason);
  if (MayRetry(SendEffect::kMayHaveRun)) {
    Send();
  } else {
    GiveUp(reason);
  }
}

void Forwarding::EndFailedRun(SendResult result, const char* reason) {
  effect_ = SendEffect::kMayHaveRun;  // whatever a broken answer states
  ++runs_;
  LogLine line("gateway.broken");
  line.Add("request", request_.id.str())
      .Add(relay_ ? "host" : "upstream",
           relay_ ? relay_->str() : upstream_.str())
      .Add("reason", reason)
      .Add("connection", connection_)
      .Add("events", std::uint64_t{events_})
      .Add("ms", MillisBetween(sent_at_, gateway_.loop_.Now()))
      .Add("alike", request_keys_.front());
  if (request_.prompt)
    line.Add("shared_parts", SharedPartsText(*request_.prompt));
  line.Warn();
  EndSend(result);
}

}  // namespace endivecart::gateway
