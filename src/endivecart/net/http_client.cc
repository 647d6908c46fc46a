#include "endivecart/net/http_client.h"

#include <utility>
#include <vector>

#include "endivecart/net/http_connection.h"

namespace endivecart::net {

std::string_view CallResultName(CallResult result) {
  switch (result) {
    case CallResult::kComplete:
      return "complete";
    case CallResult::kNotSent:
      return "not_sent";
    case CallResult::kBroken:
      return "broken";
    case CallResult::kMalformedResponse:
      return "bad_answer";
  }
  return "";
}

class HttpClient::Call final : public HttpCall, public CallSink {
 public:
  explicit Call(CallHooks hooks)
      : hooks_(std::make_shared<const CallHooks>(std::move(hooks))) {}
  ~Call() override {
    if (connection_)
      std::exchange(connection_, nullptr)->Cancel();
  }

  // Starts the call on a connection.
  void Send(std::shared_ptr<HttpConnection> connection,
            bool opened,
            const HttpRequest& request,
            const CallIdentity& identity) {
    connection_ = std::move(connection);
    opened_ = opened;
    connection_number_ = connection_->number();
    has_own_id_ = connection_->MayCarry(identity.request_id);
    connection_->SendRequest(this, request, identity);
  }
  void SetPaused(bool paused) override {
    if (connection_)
      connection_->SetPaused(paused);
  }
  bool may_have_been_sent() const override {
    return connection_ ? connection_->has_sent_bytes() : sent_;
  }
  bool opened_connection() const override { return opened_; }
  std::uint64_t connection_number() const override {
    return connection_number_;
  }
  bool has_own_id() const override { return has_own_id_; }

  // Each hook may destroy this call, so a reference keeps the hooks alive.
  void OnHead(const HttpResponseHead& head) override {
    const auto hooks = hooks_;
    hooks->on_head(head);
  }
  void OnBody(std::string_view bytes) override {
    const auto hooks = hooks_;
    hooks->on_body(bytes);
  }
  std::string ResponseId(const HttpResponseHead& head) const override {
    return hooks_->response_id ? hooks_->response_id(head) : std::string();
  }
  void OnEnd(CallResult result) override {
    const auto hooks = hooks_;
    sent_ = connection_->has_sent_bytes();
    connection_ = nullptr;
    hooks->on_end(result);
  }

 private:
  const std::shared_ptr<const CallHooks> hooks_;
  std::shared_ptr<HttpConnection> connection_;
  bool opened_ = false;
  std::uint64_t connection_number_ = 0;
  bool has_own_id_ = false;
  bool sent_ = false;
};

HttpClient::HttpClient(EventLoop& loop, HttpClientLimits limits)
    : pool_(std::make_shared<HttpConnectionPool>(loop, limits)) {}

HttpClient::~HttpClient() {
  pool_->closed = true;
  std::vector<std::shared_ptr<HttpConnection>> idle;
  for (auto& [name, address] : pool_->addresses)
    idle.insert(idle.end(), address.idle.begin(), address.idle.end());
  for (const auto& connection : idle)
    connection->Close();
}

HttpCallPtr HttpClient::Start(const settings::Endpoint& address,
                              const HttpRequest& request,
                              const CallOptions& options,
                              CallHooks hooks) {
  auto call = std::make_unique<Call>(std::move(hooks));
  const std::string name = address.ToString();
  const TimePoint now = pool_->loop.Now();
  // An extra response would be framed as the one to HEAD.
  const bool may_reuse = options.reuse_connection && request.method != "HEAD";
  while (may_reuse) {
    const auto connection = pool_->PopIdle(name, now - options.max_idle,
                                           options.identity.request_id);
    if (!connection)
      break;
    if (!connection->IsReusable()) {
      connection->Close();
      continue;
    }
    call->Send(connection, false, request, options.identity);
    return call;
  }
  const auto connection = std::make_shared<HttpConnection>(pool_, name);
  call->Send(connection, true, request, options.identity);
  connection->Connect(address, options.connect_timeout);
  return call;
}

void HttpClient::Preconnect(const settings::Endpoint& address,
                            Millis timeout,
                            std::function<void(bool)> done) {
  const auto connection =
      std::make_shared<HttpConnection>(pool_, address.ToString());
  connection->Preconnect(address, timeout, std::move(done));
}

std::size_t HttpClient::ConnectionsTo(const settings::Endpoint& address) const {
  const auto it = pool_->addresses.find(address.ToString());
  return it == pool_->addresses.end() ? 0 : it->second.open;
}

std::size_t HttpClient::IdleConnectionsTo(
    const settings::Endpoint& address) const {
  const auto it = pool_->addresses.find(address.ToString());
  return it == pool_->addresses.end() ? 0 : it->second.idle.size();
}

std::uint64_t HttpClient::extra_responses() const {
  return pool_->extra_responses;
}

void HttpClient::CloseIdleConnections(const settings::Endpoint& address) {
  const auto it = pool_->addresses.find(address.ToString());
  if (it == pool_->addresses.end())
    return;
  const auto idle = it->second.idle;
  for (const auto& connection : idle)
    connection->Close();
}

}  // namespace endivecart::net
