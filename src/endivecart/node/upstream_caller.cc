#include "endivecart/node/upstream_caller.h"

#include <utility>

namespace endivecart::node {

namespace {

// Longer than a store holds back an answer.
constexpr Millis kTimeLimit{1500};

}  // namespace

void UpstreamCaller::Call(const settings::Endpoint& address,
                          const net::HttpRequest& request,
                          Done done) {
  const std::uint64_t id = next_++;
  Open& open = open_[id];
  const auto end = [this, id, done = std::move(done)](bool complete) {
    const auto it = open_.find(id);
    if (it == open_.end())
      return;
    const Open ended = std::move(it->second);
    open_.erase(it);
    done(complete ? ended.status : 0, ended.body);
  };
  open.timeout = loop_.After(kTimeLimit, [end](TimePoint) { end(false); });
  open.call = client_.Start(
      address, request, net::CallOptions(),
      {[this, id](const net::HttpResponseHead& head) {
         open_.at(id).status = head.status;
       },
       [this, id](std::string_view bytes) { open_.at(id).body += bytes; },
       [end](net::CallResult result) { end(result == net::CallResult::kComplete); }});
}

}  // namespace endivecart::node
