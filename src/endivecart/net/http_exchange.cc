#include "endivecart/net/http_exchange.h"

#include <string>
#include <utility>

namespace endivecart::net {

HttpServerExchange::HttpServerExchange(std::shared_ptr<HttpSession> session,
                                       HttpRequest request,
                                       TimePoint received_at,
                                       bool keep_alive)
    : session_(std::move(session)),
      request_(std::move(request)),
      received_at_(received_at),
      keep_alive_(keep_alive) {
  ++session_->server().active;
}

HttpServerExchange::~HttpServerExchange() {
  Abort();
}

void HttpServerExchange::Respond(const HttpResponse& response) {
  if (!session_ || started_)
    return;
  started_ = true;
  const bool close = ShouldClose();
  const bool has_no_body = response.head.status == 204 ||
                           response.head.status == 304 ||
                           response.head.status < 200;
  std::string text = SerializeResponseHead(
      response.head, has_no_body ? BodyFraming::kNone : BodyFraming::kLength,
      response.body.size(), close);
  if (!has_no_body && request_.method != "HEAD")
    text += response.body;
  session_->Send(std::move(text));
  End(!close);
}

void HttpServerExchange::StartResponse(const HttpResponseHead& head) {
  if (!session_ || started_)
    return;
  started_ = true;
  close_after_ = ShouldClose();
  session_->Send(
      SerializeResponseHead(head, BodyFraming::kChunked, 0, close_after_));
}

void HttpServerExchange::Write(std::string_view bytes) {
  if (session_ && !bytes.empty())
    session_->Send(SerializeChunk(bytes));
}

void HttpServerExchange::FinishResponse() {
  if (!session_)
    return;
  session_->Send(std::string(kLastChunk));
  End(!close_after_);
}

void HttpServerExchange::Abort() {
  if (!session_)
    return;
  const auto session = Detach();
  session->Close();
}

void HttpServerExchange::NotifyDisconnected() {
  if (!session_)
    return;
  Detach();
  if (const auto handler = std::exchange(on_caller_gone_, nullptr))
    handler();
}

void HttpServerExchange::NotifyDrained() {
  if (session_ && on_drained_)
    on_drained_();
}

bool HttpServerExchange::ShouldClose() const {
  return !keep_alive_ || session_->server().close_after_response;
}

std::shared_ptr<HttpSession> HttpServerExchange::Detach() {
  --session_->server().active;
  return std::exchange(session_, nullptr);
}

}  // namespace endivecart::net
