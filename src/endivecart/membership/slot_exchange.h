#ifndef ENDIVECART_MEMBERSHIP_SLOT_EXCHANGE_H_
#define ENDIVECART_MEMBERSHIP_SLOT_EXCHANGE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/membership/slot_lender.h"
#include "endivecart/membership/upstream.h"
#include "endivecart/membership/upstream_roster.h"
#include "endivecart/settings/settings.h"
#include "endivecart/transport/transport.h"

namespace endivecart::membership {

// Returns the resource name of an upstream's slots.
std::string UpstreamResource(const UpstreamId& upstream);
// Returns the resource name of a customer's site-wide concurrent requests.
std::string CustomerResource(const CustomerId& customer);

// This host's demand for slots of one resource.
struct ResourceDemand {
  std::string resource;
  DomainId domain;  // of an upstream; empty for a customer's resource
  SlotDemand demand;

  bool operator==(const ResourceDemand&) const = default;
};

// Slots that a home has granted to this host.
struct ResourceGrant {
  std::string resource;
  int slots = 0;
  TimePoint valid_until;
  bool scarce = false;  // idle slots must be returned at once

  bool operator==(const ResourceGrant&) const = default;
};

// Site-wide limits that are divided among the hosts, by resource name.
using ResourceLimits = std::map<std::string, int>;

// Runs the protocol of slot leases: lends the slots of resources that this host
// is home to, and borrows from other homes. Does no I/O: messages are sent
// through a hook, and the owner passes in received messages and the time. Not
// thread-safe.
class SlotExchange {
 public:
  struct Hooks {
    std::function<void(const HostId& to, wire::Envelope)> send;
    // Returns the current demands. With `include_idle`, also those of resources
    // without demand, so that an idle slot can be kept.
    std::function<std::vector<ResourceDemand>(bool include_idle)> demands;
    // Removes and returns the evidence about upstreams of the given home.
    std::function<std::vector<UpstreamEvidence>(const HostId& home)>
        take_evidence;
    std::function<void(const std::vector<ResourceGrant>&)> on_grants;
    // Called with the complete list of upstreams of the given home.
    std::function<void(const HostId& home, const std::vector<Upstream>&)>
        on_upstreams;
  };

  SlotExchange(const settings::HostSettings& settings, Hooks hooks);

  // Applies an announcement. Upstreams of other domains are ignored.
  void Announce(const Upstream& upstream, TimePoint now);
  // Sets the hosts that are down, as known from the control state or from a
  // peer in this host's domain. An older epoch is ignored.
  void SetDownHosts(const std::set<HostId>& down,
                    std::uint64_t epoch,
                    TimePoint now);
  void SetLimits(const ResourceLimits& limits);
  // Sets whether this host's view of the homes is known to be the newest.
  void SetFresh(bool fresh) { fresh_ = fresh; }

  // Renews the leases when due. To be called periodically.
  void Tick(TimePoint now);
  // Requests slots without waiting for the next renewal, because work waits.
  void OnDemand(TimePoint now);
  // Handles a peer's request for slots and sends the reply.
  void OnAsk(const HostId& from, const wire::ShareAsk& ask, TimePoint now);
  // Handles a peer's reply to this host's last request.
  void OnReply(const HostId& from,
               const wire::ShareReply& reply,
               TimePoint now);
  // Returns the upstreams that this host is home to.
  std::vector<Upstream> HomedUpstreams() const;

 private:
  struct Peer {
    std::uint64_t sequence = 0;
    TimePoint requested_at{};
    TimePoint list_sent_at{};  // when this host's upstream list was last sent
    std::size_t list_digest = 0;
  };

  // How many slots this host may lend as a home.
  enum class Authority {
    kFull,
    kFixedShare,  // partitioned from all peers; others may act as home
    kNone,        // partitioned from the quorum, but a peer is not
  };

  Authority CurrentAuthority(TimePoint now) const;
  void ApplyView(const HostId& from, const wire::HomeView& view, TimePoint now);
  void FillView(wire::HomeView* view) const;
  std::optional<HostId> HomeOfResource(const std::string& resource,
                                       const DomainId& domain) const;
  void RefreshCapacities(TimePoint now);
  int ReservedFor(const Upstream& upstream) const;
  int UsableSlots(const Upstream& upstream, Authority authority) const;
  void RequestSlots(TimePoint now, bool renewal);
  void RequestFromPeer(const HostId& peer,
                       const std::vector<ResourceDemand>& demands,
                       TimePoint now);
  void RequestFromSelf(const std::vector<ResourceDemand>& demands,
                       TimePoint now);
  void AddUpstreams(Peer& peer, TimePoint now, wire::ShareReply& reply) const;

  HostId self_;
  DomainId domain_;
  std::vector<HostId> all_hosts_;
  std::map<HostId, DomainId> domain_of_;
  std::map<DomainId, std::vector<HostId>> hosts_of_;
  Hooks hooks_;
  UpstreamRoster roster_;
  SlotLender lender_;
  std::set<HostId> down_;
  ResourceLimits limits_;
  std::uint64_t down_epoch_ = 0;
  bool fresh_ = false;
  Authority last_authority_ = Authority::kFull;
  std::map<HostId, Peer> peers_;
  TimePoint last_renewal_{};
  std::uint64_t renewals_ = 0;
  TimePoint last_urgent_request_{};
  TimePoint last_domain_peer_contact_{};
  TimePoint last_fresh_domain_peer_contact_{};
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_SLOT_EXCHANGE_H_
