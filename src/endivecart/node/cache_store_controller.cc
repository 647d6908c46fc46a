#include "endivecart/node/cache_store_controller.h"

#include <algorithm>
#include <utility>

namespace endivecart::node {

namespace {

constexpr Millis kRetireInterval{5000};

}  // namespace

CacheStoreController::CacheStoreController(net::EventLoop& loop,
                                           UpstreamClient& client,
                                           const VoterNodeHooks& hooks)
    : loop_(loop), client_(client), hooks_(hooks) {}

void CacheStoreController::Start(bool is_first_start,
                                 fleet::CacheSaveBatches::Hooks save_hooks) {
  catalog_.StartWatchingPolls(is_first_start, loop_.Now());
  save_batches_.emplace(catalog_, loop_, std::move(save_hooks));
}

void CacheStoreController::Tick(const fleet::Decisions& decisions,
                                const fleet::SaveGrantLog& save_grants,
                                const upstreams::UpstreamRegistry& roster,
                                bool is_confirmed_leader,
                                std::uint64_t term) {
  const TimePoint now = loop_.Now();
  // Also while another process leads: the request limit decides for how long
  // hosts are remembered.
  if (routing_version_ != decisions.routing_version)
    UpdateStores(decisions);
  if (!is_confirmed_leader) {
    // If confirmation is regained within the same term, no other process was
    // leader in between.
    if (term != term_ && std::exchange(term_, 0) != 0) {
      catalog_.OnLeadershipLost();
      save_batches_->OnLeadershipLost();
    }
    return;
  }
  if (term_ != term) {
    term_ = term;
    OnLeadershipGained(decisions, save_grants);
    retire_due_ = now + kRetireInterval;
  }
  save_batches_->Tick();
  for (const fleet::CacheRead& read : catalog_.NextReads(now))
    ReadStore(read);
  if (now >= retire_due_) {
    retire_due_ = now + kRetireInterval;
    Retire(decisions, roster);
  }
  for (const fleet::CacheFree& order : catalog_.NextFrees(now))
    SendFree(order);
}

void CacheStoreController::OnLeadershipGained(
    const fleet::Decisions& decisions,
    const fleet::SaveGrantLog& save_grants) {
  const bool is_log_complete =
      save_grants.newest_term() == term_ && save_grants.IsComplete();
  const auto logged = save_grants.Saves();
  // Without a configuration, no process knew of any store.
  catalog_.OnLeadershipGained(term_, loop_.Now(),
                              decisions.routing_version != 0,
                              is_log_complete ? &logged : nullptr);
  save_batches_->OnLeadershipGained(is_log_complete);
}

void CacheStoreController::UpdateStores(const fleet::Decisions& decisions) {
  routing_version_ = decisions.routing_version;
  const auto decoded = hooks_.decode_routing(decisions.routing_document);
  if (!decoded) {
    LogLine("node.configuration_unreadable")
        .Add("version", decisions.routing_version)
        .Add("reason", decoded.error().detail)
        .Error();
    return;
  }
  const routes::RoutingConfigurationPtr& configuration = *decoded;
  std::vector<routes::CacheStore> stores;
  for (const routes::Service& service : configuration->services) {
    if (service.store)
      stores.push_back(*service.store);
  }
  catalog_.SetStores(stores);
  scopes_ = {{CustomerId(), decisions.cache_generation}};
  for (const routes::Customer& customer : configuration->customers) {
    if (customer.isolated)
      scopes_.push_back({customer.id, 0});
  }
  Millis request_limit{0};
  for (const routes::Route& route : configuration->routes)
    request_limit = std::max(request_limit, route.time_limit);
  catalog_.SetRequestLimit(request_limit);
}

void CacheStoreController::Retire(const fleet::Decisions& decisions,
                                  const upstreams::UpstreamRegistry& roster) {
  const auto live = fleet::LiveCacheLabels(decisions, scopes_, roster);
  if (live.empty())
    return;  // no upstream is known yet
  catalog_.Retire(
      [&live](const std::string& label) { return live.contains(label); },
      loop_.Now());
}

void CacheStoreController::ReadStore(const fleet::CacheRead& read) {
  client_.Call(read.store, hooks_.encode_cache_read(read),
               [this, read, term = term_](int status, const std::string& body) {
                 if (term != term_)
                   return;
                 if (status == 200 && read.is_list) {
                   if (const auto list = hooks_.decode_cache_list(body)) {
                     catalog_.OnList(read.store, *list, loop_.Now());
                     return;
                   }
                 } else if (status == 200) {
                   if (const auto events = hooks_.decode_cache_events(body)) {
                     catalog_.OnEvents(read.store, *events, loop_.Now());
                     return;
                   }
                 }
                 catalog_.OnReadFailed(read.store, loop_.Now());
               });
}

void CacheStoreController::SendFree(const fleet::CacheFree& order) {
  LogLine("node.cache_free")
      .Add("store", order.store.ToString())
      .Add("parts", std::uint64_t{order.parts.size()})
      .Info();
  client_.Call(order.store, hooks_.encode_cache_free(order),
               [order](int status, const std::string&) {
                 if (status >= 200 && status < 300)
                   return;
                 LogLine("node.cache_free_refused")
                     .Add("store", order.store.ToString())
                     .Add("status", status)
                     .Warn();
               });
}

std::optional<wire::CacheUpdate> CacheStoreController::UpdateSince(
    const fleet::CachePosition& position) {
  return catalog_.UpdateSince(position, loop_.Now());
}

void CacheStoreController::OnSaveClaim(const HostId& host,
                                       const wire::CacheSaveClaim& claim) {
  save_batches_->OnClaim(host, claim);
}

void CacheStoreController::OnSaveRelease(
    const HostId& host,
    const wire::CacheSaveRelease& release) {
  catalog_.OnSaveRelease(host, release, loop_.Now());
}

void CacheStoreController::OnCallerPoll(const HostId& host,
                                        const wire::FleetPoll& poll) {
  catalog_.OnPoll(host, poll, loop_.Now());
}

}  // namespace endivecart::node
