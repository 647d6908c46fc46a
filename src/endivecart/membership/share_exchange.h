#ifndef ENDIVECART_MEMBERSHIP_SHARE_EXCHANGE_H_
#define ENDIVECART_MEMBERSHIP_SHARE_EXCHANGE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/membership/share_book.h"
#include "endivecart/membership/upstream.h"
#include "endivecart/membership/upstream_roster.h"
#include "endivecart/settings/settings.h"
#include "endivecart/transport/transport.h"

namespace endivecart::membership {

// Name of the slots of one upstream.
std::string UpstreamResource(const UpstreamId& upstream);
// Name of the site-wide concurrent requests of one customer.
std::string CustomerResource(const CustomerId& customer);

// One resource that this host wants a share of.
struct ResourceWish {
  std::string resource;
  DomainId domain;  // of an upstream; empty for a customer's resource
  ShareWish wish;

  bool operator==(const ResourceWish&) const = default;
};

// A share that a home has granted to this host.
struct ResourceGrant {
  std::string resource;
  int slots = 0;
  TimePoint valid_until;
  bool scarce = false;  // idle slots are to be given back at once

  bool operator==(const ResourceGrant&) const = default;
};

// Site-wide limits that hosts share, by resource name.
using ResourceLimits = std::map<std::string, int>;

// Speaks the share messages: lends the slots that this host is home to, and
// borrows from other homes. Does no I/O: messages go out through a hook, and
// the owner passes in messages and time. Belongs to one thread.
class ShareExchange {
 public:
  struct Hooks {
    std::function<void(const HostId& to, wire::Envelope)> send;
    // With `idle_too` also those of which nothing is wanted, so that a slot
    // stays at hand.
    std::function<std::vector<ResourceWish>(bool idle_too)> wishes;
    // Takes what is to be told about the upstreams that `home` is home to.
    std::function<std::vector<UpstreamEvidence>(const HostId& home)>
        take_evidence;
    std::function<void(const std::vector<ResourceGrant>&)> on_grants;
    // The complete list of upstreams that `home` is home to.
    std::function<void(const HostId& home, const std::vector<Upstream>&)>
        on_upstreams;
  };

  ShareExchange(const settings::HostSettings& settings, Hooks hooks);

  void Announce(const Upstream& upstream, TimePoint now);
  // Which hosts are down, as the control state or a peer of the own domain
  // knows; an older epoch is ignored.
  void SetDownHosts(const std::set<HostId>& down,
                    std::uint64_t epoch,
                    TimePoint now);
  void SetLimits(const ResourceLimits& limits);
  // Whether this host's view of homes is known to be the newest.
  void SetFresh(bool fresh) { fresh_ = fresh; }

  void Tick(TimePoint now);
  // Work waits for slots: ask soon.
  void OnDemand(TimePoint now);
  void OnAsk(const HostId& from, const wire::ShareAsk& ask, TimePoint now);
  void OnReply(const HostId& from,
               const wire::ShareReply& reply,
               TimePoint now);
  std::vector<Upstream> HomedUpstreams() const;

 private:
  struct Peer {
    std::uint64_t sequence = 0;
    TimePoint asked_at{};
    TimePoint told_at{};  // when it was last told of this host's upstreams
    std::size_t told_digest = 0;
  };

  // How much of what it is home to this host may lend.
  enum class Authority {
    kFull,
    kFixedPart,  // cut off on its own: others may act as home meanwhile
    kNone,       // cut off from the quorum, but a peer is not
  };

  Authority CurrentAuthority(TimePoint now) const;
  void NoteView(const HostId& from, const wire::HomeView& view, TimePoint now);
  void FillView(wire::HomeView* view) const;
  std::optional<HostId> HomeOfResource(const std::string& resource,
                                       const DomainId& domain) const;
  void RefreshCapacities(TimePoint now);
  int ReservedFor(const Upstream& upstream) const;
  int UsableSlots(const Upstream& upstream, Authority authority) const;
  void AskAll(TimePoint now, bool renewal);
  void AskPeer(const HostId& peer,
               const std::vector<ResourceWish>& wishes,
               TimePoint now);
  void AskSelf(const std::vector<ResourceWish>& wishes, TimePoint now);
  void AddUpstreams(Peer& peer, TimePoint now, wire::ShareReply& reply) const;

  HostId self_;
  DomainId domain_;
  std::vector<HostId> all_hosts_;
  std::map<HostId, DomainId> domain_of_;
  std::map<DomainId, std::vector<HostId>> hosts_of_;
  Hooks hooks_;
  UpstreamRoster roster_;
  ShareBook book_;
  std::set<HostId> down_;
  ResourceLimits limits_;
  std::uint64_t down_epoch_ = 0;
  bool fresh_ = false;
  Authority last_authority_ = Authority::kFull;
  std::map<HostId, Peer> peers_;
  TimePoint renewed_{};
  std::uint64_t renewals_ = 0;
  TimePoint urgent_{};
  TimePoint heard_domain_peer_{};
  TimePoint heard_fresh_domain_peer_{};
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_SHARE_EXCHANGE_H_
