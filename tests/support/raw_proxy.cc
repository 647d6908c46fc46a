#include "support/raw_proxy.h"

#include <utility>

namespace tests {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr int kBacklog = 64;
// With a backlog of 0, the system queues this many connections or fewer.
constexpr int kFillers = 3;

tcp::endpoint ToEndpoint(const endivecart::settings::Endpoint& address) {
  return {boost::asio::ip::make_address(address.address),
          static_cast<unsigned short>(address.port)};
}

}  // namespace

RawProxy::RawProxy(endivecart::net::EventLoop& loop,
                   const endivecart::settings::Endpoint& server)
    : loop_(loop), server_(ToEndpoint(server)), address_(AnyPort()) {
  Listen(kBacklog);
  Accept();
}

RawProxy::~RawProxy() {
  for (const auto& link : links_)
    Close(*link);
}

void RawProxy::Listen(int backlog) {
  acceptor_.emplace(loop_.context());
  acceptor_->open(tcp::v4());
  acceptor_->set_option(tcp::acceptor::reuse_address(true));
  acceptor_->bind(ToEndpoint(address_));
  acceptor_->listen(backlog);
  address_.port = acceptor_->local_endpoint().port();
}

void RawProxy::Accept() {
  acceptor_->async_accept([this](const ErrorCode& error, Socket client) {
    if (error)
      return;
    Socket server(loop_.context());
    ErrorCode refused;
    server.connect(server_, refused);
    if (!refused) {
      links_.push_back(
          std::make_shared<Link>(std::move(client), std::move(server)));
      Forward(links_.back(), 0);
      Forward(links_.back(), 1);
    }
    Accept();
  });
}

void RawProxy::Forward(const std::shared_ptr<Link>& link, int from) {
  link->ends[from].async_read_some(
      boost::asio::buffer(link->buffers[from]),
      [this, link, from](const ErrorCode& error, std::size_t bytes) {
        if (link->silent)
          return;
        ErrorCode failed = error;
        if (!failed) {
          boost::asio::write(link->ends[1 - from],
                             boost::asio::buffer(link->buffers[from], bytes),
                             failed);
        }
        if (failed) {
          Close(*link);
        } else {
          Forward(link, from);
        }
      });
}

void RawProxy::Close(Link& link) {
  ErrorCode ignored;  // it may be closed already
  link.ends[0].close(ignored);
  link.ends[1].close(ignored);
}

void RawProxy::CutLink(Cut cut) {
  acceptor_->close();
  if (cut == Cut::kRefuseNew)
    return;
  for (const auto& link : links_) {
    link->silent = cut == Cut::kHang;
    if (cut == Cut::kReset)
      Close(*link);
  }
  if (cut == Cut::kReset)
    return;
  Listen(0);
  for (int i = 0; i < kFillers; ++i) {
    fillers_.emplace_back(loop_.context());
    fillers_.back().async_connect(ToEndpoint(address_),
                                  [](const ErrorCode&) {});
  }
}

void RawProxy::Restore() {
  ErrorCode ignored;  // it may be closed already
  acceptor_->close(ignored);
  fillers_.clear();
  for (const auto& link : links_) {
    if (link->silent)
      Close(*link);
  }
  Listen(kBacklog);
  Accept();
}

}  // namespace tests
