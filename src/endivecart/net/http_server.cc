#include "endivecart/net/http_server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <utility>
#include <vector>

#include "endivecart/net/http_session.h"
#include "endivecart/net/socket_options.h"

namespace endivecart::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr Millis kAcceptRetryDelay{50};
constexpr Millis kStallCheckInterval{1000};
// As many as half of those that may be accepted wait for it. The kernel keeps
// some 21 KB of unread input of each, which no budget counts: 9 MB for 430 of
// them at a host that may accept 160.
constexpr std::size_t kBacklogDivisor = 2;
constexpr std::size_t kMinBacklog = 64;
constexpr std::size_t kMaxBacklog = 1024;
// The part of the connections that is closed at once where there are too many,
// so that they are chosen less often.
constexpr std::size_t kSlotsDivisor = 32;

int BacklogFor(const HttpServerLimits& limits) {
  return static_cast<int>(std::clamp(limits.max_connections / kBacklogDivisor,
                                     kMinBacklog, kMaxBacklog));
}

void CloseStalled(HttpServerState& state) {
  const std::vector<HttpSession*> sessions(state.sessions.begin(),
                                           state.sessions.end());
  for (HttpSession* session : sessions) {
    // Closing one may have closed others.
    if (state.sessions.contains(session))
      session->CloseIfStalled();
  }
}

}  // namespace

HttpServer::HttpServer(std::shared_ptr<HttpServerState> state)
    : state_(std::move(state)) {}

HttpServer::~HttpServer() {
  state_->closed = true;
  ErrorCode ignored;  // a failed close can't be handled
  state_->acceptor.close(ignored);
  std::vector<std::shared_ptr<HttpSession>> sessions;
  for (HttpSession* session : state_->sessions)
    sessions.push_back(session->shared_from_this());
  for (const auto& session : sessions)
    session->Close();
}

Result<std::unique_ptr<HttpServer>, NetError> HttpServer::Listen(
    EventLoop& loop,
    const settings::Endpoint& address,
    HttpServerLimits limits,
    Handler handler,
    ConnectionBudgetPtr budget) {
  auto state = std::make_shared<HttpServerState>(
      loop, limits, std::move(handler), std::move(budget));
  ErrorCode error;
  const tcp::endpoint endpoint(asio::ip::make_address(address.address, error),
                               static_cast<unsigned short>(address.port));
  if (!error)
    state->acceptor.open(endpoint.protocol(), error);
  if (!error)
    state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    state->acceptor.bind(endpoint, error);
  if (!error && state->budget)
    LimitKernelBuffers(state->acceptor, kReceiveBufferBytes);
  if (!error)
    state->acceptor.listen(BacklogFor(limits), error);
  if (error) {
    return Fail(NetError{NetErrorCode::kCannotListen,
                         address.ToString() + ": " + error.message()});
  }
  Accept(state);
  state->stall_check =
      loop.Every(kStallCheckInterval, [weak = std::weak_ptr(state)](TimePoint) {
        if (const auto self = weak.lock())
          CloseStalled(*self);
      });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

void HttpServer::Accept(const std::shared_ptr<HttpServerState>& state) {
  state->acceptor.async_accept(
      state->peer, [state](const ErrorCode& error, tcp::socket socket) {
        if (state->closed || !state->acceptor.is_open())
          return;
        if (error) {
          if (state->Count("accept_failed"))
            LogLine("http.accept_failed").Add("reason", error.message()).Warn();
          state->accept_retry = state->loop.After(
              kAcceptRetryDelay, [state](TimePoint) { Accept(state); });
          return;
        }
        if (HasSlot(*state)) {
          SetConnectionOptions(socket);
          std::make_shared<HttpSession>(state, std::move(socket))->Start();
        } else {
          state->Report("connection_refused");
        }
        Accept(state);
      });
}

bool HttpServer::HasSlot(HttpServerState& state) {
  if (state.sessions.size() < state.limits.max_connections)
    return true;
  const std::vector<HttpSession*> sessions(state.sessions.begin(),
                                           state.sessions.end());
  std::vector<ConnectionView> views;
  views.reserve(sessions.size());
  for (const HttpSession* session : sessions)
    views.push_back(session->View());
  for (const std::size_t index :
       ChooseForSlots(views, 1 + sessions.size() / kSlotsDivisor)) {
    // Closing one may have closed others.
    if (state.sessions.contains(sessions[index]))
      sessions[index]->CloseForSlot();
  }
  return state.sessions.size() < state.limits.max_connections;
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  state_->limits = limits;
}

void HttpServer::DisableKeepAlive() {
  state_->close_after_response = true;
}

void HttpServer::CloseIdle(Millis min_idle) {
  const TimePoint since = state_->loop.Now() - min_idle;
  std::vector<std::shared_ptr<HttpSession>> idle;
  for (HttpSession* session : state_->sessions) {
    if (session->idle() && session->idle_since() <= since)
      idle.push_back(session->shared_from_this());
  }
  for (const auto& session : idle)
    session->Close();
}

void HttpServer::StopAccepting() {
  ErrorCode ignored;  // the acceptor may already be closed
  state_->acceptor.close(ignored);
}

int HttpServer::port() const {
  ErrorCode error;
  return state_->acceptor.local_endpoint(error).port();
}

std::size_t HttpServer::connections() const {
  return state_->sessions.size();
}

std::size_t HttpServer::active() const {
  return state_->active;
}

}  // namespace endivecart::net
