#include "endivecart/net/response_reader.h"

#include <boost/beast/http/error.hpp>

namespace endivecart::net {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

void ResponseReader::Begin(CallSink* sink,
                           bool is_head,
                           const CallIdentity& identity) {
  CheckInvariant(history_.MayCarry(identity.request_id),
                 Invariant::kNotRunIsTrue, identity.request_id);
  history_.Begin(identity.request_id);
  skips_unknown_ = identity.skips_unknown;
  sink_ = sink;
  is_head_ = is_head;
  state_ = State::kReading;
  extra_responses_ = 0;
  extra_bytes_ = 0;
  BeginResponse();
}

void ResponseReader::BeginResponse() {
  is_extra_ = false;
  parser_ = std::make_unique<ResponseParser>(
      is_head_, max_header_bytes_,
      [this](const HttpResponseHead& head) { OnHead(head); },
      [this](std::string_view bytes) { OnBody(bytes); });
}

void ResponseReader::OnHead(const HttpResponseHead& head) {
  const bool is_interim = head.status < 200;
  if (sink_ == nullptr || is_interim)
    return;
  const std::string id = sink_->ResponseId(head);
  is_extra_ = IsExtra(id);
  if (!is_extra_) {
    sink_->OnHead(head);
    return;
  }
  ++extra_responses_;
  LogLine("http.extra_response")
      .Add("address", address_)
      .Add("request", id)
      .Add("status", head.status)
      .Warn();
}

bool ResponseReader::IsExtra(const std::string& response_id) const {
  const ResponseOwner owner = history_.OwnerOf(response_id);
  return owner == ResponseOwner::kEarlier ||
         (owner == ResponseOwner::kUnknown && skips_unknown_ &&
          !response_id.empty());
}

void ResponseReader::OnBody(std::string_view bytes) {
  if (sink_ == nullptr || bytes.empty())
    return;
  if (is_extra_) {
    extra_bytes_ += bytes.size();
  } else {
    sink_->OnBody(bytes);
  }
}

bool ResponseReader::HasTooManyExtras() const {
  return extra_responses_ > kMaxExtraResponses || extra_bytes_ > kMaxExtraBytes;
}

void ResponseReader::Read(boost::beast::flat_buffer& buffer) {
  while (sink_ != nullptr && state_ == State::kReading && buffer.size() > 0) {
    ErrorCode error;
    const std::size_t used = parser_->put(buffer.data(), error);
    buffer.consume(used);
    if ((error && error != http::error::need_more) || HasTooManyExtras()) {
      state_ = State::kMalformed;
      return;
    }
    if (parser_->is_done() && (is_extra_ || parser_->head().status < 200)) {
      BeginResponse();  // the response that is due may follow
    } else if (parser_->is_done()) {
      state_ = State::kComplete;
    } else if (used == 0) {
      break;
    }
  }
  if (sink_ != nullptr && state_ == State::kReading &&
      buffer.size() > max_header_bytes_) {
    // The parser waits for the end of a line, which it limits in heads only.
    LogLine("http.unparsed_response").Add("address", address_).Warn();
    state_ = State::kMalformed;
  }
}

bool ResponseReader::ReadEnd() {
  ErrorCode error;
  if (parser_->got_some())
    parser_->put_eof(error);
  if (!error && parser_->is_done() && !is_extra_ &&
      parser_->head().status >= 200) {
    state_ = State::kComplete;
  }
  return is_complete();
}

bool ResponseReader::may_continue() const {
  // A copy of a response to HEAD couldn't be framed.
  return is_complete() && parser_->keep_alive() && !is_head_ &&
         !history_.IsFull();
}

HttpFields ResponseReader::fields() const {
  return parser_ ? parser_->head().fields : HttpFields();
}

}  // namespace endivecart::net
