#ifndef ENDIVECART_FLEET_FLEET_FOLLOWER_H_
#define ENDIVECART_FLEET_FLEET_FOLLOWER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/fleet/cache_catalog.h"
#include "endivecart/fleet/decisions.h"
#include "endivecart/fleet/entry_limit.h"
#include "endivecart/fleet/remote_loads.h"
#include "endivecart/limits/limits.h"
#include "endivecart/quarantine/quarantine.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::fleet {

struct FleetFollowerOptions {
  HostId self;
  std::uint64_t incarnation = 0;  // of this process
  std::string member;             // empty if this process can't vote
  bool serves_callers = false;
  std::vector<HostId> contacts;  // the control hosts to start with
  // To the primary control host, unless that names a longer interval.
  Millis poll_interval{250};
  // The others are polled every so many poll intervals, or with every poll
  // to the primary if these are longer.
  int secondary_poll_every = 4;

  bool operator==(const FleetFollowerOptions&) const = default;
};

// The usage that changed after some change, and the number of the latest one.
struct UsageChanges {
  wire::UsageReport report;
  std::uint64_t change = 0;
};

// Follows all control hosts (voters and spares), polling one of them, the
// primary, more often. A decision or announcement that reaches any of them
// reaches this process. Keeps the last known state while none answers.
class FleetFollower {
 public:
  struct Hooks {
    std::function<void(const HostId&, wire::Envelope)> send;
    // Called with all control hosts except this process when they change, to
    // connect to them.
    std::function<void(const std::vector<HostId>&)> on_control_hosts;
    std::function<void(DecisionsPtr)> on_decisions;
    // Called before on_decisions with updates that have ages of weights.
    // Optional.
    std::function<void(const wire::FleetUpdate&)> on_weights_ages;
    std::function<void(const upstreams::Announcement&, TimePoint received_at)>
        on_announcement;
    // Called with upstreams that are known to have announced themselves, maybe
    // unchanged, at that time or later. Optional.
    HeardCallback on_heard;
    std::function<std::vector<LocalLoad>()> local_loads;
    std::function<std::vector<wire::ServiceMoveReport>()> move_reports;
    // Called when remote loads were updated. Optional.
    std::function<void()> on_loads;
    // This and cache_position are optional, for processes that use cache
    // stores.
    // `asked_at`: when the poll was sent that it answers, so that it contains
    // all that happened before; TimePoint{} if unknown.
    std::function<void(const wire::CacheUpdate&, TimePoint asked_at)> on_cache;
    std::function<CachePosition()> cache_position;
    // Saves that leaders have granted to this process. Optional.
    std::function<std::vector<wire::CacheSaveRecord>()> outstanding_saves;
    // Optional, for processes that send prompts.
    std::function<quarantine::HostFindings()> quarantine_findings;
    std::function<void(const quarantine::Ruling&)> on_quarantine;
    // Limits that upstreams have named to this process, and to any. Optional.
    std::function<std::vector<limits::NamedLimit>()> limit_findings;
    std::function<void(const std::vector<limits::NamedLimit>&)> on_limits;
    // Upstreams that said in an answer to this process that they leave.
    // Optional.
    std::function<std::vector<upstreams::UpstreamRun>()> leaving_upstreams;
    // How this process reaches upstreams, and hosts that may relay its requests
    // while it is cut off from them. Optional.
    std::function<quarantine::HostReach()> reach_report;
    std::function<void(const std::vector<quarantine::RelayHost>&)> on_relays;
    // Failures of upstreams that this process observed, and the ruling of the
    // control host that it relies on. Optional.
    std::function<std::vector<quarantine::UpstreamFailures>()> failures;
    std::function<void(const quarantine::FailureRuling&)> on_failures;
    std::function<TimePoint()> now;
    // Called with each answer of the leader: what it says of the true Unix time
    // in ms (nullopt: usage is not wanted; 0: not known yet), and when the poll
    // was sent that it answers. Optional.
    std::function<void(std::optional<std::uint64_t>, TimePoint asked_at)>
        on_true_time;
    // Returns the usage that changed after this change, or nullopt if usage is
    // not wanted. Optional.
    std::function<std::optional<UsageChanges>(std::uint64_t since)> usage_since;
    // This machine's wall clock, in ms; may be wrong. Optional.
    std::function<std::uint64_t()> unix_ms;
    // Returns the requests that wait for scaled services. Optional.
    std::function<std::vector<wire::WaitingRecord>()> waiting;
  };

  // A control host that is silent for longer is considered unreachable.
  static constexpr Millis kContactTimeout{2000};
  // A poll without an answer after this long is considered lost.
  static constexpr Millis kPollTimeout{1000};
  // A control host that is no longer listed by any other is polled for this
  // long.
  static constexpr Millis kControlHostRetention{30000};
  // How often a whole routing document is asked for at most, other than by
  // polls.
  static constexpr Millis kAskForWholeInterval{250};
  // All announcements are asked for again at most this often, from one control
  // host.
  static constexpr Millis kAskForAllInterval{10000};

  FleetFollower(FleetFollowerOptions options, Hooks hooks);

  void Tick();
  void OnUpdate(const HostId& from, const wire::FleetUpdate& update);
  // Adds these control hosts and removes those that were not listed for
  // kControlHostRetention.
  void UpdateControlHosts(const std::vector<HostId>& hosts);
  // Replaces the contacts, which are polled even if no control host lists them.
  void AddContacts(const std::vector<HostId>& contacts);

  // Returns false, and drops the message, if the leader is out of contact.
  bool SendToLeader(wire::Envelope envelope);

  // Null until the first update with decisions.
  const DecisionsPtr& decisions() const { return decisions_; }
  // Returns whether a newer routing document than that of decisions() is known
  // to be in force.
  bool HasOutdatedRouting() const { return has_outdated_routing_; }
  // Returns whether any control host answered within kContactTimeout.
  bool InContact() const;
  // The number of processes that serve callers, including this one, and the
  // rank of this one among them. `hosts` is 0 if no control host answered
  // lately.
  using CallerPlace = HostRank;
  CallerPlace Place() const;
  // Returns whether the leader asks that the upstream get no new requests.
  bool IsQuiesced(const UpstreamId& upstream) const;
  // Returns the total work of the other processes at an upstream, or null if
  // there is none or the information is stale.
  const wire::UpstreamLoad* RemoteLoad(const UpstreamId& upstream) const;
  // Returns how often the primary control host is polled.
  Millis PollInterval() const;

 private:
  struct ControlHost {
    TimePoint listed_at;
    TimePoint polled_at{};
    std::uint64_t poll_number = 0;  // of the last poll
    TimePoint last_update_at{};
    bool has_update = false;
    bool in_contact = false;
    std::uint64_t feed_incarnation = 0;
    std::uint64_t feed_cursor = 0;
    CallerPlace place;
    Millis poll_interval{0};  // that it named; 0: none
    // By which it says when it heard upstreams, to other control hosts.
    ReceivedNames names;
    TimePoint asked_for_all_at{};
    // The latest change of the usage in the last poll, and in those answered.
    std::uint64_t usage_sent = 0;
    std::uint64_t usage_answered = 0;
  };

  void Poll();
  void PollHost(const HostId& host,
                ControlHost& control,
                const wire::FleetPoll& content);
  // Asks for the announcements that did not fit an update.
  void PollForRest(const HostId& host, ControlHost& control);
  // Returns the content that all control hosts get.
  wire::FleetPoll MakePoll() const;
  void AddPositions(const HostId& host,
                    const ControlHost& control,
                    wire::FleetPoll& poll) const;
  // Asks for all announcements again: this process has forgotten an upstream
  // that announces itself, as it does after a long time without contact.
  void RequestAllAnnouncements(ControlHost& control);
  void AddLoads(const HostId& primary, wire::FleetPoll& poll);
  void AddUsage(ControlHost& control, wire::FleetPoll& poll) const;
  // Returns whether an earlier poll may still be answered. A second answer
  // would only repeat the contents of the first.
  bool IsAnswerPending(const ControlHost& control) const;
  // Returns the control host to report loads to: the leader if reachable, else
  // any other in contact. Returns an empty id if none is in contact.
  HostId PrimaryControlHost() const;
  // Returns the control host to treat as primary while none is in contact.
  // Rotates with each poll, from a start that differs between processes.
  HostId NextProbedHost() const;
  void ApplyDecisions(const HostId& from, const wire::FleetDecisions& message);
  // Returns the routing document that goes with `message`, or nullopt if this
  // process doesn't get it from there.
  std::optional<std::string> RoutingDocument(
      const HostId& from,
      const wire::FleetDecisions& message);
  void OnOutdatedRouting(const HostId& from);
  void SendReceipt(const HostId& to);
  void NotifyControlHosts() const;
  void DetectLostContacts();

  FleetFollowerOptions options_;
  const Hooks hooks_;
  DecisionsPtr decisions_;
  bool has_outdated_routing_ = false;
  // An encoded document could not be used with the one that this process has.
  bool needs_whole_routing_ = false;
  TimePoint whole_requested_at_{};
  std::map<HostId, ControlHost> control_hosts_;
  TimePoint poll_due_{};
  std::uint64_t polls_ = 0;
  std::uint64_t poll_numbers_ = 0;
  HostId polled_primary_;                     // in the last Poll()
  std::optional<TimePoint> following_since_;  // first update
  HostId leader_;
  RemoteLoads loads_;
  HostId loads_sender_;
  std::vector<LocalLoad> reported_loads_;  // in the last poll
  EntryLimit update_limit_{"update", EntryLimit::kMaxUpdateEntries};
  TimePoint loads_updated_at_{};
  std::set<UpstreamId> quiesced_;
  TimePoint quiesced_updated_at_{};
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_FLEET_FOLLOWER_H_
