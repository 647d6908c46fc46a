#ifndef ENDIVECART_NET_HTTP_EXCHANGE_H_
#define ENDIVECART_NET_HTTP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string_view>

#include "endivecart/net/http_session.h"

namespace endivecart::net {

// Internal. A request that a session has received, and its response.
class HttpServerExchange final : public HttpExchange {
 public:
  HttpServerExchange(std::shared_ptr<HttpSession> session,
                     HttpRequest request,
                     TimePoint received_at,
                     bool keep_alive);
  ~HttpServerExchange() override;

  const HttpRequest& request() const override { return request_; }
  TimePoint received_at() const override { return received_at_; }
  std::size_t unsent_bytes() const override {
    return session_ ? session_->unsent_bytes() : 0;
  }
  void Respond(const HttpResponse& response) override;
  void StartResponse(const HttpResponseHead& head) override;
  void Write(std::string_view bytes) override;
  void FinishResponse() override;
  void Abort() override;
  bool IsCallerThere() override {
    return session_ && !session_->HasPeerClosed();
  }
  bool TryHold(std::size_t bytes) override {
    return !session_ || session_->TryHoldAnswer(bytes);
  }
  void OnCallerGone(std::function<void()> handler) override {
    on_caller_gone_ = std::move(handler);
  }
  void OnDrained(std::function<void()> handler) override {
    on_drained_ = std::move(handler);
  }

  // For the session.
  void NotifyDisconnected();
  void NotifyDrained();

 private:
  bool ShouldClose() const;
  std::shared_ptr<HttpSession> Detach();
  void End(bool keep_alive) { Detach()->OnResponseFinished(keep_alive); }

  std::shared_ptr<HttpSession> session_;  // null once the response has ended
  const HttpRequest request_;
  const TimePoint received_at_;
  const bool keep_alive_;
  bool started_ = false;
  bool close_after_ = false;
  std::function<void()> on_caller_gone_;
  std::function<void()> on_drained_;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_EXCHANGE_H_
