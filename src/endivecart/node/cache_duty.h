#ifndef ENDIVECART_NODE_CACHE_DUTY_H_
#define ENDIVECART_NODE_CACHE_DUTY_H_

#include <optional>
#include <string>
#include <vector>

#include "endivecart/fleet/fleet.h"
#include "endivecart/node/upstream_caller.h"
#include "endivecart/node/voter_node.h"

namespace endivecart::node {

// Internal. The leader's reading of cache stores, and its orders to free parts.
class CacheDuty {
 public:
  // All must outlive the duty.
  CacheDuty(net::EventLoop& loop,
            UpstreamCaller& caller,
            const VoterNodeHooks& hooks);

  void Tick(const fleet::Decisions& decisions,
            const upstreams::UpstreamRegistry& roster,
            bool has_office,
            std::uint64_t term);
  // What a follower with news up to this term and cursor lacks; nothing if this
  // process has never been in office in its present term.
  std::optional<wire::CacheNews> NewsSince(std::uint64_t term,
                                           std::uint64_t cursor) const;

 private:
  void TakeStores(const fleet::Decisions& decisions);
  void Retire(const fleet::Decisions& decisions,
              const upstreams::UpstreamRegistry& roster);
  void Read(const fleet::CacheRead& read);
  void Free(const fleet::CacheFree& order);

  net::EventLoop& loop_;
  UpstreamCaller& caller_;
  const VoterNodeHooks& hooks_;
  fleet::CacheCatalog catalog_;
  std::uint64_t term_ = 0;  // of the office; 0: none
  std::uint64_t routing_version_ = 0;
  TimePoint retire_due_{};
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_CACHE_DUTY_H_
