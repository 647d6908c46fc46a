#include "endivecart/membership/share_exchange.h"

#include <algorithm>
#include <utility>

#include "endivecart/membership/home.h"

namespace endivecart::membership {

namespace {

constexpr Millis kShareLease{3000};
constexpr Millis kRenewInterval{1000};
constexpr Millis kUrgentInterval{20};  // between asks while work waits
constexpr Millis kSilentBorrowerHold{30000};
constexpr Millis kAnnouncementLease{3000};
constexpr Millis kRepeatUpstreams{5000};
constexpr Millis kPeerMemory{3000};  // how long a peer counts as heard
// Clocks of two hosts may differ in speed by up to this part.
constexpr int kClockDriftPercent = 5;
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
  info.set_bears(static_cast<std::uint32_t>(upstream.bears));
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
  upstream.bears = static_cast<int>(info.bears());
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

ShareExchange::ShareExchange(const settings::HostSettings& settings,
                             Hooks hooks)
    : self_(settings.host),
      domain_(settings.domain),
      hooks_(std::move(hooks)),
      roster_(kAnnouncementLease),
      book_(kShareLease, kSilentBorrowerHold) {
  for (const settings::HostEntry& host : settings.hosts) {
    all_hosts_.push_back(host.id);
    domain_of_[host.id] = host.domain;
    hosts_of_[host.domain].push_back(host.id);
    if (host.id != self_)
      peers_[host.id];
  }
}

void ShareExchange::Announce(const Upstream& upstream, TimePoint now) {
  if (upstream.domain != domain_)
    return;
  roster_.Announce(upstream, now);
  book_.SetRunning(UpstreamResource(upstream.id), upstream.running, now);
}

void ShareExchange::SetDownHosts(const std::set<HostId>& down,
                                 std::uint64_t epoch,
                                 TimePoint now) {
  if (epoch <= down_epoch_)
    return;
  down_epoch_ = epoch;
  const std::set<HostId> before = std::exchange(down_, down);
  // What this host becomes home to may still be lent out by the home before.
  for (const Upstream& upstream : roster_.Current()) {
    const std::string resource = UpstreamResource(upstream.id);
    const auto old_home = HomeOf(resource, hosts_of_[domain_], before);
    const auto new_home = HomeOf(resource, hosts_of_[domain_], down_);
    if (old_home == new_home || new_home != self_)
      continue;
    book_.BlockUntil(resource, now + kShareLease);
    LogLine("membership.home")
        .Add("upstream", upstream.id.str())
        .Add("from", old_home ? old_home->str() : "")
        .Add("to", self_.str())
        .Info();
  }
  for (const auto& [resource, limit] : limits_) {
    if (HomeOf(resource, all_hosts_, before) != self_)
      book_.BlockUntil(resource, now + kShareLease);
  }
}

void ShareExchange::SetLimits(const ResourceLimits& limits) {
  limits_ = limits;
}

ShareExchange::Authority ShareExchange::CurrentAuthority(TimePoint now) const {
  if (fresh_ || hosts_of_.at(domain_).size() == 1)
    return Authority::kFull;
  if (heard_fresh_domain_peer_ != TimePoint{} &&
      now < heard_fresh_domain_peer_ + kPeerMemory) {
    return Authority::kNone;
  }
  const bool heard = heard_domain_peer_ != TimePoint{} &&
                     now < heard_domain_peer_ + kPeerMemory;
  return heard ? Authority::kFull : Authority::kFixedPart;
}

void ShareExchange::NoteView(const HostId& from,
                             const wire::HomeView& view,
                             TimePoint now) {
  if (domain_of_[from] != domain_)
    return;
  heard_domain_peer_ = now;
  if (view.fresh())
    heard_fresh_domain_peer_ = now;
  std::set<HostId> down;
  for (const std::string& host : view.down_hosts())
    down.insert(HostId(host));
  SetDownHosts(down, view.down_epoch(), now);
}

void ShareExchange::FillView(wire::HomeView* view) const {
  view->set_fresh(fresh_);
  view->set_down_epoch(down_epoch_);
  for (const HostId& host : down_)
    view->add_down_hosts(host.str());
}

std::optional<HostId> ShareExchange::HomeOfResource(
    const std::string& resource,
    const DomainId& domain) const {
  if (domain.empty())
    return HomeOf(resource, all_hosts_, down_);
  const auto hosts = hosts_of_.find(domain);
  if (hosts == hosts_of_.end())
    return std::nullopt;
  return HomeOf(resource, hosts->second, down_);
}

int ShareExchange::ReservedFor(const Upstream& upstream) const {
  // A host that is down may only be cut off: then it uses its fixed part of
  // the upstreams that it was home to.
  const auto order =
      RendezvousOrder(UpstreamResource(upstream.id), hosts_of_.at(domain_));
  int reserved = 0;
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    if (order[rank] == self_)
      break;
    reserved += FixedPart(upstream.bears, static_cast<int>(order.size()),
                          static_cast<int>(rank));
  }
  return reserved;
}

int ShareExchange::UsableSlots(const Upstream& upstream,
                               Authority authority) const {
  if (authority == Authority::kFull)
    return upstream.bears;
  if (authority == Authority::kNone)
    return 0;
  const auto order =
      RendezvousOrder(UpstreamResource(upstream.id), hosts_of_.at(domain_));
  const auto rank = std::find(order.begin(), order.end(), self_);
  return FixedPart(upstream.bears, static_cast<int>(order.size()),
                   static_cast<int>(rank - order.begin()));
}

void ShareExchange::RefreshCapacities(TimePoint now) {
  for (const UpstreamId& gone : roster_.Expire(now)) {
    book_.Remove(UpstreamResource(gone));
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
    book_.SetCapacity(UpstreamResource(upstream.id), usable, reserved);
  }
  const int hosts = static_cast<int>(all_hosts_.size());
  for (const auto& [resource, limit] : limits_) {
    if (HomeOf(resource, all_hosts_, down_) == self_)
      book_.SetCapacity(resource, limit - limit / 2 / hosts * hosts, 0, false);
  }
}

std::vector<Upstream> ShareExchange::HomedUpstreams() const {
  std::vector<Upstream> homed;
  for (const Upstream& upstream : roster_.Current()) {
    if (HomeOfResource(UpstreamResource(upstream.id), domain_) == self_)
      homed.push_back(upstream);
  }
  return homed;
}

void ShareExchange::Tick(TimePoint now) {
  if (now < renewed_ + kRenewInterval)
    return;
  renewed_ = now;
  ++renewals_;
  AskAll(now, true);
}

void ShareExchange::OnDemand(TimePoint now) {
  if (now < urgent_ + kUrgentInterval)
    return;
  urgent_ = now;
  AskAll(now, false);
}

void ShareExchange::AskAll(TimePoint now, bool renewal) {
  RefreshCapacities(now);
  std::map<HostId, std::vector<ResourceWish>> by_home;
  // A lease outlasts two renewals: what is idle is renewed with every other.
  const bool idle_too = renewal && renewals_ % 2 == 0;
  for (const ResourceWish& wish : hooks_.wishes(idle_too)) {
    if (const auto home = HomeOfResource(wish.resource, wish.domain))
      by_home[*home].push_back(wish);
  }
  AskSelf(by_home[self_], now);
  for (const auto& [peer, state] : peers_) {
    // Between renewals only the homes of what is wanted are asked.
    if (renewal || by_home.contains(peer))
      AskPeer(peer, by_home[peer], now);
  }
}

void ShareExchange::AskPeer(const HostId& peer,
                            const std::vector<ResourceWish>& wishes,
                            TimePoint now) {
  Peer& state = peers_[peer];
  ++state.sequence;
  state.asked_at = now;
  wire::Envelope envelope;
  wire::ShareAsk& ask = *envelope.mutable_share_ask();
  ask.set_sequence(state.sequence);
  for (const ResourceWish& wish : wishes) {
    wire::ShareWish* out = ask.add_wishes();
    out->set_resource(wish.resource);
    out->set_wanted(static_cast<std::uint32_t>(wish.wish.wanted));
    out->set_in_use(static_cast<std::uint32_t>(wish.wish.in_use));
  }
  for (const UpstreamEvidence& evidence : hooks_.take_evidence(peer))
    AddEvidence(evidence, ask);
  if (domain_of_[peer] == domain_)
    FillView(ask.mutable_view());
  hooks_.send(peer, std::move(envelope));
}

void ShareExchange::AskSelf(const std::vector<ResourceWish>& wishes,
                            TimePoint now) {
  for (const UpstreamEvidence& evidence : hooks_.take_evidence(self_))
    roster_.OnEvidence(evidence);
  std::vector<ResourceGrant> grants;
  for (const ResourceWish& wish : wishes) {
    const int slots = book_.Ask(wish.resource, self_, wish.wish, now);
    grants.push_back({wish.resource, slots, now + kShareLease,
                      book_.IsScarce(wish.resource, now)});
  }
  hooks_.on_grants(grants);
  hooks_.on_upstreams(self_, HomedUpstreams());
}

void ShareExchange::AddUpstreams(Peer& peer,
                                 TimePoint now,
                                 wire::ShareReply& reply) const {
  wire::ShareReply list;
  for (const Upstream& upstream : HomedUpstreams())
    *list.add_upstreams() = ToWire(upstream);
  const std::size_t digest = std::hash<std::string>{}(list.SerializeAsString());
  if (digest == peer.told_digest && now < peer.told_at + kRepeatUpstreams)
    return;
  peer.told_digest = digest;
  peer.told_at = now;
  reply.mutable_upstreams()->Swap(list.mutable_upstreams());
  reply.set_lists_upstreams(true);
}

void ShareExchange::OnAsk(const HostId& from,
                          const wire::ShareAsk& ask,
                          TimePoint now) {
  const auto peer = peers_.find(from);
  if (peer == peers_.end())
    return;
  NoteView(from, ask.view(), now);
  for (const wire::EvidenceInfo& evidence : ask.evidence())
    roster_.OnEvidence(FromWire(evidence));
  RefreshCapacities(now);
  wire::Envelope envelope;
  wire::ShareReply& reply = *envelope.mutable_share_reply();
  reply.set_sequence(ask.sequence());
  for (const wire::ShareWish& wish : ask.wishes()) {
    wire::ShareGrant* grant = reply.add_grants();
    grant->set_resource(wish.resource());
    grant->set_lease_ms(static_cast<std::uint32_t>(kShareLease.count()));
    grant->set_scarce(book_.IsScarce(wish.resource(), now));
    grant->set_slots(static_cast<std::uint32_t>(book_.Ask(
        wish.resource(), from,
        {static_cast<int>(wish.wanted()), static_cast<int>(wish.in_use())},
        now)));
  }
  AddUpstreams(peer->second, now, reply);
  if (domain_of_[from] == domain_)
    FillView(reply.mutable_view());
  hooks_.send(from, std::move(envelope));
}

void ShareExchange::OnReply(const HostId& from,
                            const wire::ShareReply& reply,
                            TimePoint now) {
  const auto peer = peers_.find(from);
  if (peer == peers_.end())
    return;
  NoteView(from, reply.view(), now);
  // The lease counts from the ask; an answer to an earlier ask is too old.
  if (reply.sequence() == peer->second.sequence) {
    std::vector<ResourceGrant> grants;
    for (const wire::ShareGrant& grant : reply.grants()) {
      const Millis lease(grant.lease_ms() * (100 - kClockDriftPercent) / 100);
      grants.push_back({grant.resource(), static_cast<int>(grant.slots()),
                        peer->second.asked_at + lease, grant.scarce()});
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
