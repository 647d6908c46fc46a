#ifndef ENDIVECART_FLEET_FLEET_FOLLOWER_H_
#define ENDIVECART_FLEET_FLEET_FOLLOWER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "endivecart/fleet/decisions.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::fleet {

struct FleetFollowerOptions {
  HostId self;
  std::uint64_t incarnation = 0;  // of this process
  std::string member;             // of a process that can vote; else empty
  bool serves_callers = false;
  std::vector<HostId> contacts;  // where to begin
  Millis poll_interval{250};     // to one voter, which tells others' loads
  int others_every = 4;          // polls of the rest: each so many of these

  bool operator==(const FleetFollowerOptions&) const = default;
};

// Work of this process at one upstream, for the others to know.
struct OwnLoad {
  UpstreamId upstream;
  int requests = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t held_tokens = 0;

  bool operator==(const OwnLoad&) const = default;
};

// Follows all voters and their spares, one voter closely: a decision, or an
// upstream's word, that reaches one of them reaches this process. Goes on with
// what it knows while none answers.
class FleetFollower {
 public:
  struct Hooks {
    std::function<void(const HostId&, wire::Envelope)> send;
    // To be reachable from now on, this process left out.
    std::function<void(const std::vector<HostId>&)> on_control_hosts;
    std::function<void(DecisionsPtr)> on_decisions;
    std::function<void(const upstreams::Announcement&, TimePoint received_at)>
        on_announcement;
    std::function<std::vector<OwnLoad>()> own_loads;
    std::function<std::vector<wire::ServiceMoveReport>()> move_reports;
    // The work of others at upstreams is known anew; may be left out.
    std::function<void()> on_loads;
    // Leave these out where cache stores are of no concern.
    std::function<void(const wire::CacheNews&)> on_cache;
    // The term and the cursor of the cache news that are held.
    std::function<std::pair<std::uint64_t, std::uint64_t>()> cache_position;
    std::function<TimePoint()> now;
  };

  // A control host that is silent for longer counts as out of reach.
  static constexpr Millis kContactLost{2000};
  // After this a poll, or its answer, is taken to be lost.
  static constexpr Millis kAnswerLost{1000};
  // One that nobody names any more is polled for this long still.
  static constexpr Millis kForgetControlHost{30000};

  FleetFollower(FleetFollowerOptions options, Hooks hooks);

  void Tick();
  void OnNews(const HostId& from, const wire::FleetNews& news);
  // These hosts are voters or spares now.
  void NoteControlHosts(const std::vector<HostId>& hosts);
  // More hosts that may be voters.
  void AddContacts(const std::vector<HostId>& contacts);

  // Null until the first news.
  const DecisionsPtr& decisions() const { return decisions_; }
  // Whether any control host was heard lately.
  bool InContact() const;
  // Processes that serve callers, this one included, and this one's place among
  // them. No hosts if no control host was heard lately.
  struct CallerPlace {
    int hosts = 0;
    int rank = 0;

    bool operator==(const CallerPlace&) const = default;
  };
  CallerPlace Place() const;
  // Whether the leader wants the upstream to get no new requests now.
  bool IsResting(const UpstreamId& upstream) const;
  // Work of all other processes at an upstream, lately.
  const wire::UpstreamLoad* LoadOfOthers(const UpstreamId& upstream) const;

 private:
  struct ControlHost {
    TimePoint named_at;
    TimePoint polled_at{};
    TimePoint heard_at{};
    bool heard = false;
    bool in_contact = false;
    std::uint64_t feed_incarnation = 0;
    std::uint64_t feed_cursor = 0;
    CallerPlace place;
  };

  void Poll();
  // An answer to a second poll would hold all that the first one's holds.
  bool IsAnswerOnItsWay(const ControlHost& control) const;
  // The one that all processes tell their loads to: the leader, if in reach.
  HostId MainControlHost() const;
  // While none is in contact.
  HostId GuessedControlHost() const;
  void TakeDecisions(const wire::FleetDecisions& message);
  void TellControlHosts() const;
  void NoteLostContacts();

  FleetFollowerOptions options_;
  const Hooks hooks_;
  DecisionsPtr decisions_;
  std::map<HostId, ControlHost> control_hosts_;
  TimePoint poll_due_{};
  std::uint64_t polls_ = 0;
  HostId leader_;
  std::map<UpstreamId, wire::UpstreamLoad> loads_;
  TimePoint loads_heard_at_{};
  std::set<UpstreamId> resting_;
  TimePoint resting_heard_at_{};
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_FLEET_FOLLOWER_H_
