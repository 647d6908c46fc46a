#include "endivecart/node/upstream_client.h"

#include <string_view>
#include <utility>

namespace endivecart::node {

namespace {

// Longer than a store may delay an answer.
constexpr Millis kCallTimeout{1500};
// Far more than the list of a full store.
constexpr std::size_t kMaxAnswerBytes = 8UL << 20;

}  // namespace

void UpstreamClient::Call(const settings::Endpoint& address,
                          const net::HttpRequest& request,
                          Done done) {
  const std::uint64_t id = next_id_++;
  PendingCall& pending = pending_[id];
  const auto end = [this, id, done = std::move(done)](bool complete) {
    const auto it = pending_.find(id);
    if (it == pending_.end())
      return;
    const PendingCall ended = std::move(it->second);
    pending_.erase(it);
    done(complete ? ended.status : 0, ended.body);
  };
  // Calls bear no ids: on a kept connection, the copy of an earlier answer
  // could be taken for the answer to an order, which would then be repeated.
  net::CallOptions options;
  options.reuse_connection = request.method == "GET";
  pending.timeout = loop_.After(kCallTimeout, [end](TimePoint) { end(false); });
  pending.call =
      client_.Start(address, request, options,
                    {[this, id](const net::HttpResponseHead& head) {
                       pending_.at(id).status = head.status;
                     },
                     [this, id, end, address](std::string_view bytes) {
                       std::string& body = pending_.at(id).body;
                       if (body.size() + bytes.size() <= kMaxAnswerBytes) {
                         body += bytes;
                         return;
                       }
                       LogLine("node.answer_too_large")
                           .Add("address", address.ToString())
                           .Warn();
                       end(false);
                     },
                     [end](net::CallResult result) {
                       end(result == net::CallResult::kComplete);
                     }});
}

}  // namespace endivecart::node
