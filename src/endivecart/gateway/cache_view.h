#ifndef ENDIVECART_GATEWAY_CACHE_VIEW_H_
#define ENDIVECART_GATEWAY_CACHE_VIEW_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "endivecart/fleet/cache_catalog.h"
#include "endivecart/gateway/caller_request.h"

namespace endivecart::gateway {

// For each part of a prompt: from where its cache is fetched, and to where it
// is saved once read. Empty lists: nothing at all.
struct CachePlan {
  std::vector<std::optional<settings::Endpoint>> fetch;
  std::vector<std::optional<settings::Endpoint>> save;
  // By the servers' clock: a fetch must have ended by then.
  std::optional<std::uint64_t> fetch_until_ms;
  std::int64_t fetchable_tokens = 0;

  bool operator==(const CachePlan&) const = default;
};

// How long a request that came this long ago may wait for cache that is
// fetched, if it is to be answered within `latency_target` (0: there is none).
// For stores whose links turn slow: past half of the target, reading the prompt
// is the surer way, if that is soon done. A prompt that takes long to read, or
// is late already, waits as long as a fetch may take.
Millis FetchPatience(Millis elapsed, Millis latency_target, Millis reading);

// What this host knows of the cache stores, by the leader's news. Old news
// isn't acted on.
class CacheView {
 public:
  void Apply(const wire::CacheUpdate& news, TimePoint now);

  // Parts that stand in a store are fetched from there. Of the others, all but
  // the last, which no other prompt shares, are saved.
  // Only stores in domains that `may_hold` allows are used. Fetches are given
  // up after `patience`.
  CachePlan Plan(const Prompt& prompt,
                 const std::string& label,
                 const std::function<bool(const DomainId&)>& may_hold,
                 Millis patience,
                 TimePoint now) const;

  std::uint64_t term() const { return term_; }
  std::uint64_t cursor() const { return cursor_; }
  std::size_t parts() const { return parts_.size(); }

 private:
  struct Store {
    settings::Endpoint address;
    DomainId domain;
    bool readable = false;
    bool takes_more = false;
  };

  // Where a part is to be saved: the same on every host.
  const Store* StoreFor(
      std::uint64_t key,
      const std::function<bool(const DomainId&)>& may_hold) const;

  std::uint64_t term_ = 0;
  std::uint64_t cursor_ = 0;
  TimePoint heard_at_{};
  std::uint64_t servers_clock_ms_ = 0;  // at heard_at_
  std::vector<Store> stores_;
  // Parts that lie whole in a store; the index of the store.
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> parts_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_CACHE_VIEW_H_
