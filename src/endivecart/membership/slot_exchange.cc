#include "endivecart/membership/slot_exchange.h"

#include <algorithm>
#include <utility>

#include "endivecart/membership/home.h"

namespace endivecart::membership {

namespace {

constexpr Millis kSlotLease{3000};
constexpr Millis kRenewInterval{1000};
constexpr Millis kUrgentInterval{20};  // between requests while work waits
constexpr Millis kSilentBorrowerHold{30000};
constexpr Millis kAnnouncementLease{3000};
constexpr Millis kUpstreamListInterval{5000};
// A peer counts as reachable this long after its last message.
constexpr Millis kPeerContactTimeout{3000};
// Maximum difference in speed between the clocks of two hosts.
constexpr int kClockDriftPercent = 5;
// Granularity of the reported queue: smaller changes send no new list.
constexpr int kQueuedTokensStep = 4000;

wire::UpstreamInfo ToWire(const Upstream& upstream) {
  wire::UpstreamInfo info;
  info.set_id(upstream.id.str());
  info.set_url(upstream.url);
  info.set_domain(upstream.domain.str());
  info.set_model(upstream.model.str());
  for (const VersionId& version : upstream.versions)
    info.add_versions(version.str());
  info.set_incarnation(upstream.incarnation);
  info.set_cache_epoch(upstream.cache_epoch);
  info.set_bears(static_cast<std::uint32_t>(upstream.concurrency_limit));
  info.set_capacity(static_cast<std::uint32_t>(upstream.capacity));
  info.set_prefill_tokens_per_s(
      static_cast<std::uint32_t>(upstream.prefill_tokens_per_s));
  info.set_queued_tokens(static_cast<std::uint32_t>(
      upstream.queued_tokens / kQueuedTokensStep * kQueuedTokensStep));
  info.set_leaving(upstream.leaving);
  return info;
}

Upstream FromWire(const wire::UpstreamInfo& info) {
  Upstream upstream;
  upstream.id = UpstreamId(info.id());
  upstream.url = info.url();
  upstream.domain = DomainId(info.domain());
  upstream.model = ModelId(info.model());
  for (const std::string& version : info.versions())
    upstream.versions.emplace_back(version);
  upstream.incarnation = info.incarnation();
  upstream.cache_epoch = info.cache_epoch();
  upstream.concurrency_limit = static_cast<int>(info.bears());
  upstream.capacity = static_cast<int>(info.capacity());
  upstream.prefill_tokens_per_s = static_cast<int>(info.prefill_tokens_per_s());
  upstream.queued_tokens = static_cast<int>(info.queued_tokens());
  upstream.leaving = info.leaving();
  return upstream;
}

UpstreamEvidence FromWire(const wire::EvidenceInfo& info) {
  return {UpstreamId(info.upstream()),   info.incarnation(),
          static_cast<int>(info.good()), static_cast<int>(info.slow()),
          static_cast<int>(info.cold()), static_cast<int>(info.failed())};
}

void AddEvidence(const UpstreamEvidence& evidence, wire::ShareAsk& ask) {
  wire::EvidenceInfo* info = ask.add_evidence();
  info->set_upstream(evidence.upstream.str());
  info->set_incarnation(evidence.incarnation);
  info->set_good(static_cast<std::uint32_t>(evidence.good));
  info->set_slow(static_cast<std::uint32_t>(evidence.slow));
  info->set_cold(static_cast<std::uint32_t>(evidence.cold));
  info->set_failed(static_cast<std::uint32_t>(evidence.failed));
}

}  // namespace

std::string UpstreamResource(const UpstreamId& upstream) {
  return "upstream:" + upstream.str();
}

std::string CustomerResource(const CustomerId& customer) {
  return "customer:" + customer.str();
}

SlotExchange::SlotExchange(const settings::HostSettings& settings, Hooks hooks)
    : self_(settings.host),
      domain_(settings.domain),
      hooks_(std::move(hooks)),
      roster_(kAnnouncementLease),
      lender_(kSlotLease, kSilentBorrowerHold) {
  for (const settings::HostEntry& host : settings.hosts) {
    all_hosts_.push_back(host.id);
    domain_of_[host.id] = host.domain;
    hosts_of_[host.domain].push_back(host.id);
    if (host.id != self_)
      peers_[host.id];
  }
}

void SlotExchange::Announce(const Upstream& upstream, TimePoint now) {
  if (upstream.domain != domain_)
    return;
  roster_.Announce(upstream, now);
  lender_.SetRunning(UpstreamResource(upstream.id), upstream.running, now);
}

void SlotExchange::SetDownHosts(const std::set<HostId>& down,
                                std::uint64_t epoch,
                                TimePoint now) {
  if (epoch <= down_epoch_)
    return;
  down_epoch_ = epoch;
  const std::set<HostId> before = std::exchange(down_, down);
  // Slots of resources that this host becomes home to may still be leased from
  // the previous home.
  for (const Upstream& upstream : roster_.Current()) {
    const std::string resource = UpstreamResource(upstream.id);
    const auto old_home = HomeOf(resource, hosts_of_[domain_], before);
    const auto new_home = HomeOf(resource, hosts_of_[domain_], down_);
    if (old_home == new_home || new_home != self_)
      continue;
    lender_.BlockUntil(resource, now + kSlotLease);
    LogLine("membership.home")
        .Add("upstream", upstream.id.str())
        .Add("from", old_home ? old_home->str() : "")
        .Add("to", self_.str())
        .Info();
  }
  for (const auto& [resource, limit] : limits_) {
    if (HomeOf(resource, all_hosts_, before) != self_)
      lender_.BlockUntil(resource, now + kSlotLease);
  }
}

void SlotExchange::SetLimits(const ResourceLimits& limits) {
  limits_ = limits;
}

SlotExchange::Authority SlotExchange::CurrentAuthority(TimePoint now) const {
  if (fresh_ || hosts_of_.at(domain_).size() == 1)
    return Authority::kFull;
  if (last_fresh_domain_peer_contact_ != TimePoint{} &&
      now < last_fresh_domain_peer_contact_ + kPeerContactTimeout) {
    return Authority::kNone;
  }
  const bool has_contact =
      last_domain_peer_contact_ != TimePoint{} &&
      now < last_domain_peer_contact_ + kPeerContactTimeout;
  return has_contact ? Authority::kFull : Authority::kFixedShare;
}

void SlotExchange::ApplyView(const HostId& from,
                             const wire::HomeView& view,
                             TimePoint now) {
  if (domain_of_[from] != domain_)
    return;
  last_domain_peer_contact_ = now;
  if (view.fresh())
    last_fresh_domain_peer_contact_ = now;
  std::set<HostId> down;
  for (const std::string& host : view.down_hosts())
    down.insert(HostId(host));
  SetDownHosts(down, view.down_epoch(), now);
}

void SlotExchange::FillView(wire::HomeView* view) const {
  view->set_fresh(fresh_);
  view->set_down_epoch(down_epoch_);
  for (const HostId& host : down_)
    view->add_down_hosts(host.str());
}

std::optional<HostId> SlotExchange::HomeOfResource(
    const std::string& resource,
    const DomainId& domain) const {
  if (domain.empty())
    return HomeOf(resource, all_hosts_, down_);
  const auto hosts = hosts_of_.find(domain);
  if (hosts == hosts_of_.end())
    return std::nullopt;
  return HomeOf(resource, hosts->second, down_);
}

int SlotExchange::ReservedFor(const Upstream& upstream) const {
  // A host that is marked as down may only be partitioned; it then uses its
  // fixed share of the upstreams that it was home to.
  const auto order =
      RendezvousOrder(UpstreamResource(upstream.id), hosts_of_.at(domain_));
  int reserved = 0;
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    if (order[rank] == self_)
      break;
    reserved +=
        FixedShare(upstream.concurrency_limit, static_cast<int>(order.size()),
                   static_cast<int>(rank));
  }
  return reserved;
}

int SlotExchange::UsableSlots(const Upstream& upstream,
                              Authority authority) const {
  if (authority == Authority::kFull)
    return upstream.concurrency_limit;
  if (authority == Authority::kNone)
    return 0;
  const auto order =
      RendezvousOrder(UpstreamResource(upstream.id), hosts_of_.at(domain_));
  const auto rank = std::find(order.begin(), order.end(), self_);
  return FixedShare(upstream.concurrency_limit, static_cast<int>(order.size()),
                    static_cast<int>(rank - order.begin()));
}

void SlotExchange::RefreshCapacities(TimePoint now) {
  for (const UpstreamId& gone : roster_.Expire(now)) {
    lender_.Remove(UpstreamResource(gone));
    LogLine("membership.gone").Add("upstream", gone.str()).Warn();
  }
  const Authority authority = CurrentAuthority(now);
  if (authority != last_authority_) {
    LogLine("membership.authority")
        .Add("authority", static_cast<int>(authority))
        .Warn();
    last_authority_ = authority;
  }
  for (const Upstream& upstream : HomedUpstreams()) {
    const int usable = upstream.leaving ? 0 : UsableSlots(upstream, authority);
    const int reserved =
        authority == Authority::kFull ? ReservedFor(upstream) : 0;
    lender_.SetCapacity(UpstreamResource(upstream.id), usable, reserved);
  }
  const int hosts = static_cast<int>(all_hosts_.size());
  for (const auto& [resource, limit] : limits_) {
    if (HomeOf(resource, all_hosts_, down_) == self_)
      lender_.SetCapacity(resource, limit - limit / 2 / hosts * hosts, 0,
                          false);
  }
}

std::vector<Upstream> SlotExchange::HomedUpstreams() const {
  std::vector<Upstream> homed;
  for (const Upstream& upstream : roster_.Current()) {
    if (HomeOfResource(UpstreamResource(upstream.id), domain_) == self_)
      homed.push_back(upstream);
  }
  return homed;
}

void SlotExchange::Tick(TimePoint now) {
  if (now < last_renewal_ + kRenewInterval)
    return;
  last_renewal_ = now;
  ++renewals_;
  RequestSlots(now, true);
}

void SlotExchange::OnDemand(TimePoint now) {
  if (now < last_urgent_request_ + kUrgentInterval)
    return;
  last_urgent_request_ = now;
  RequestSlots(now, false);
}

void SlotExchange::RequestSlots(TimePoint now, bool renewal) {
  RefreshCapacities(now);
  std::map<HostId, std::vector<ResourceDemand>> by_home;
  // A lease outlasts two renewals, so idle resources are renewed with every
  // second one.
  const bool include_idle = renewal && renewals_ % 2 == 0;
  for (const ResourceDemand& demand : hooks_.demands(include_idle)) {
    if (const auto home = HomeOfResource(demand.resource, demand.domain))
      by_home[*home].push_back(demand);
  }
  RequestFromSelf(by_home[self_], now);
  for (const auto& [peer, state] : peers_) {
    // Between renewals only the homes of resources in demand are asked.
    if (renewal || by_home.contains(peer))
      RequestFromPeer(peer, by_home[peer], now);
  }
}

void SlotExchange::RequestFromPeer(const HostId& peer,
                                   const std::vector<ResourceDemand>& demands,
                                   TimePoint now) {
  Peer& state = peers_[peer];
  ++state.sequence;
  state.requested_at = now;
  wire::Envelope envelope;
  wire::ShareAsk& ask = *envelope.mutable_share_ask();
  ask.set_sequence(state.sequence);
  for (const ResourceDemand& demand : demands) {
    wire::ShareWish* out = ask.add_wishes();
    out->set_resource(demand.resource);
    out->set_wanted(static_cast<std::uint32_t>(demand.demand.wanted));
    out->set_in_use(static_cast<std::uint32_t>(demand.demand.in_use));
  }
  for (const UpstreamEvidence& evidence : hooks_.take_evidence(peer))
    AddEvidence(evidence, ask);
  if (domain_of_[peer] == domain_)
    FillView(ask.mutable_view());
  hooks_.send(peer, std::move(envelope));
}

void SlotExchange::RequestFromSelf(const std::vector<ResourceDemand>& demands,
                                   TimePoint now) {
  for (const UpstreamEvidence& evidence : hooks_.take_evidence(self_))
    roster_.OnEvidence(evidence);
  std::vector<ResourceGrant> grants;
  for (const ResourceDemand& demand : demands) {
    const int slots = lender_.Renew(demand.resource, self_, demand.demand, now);
    grants.push_back({demand.resource, slots, now + kSlotLease,
                      lender_.IsScarce(demand.resource, now)});
  }
  hooks_.on_grants(grants);
  hooks_.on_upstreams(self_, HomedUpstreams());
}

void SlotExchange::AddUpstreams(Peer& peer,
                                TimePoint now,
                                wire::ShareReply& reply) const {
  wire::ShareReply list;
  for (const Upstream& upstream : HomedUpstreams())
    *list.add_upstreams() = ToWire(upstream);
  const std::size_t digest = std::hash<std::string>{}(list.SerializeAsString());
  if (digest == peer.list_digest &&
      now < peer.list_sent_at + kUpstreamListInterval)
    return;
  peer.list_digest = digest;
  peer.list_sent_at = now;
  reply.mutable_upstreams()->Swap(list.mutable_upstreams());
  reply.set_lists_upstreams(true);
}

void SlotExchange::OnAsk(const HostId& from,
                         const wire::ShareAsk& ask,
                         TimePoint now) {
  const auto peer = peers_.find(from);
  if (peer == peers_.end())
    return;
  ApplyView(from, ask.view(), now);
  for (const wire::EvidenceInfo& evidence : ask.evidence())
    roster_.OnEvidence(FromWire(evidence));
  RefreshCapacities(now);
  wire::Envelope envelope;
  wire::ShareReply& reply = *envelope.mutable_share_reply();
  reply.set_sequence(ask.sequence());
  for (const wire::ShareWish& demand : ask.wishes()) {
    wire::ShareGrant* grant = reply.add_grants();
    grant->set_resource(demand.resource());
    grant->set_lease_ms(static_cast<std::uint32_t>(kSlotLease.count()));
    grant->set_scarce(lender_.IsScarce(demand.resource(), now));
    grant->set_slots(static_cast<std::uint32_t>(lender_.Renew(
        demand.resource(), from,
        {static_cast<int>(demand.wanted()), static_cast<int>(demand.in_use())},
        now)));
  }
  AddUpstreams(peer->second, now, reply);
  if (domain_of_[from] == domain_)
    FillView(reply.mutable_view());
  hooks_.send(from, std::move(envelope));
}

void SlotExchange::OnReply(const HostId& from,
                           const wire::ShareReply& reply,
                           TimePoint now) {
  const auto peer = peers_.find(from);
  if (peer == peers_.end())
    return;
  ApplyView(from, reply.view(), now);
  // The lease starts when the request was sent; a reply to an earlier request
  // is stale.
  if (reply.sequence() == peer->second.sequence) {
    std::vector<ResourceGrant> grants;
    for (const wire::ShareGrant& grant : reply.grants()) {
      const Millis lease(grant.lease_ms() * (100 - kClockDriftPercent) / 100);
      grants.push_back({grant.resource(), static_cast<int>(grant.slots()),
                        peer->second.requested_at + lease, grant.scarce()});
    }
    hooks_.on_grants(grants);
  }
  if (!reply.lists_upstreams())
    return;
  std::vector<Upstream> upstreams;
  for (const wire::UpstreamInfo& info : reply.upstreams())
    upstreams.push_back(FromWire(info));
  hooks_.on_upstreams(from, upstreams);
}

}  // namespace endivecart::membership
