#ifndef ENDIVECART_NODE_CACHE_STORE_CONTROLLER_H_
#define ENDIVECART_NODE_CACHE_STORE_CONTROLLER_H_

#include <optional>
#include <string>
#include <vector>

#include "endivecart/fleet/fleet.h"
#include "endivecart/node/upstream_client.h"
#include "endivecart/node/voter_node.h"

namespace endivecart::node {

// Internal. Reads the cache stores and sends them orders to free parts, while
// this process is the confirmed leader.
class CacheStoreController {
 public:
  // All must outlive the controller.
  CacheStoreController(net::EventLoop& loop,
                       UpstreamClient& client,
                       const VoterNodeHooks& hooks);

  // To be called once, before all others. `is_first_start`: of the whole fleet.
  void Start(bool is_first_start, fleet::CacheSaveBatches::Hooks save_hooks);
  void Tick(const fleet::Decisions& decisions,
            const fleet::SaveGrantLog& save_grants,
            const upstreams::UpstreamRegistry& roster,
            bool is_confirmed_leader,
            std::uint64_t term);
  // Returns the cache changes after this term and cursor, or nullopt if this
  // process wasn't the confirmed leader in its current term.
  std::optional<wire::CacheUpdate> UpdateSince(
      const fleet::CachePosition& position);
  // To be called only while this process is the confirmed leader.
  void OnSaveClaim(const HostId& host, const wire::CacheSaveClaim& claim);
  void OnSaveRelease(const HostId& host, const wire::CacheSaveRelease& release);
  void OnCallerPoll(const HostId& host, const wire::FleetPoll& poll);

 private:
  void OnLeadershipGained(const fleet::Decisions& decisions,
                          const fleet::SaveGrantLog& save_grants);
  void UpdateStores(const fleet::Decisions& decisions);
  void Retire(const fleet::Decisions& decisions,
              const upstreams::UpstreamRegistry& roster);
  void ReadStore(const fleet::CacheRead& read);
  void SendFree(const fleet::CacheFree& order);

  net::EventLoop& loop_;
  UpstreamClient& client_;
  const VoterNodeHooks& hooks_;
  fleet::CacheCatalog catalog_;
  std::optional<fleet::CacheSaveBatches> save_batches_;
  std::uint64_t term_ = 0;  // as the leader; 0: none
  std::uint64_t routing_version_ = 0;
  std::vector<fleet::CacheScope> scopes_;  // in that version
  TimePoint retire_due_{};
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_CACHE_STORE_CONTROLLER_H_
