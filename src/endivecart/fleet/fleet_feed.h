#ifndef ENDIVECART_FLEET_FLEET_FEED_H_
#define ENDIVECART_FLEET_FLEET_FEED_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "endivecart/fleet/cache_catalog.h"
#include "endivecart/fleet/decisions.h"
#include "endivecart/fleet/entry_limit.h"
#include "endivecart/fleet/load_table.h"
#include "endivecart/fleet/routing_transfers.h"
#include "endivecart/fleet/weights_ages.h"
#include "endivecart/limits/limits.h"
#include "endivecart/quarantine/quarantine.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::fleet {

// Sends the decisions and the upstreams' announcements from one voter, or
// spare, to its followers. Followers poll; changes are also pushed to them at
// once.
class FleetFeed {
 public:
  struct Hooks {
    std::function<void(const HostId&, wire::Envelope)> send;
    std::function<TimePoint()> now;
    std::function<std::vector<HostId>()> voter_hosts;
    std::function<HostId()> leader_host;
    std::function<void(const HostId&, const wire::ServiceMoveReport&)>
        on_move_report;
    // Returns the upstreams that should get no new requests. Empty unless this
    // process leads.
    std::function<std::vector<UpstreamId>()> quiesced;
    // Returns the cache changes after this position, or nullopt if this process
    // doesn't lead.
    std::function<std::optional<wire::CacheUpdate>(const CachePosition&)>
        cache_update;
    // Called when the quarantines have changed, to make them outlast a restart
    // of all processes. Optional.
    std::function<void(const std::vector<quarantine::Quarantine>&)>
        on_quarantines;
    // Unix time in ms. Optional.
    std::function<std::uint64_t()> unix_ms;
    // Returns the true Unix time in ms, the same for all hosts, or 0 if it is
    // not known (yet) or this process doesn't lead. Must be empty if no usage
    // is to be reported: hosts then count nothing.
    std::function<std::uint64_t()> true_unix_ms;
    // Called with an upstream that told a follower that it leaves. Optional.
    std::function<void(const upstreams::UpstreamRun&)> on_leaving;
  };

  // A follower that hasn't polled for this long is removed.
  static constexpr Millis kFollowerTimeout{5000};
  // A follower that serves callers is counted for this long after its last
  // poll: it may be partitioned from this host and still use its share of what
  // is rationed among them.
  static constexpr Millis kCallerRetention{60000};
  // A feed that started less than this ago may not know all followers that
  // serve callers. It reports none until then, so that nobody takes too large a
  // share.
  static constexpr Millis kCallerDiscoveryTime{2500};
  // Processes that serve callers are asked to poll this often, as long as there
  // are at most kFullRateHosts of them, and less often in proportion beyond, at
  // least every kMaxPollInterval: cached parts, loads and contacts are not used
  // once they are twice as old.
  static constexpr Millis kMinPollInterval{250};
  static constexpr Millis kMaxPollInterval{750};
  static constexpr int kFullRateHosts = 100;
  static constexpr int kPushesPerPoll = 5;
  // The control hosts are listed again after this time if they are the same.
  // Followers forget a host that is listed no more after
  // FleetFollower::kControlHostRetention, so that this may be lost repeatedly.
  static constexpr Millis kControlHostsRepeat{5000};

  // Longer lists of announcements are sent in parts; a follower asks for the
  // next part at once. With 3,000 upstreams, one whole list of 300 kB for each
  // of 300 hosts kept the others waiting for longer than they wait for answers,
  // so that each list was asked for and sent again.
  static constexpr std::size_t kMaxAnnouncements = 500;
  // With more upstreams, a follower that serves callers learns of added ones
  // from its primary control host only. Changes come from all.
  static constexpr std::size_t kMaxListedByAll = 256;
  // Limits of upstreams that have not changed are repeated in answers after
  // this time, well before followers forget them (LimitTable::kMemory).
  static constexpr Millis kLimitsRepeat{2000};
  // A control host that becomes a follower's primary repeats what was added in
  // this time, which the one before may not have sent any more.
  static constexpr Millis kRepeatedTime{5000};

  // Ages of weights are repeated in answers for this long, so that followers
  // also get the ages that other control hosts know.
  static constexpr Millis kAgesRepeatTime{60000};

  // Normally only a follower's primary control host sends it the routing
  // document. Other control hosts send it once the follower has had the same
  // old version for this long.
  static constexpr Millis kSecondaryDocumentDelay{1000};

  // `incarnation` distinguishes this process from earlier ones on its host.
  // `roster` must outlive the feed.
  FleetFeed(std::uint64_t incarnation,
            const upstreams::UpstreamRegistry* roster,
            Hooks hooks);

  // Adds quarantines that were in force before this process started.
  void RestoreQuarantines(
      const std::vector<quarantine::Quarantine>& quarantines) {
    part_judge_.Restore(quarantines, hooks_.now());
    told_quarantines_ = quarantines;
  }
  void OnPoll(const HostId& from, const wire::FleetPoll& poll);
  // A follower tells what it has, and is sent what it lacks.
  void OnReceipt(const HostId& from, const wire::RoutingReceipt& receipt);
  // A poll has arrived and may be answered late or not at all: the follower is
  // alive and still gets pushed changes.
  void OnPollReceived(const HostId& from) {
    if (const auto it = followers_.find(from); it != followers_.end())
      it->second.polled_at = hooks_.now();
  }
  // Decisions up to this index of the log were made before this process
  // started, so that only the log tells their age. Later ones are as old as
  // this process knows them: the time of day differs between hosts and jumps.
  void SetLoadedIndex(std::uint64_t index) { loaded_index_ = index; }
  // Sends all followers the decisions that they haven't been sent yet.
  void PushDecisions(const Decisions& decisions);
  // Takes over the ages of weights that another control host knows.
  void MergeWeightsAges(const wire::FleetUpdate& update) {
    weights_ages_.Merge(update, hooks_.now());
  }
  // Requests that the followers are sent the announcements, and the list of
  // quiesced upstreams, before their next poll.
  void RequestPush() { push_requested_ = true; }
  // Judges the quarantine findings that followers reported, and sends what
  // that or RequestPush() requested since the last call. To be called at short
  // intervals: with hundreds of followers, one push for each change
  // would take all of this process's time when many upstreams start.
  void PushIfRequested();
  // Removes followers that have stopped polling.
  void Expire();

  // Returns the voters and the spares that poll this feed. Spares receive
  // announcements too; followers must know of them to poll them.
  std::vector<HostId> ControlHosts() const;
  // Returns the number of processes that serve callers and have polled within
  // kCallerRetention, or 0 during kCallerDiscoveryTime.
  int CallerHosts() const;
  // Returns how often processes that serve callers are asked to poll.
  Millis PollInterval() const;
  // Returns the shortest time between pushes, which cost a message for each
  // follower.
  Millis PushInterval() const { return PollInterval() / kPushesPerPoll; }
  // Bytes of the updates sent, by the part of the message.
  const std::map<std::string_view, std::uint64_t>& sent_bytes() const {
    return sent_bytes_;
  }
  // Polls with more entries than a host has.
  std::uint64_t dropped_polls() const { return poll_limit_.dropped(); }
  const RoutingTransfers& transfers() const { return transfers_; }
  // Returns the outstanding work of all hosts at an upstream, as they reported
  // it.
  wire::UpstreamLoad TotalLoad(const UpstreamId& upstream) const {
    return loads_.TotalOf(upstream);
  }

 private:
  struct Follower {
    TimePoint polled_at;
    wire::FleetPoll poll;
    std::uint64_t sent_cursor = 0;
    KnownNames sent_names;
    std::vector<HostId> sent_control_hosts;
    TimePoint control_hosts_sent_at{};
    std::uint64_t sent_decisions = 0;
    std::uint64_t incarnation = 0;
    // That it has in force, and since when although a newer one was decided;
    // nullopt if it has the newest.
    std::uint64_t routing_version = 0;
    std::optional<TimePoint> outdated_since;
    std::uint64_t sent_limits = 0;  // see limits_version_
    TimePoint limits_sent_at{};
    bool was_primary = false;  // the last poll asked for loads
  };

  // Records which routing version the follower has.
  void UpdatePosition(Follower& follower,
                      const RoutingPosition& at,
                      TimePoint now);
  // Returns whether this control host is to send the follower the routing
  // document: it may be far larger than the rest and links may be slow.
  bool SendsDocument(const Follower& follower, TimePoint now) const;
  // Sends the document to followers that had to wait for it.
  void SendToWaiting();

  // Records the ages of the versions that `decisions` adds to the current ones.
  void RecordWeightsAges(const Decisions& decisions);

  void Send(const HostId& to, Follower& follower, bool is_answer);
  void AddAnnouncements(Follower& follower, wire::FleetUpdate& update);
  // Returns the number of the newest change as of kRepeatedTime ago or sooner.
  std::uint64_t RepeatedFrom() const;
  void CountParts(const wire::FleetUpdate& update);
  void AddLimits(Follower& follower, wire::FleetUpdate& update) const;
  void AddControlHosts(Follower& follower, wire::FleetUpdate& update) const;
  wire::FleetLoads Loads(const HostId& to, const Follower& follower);
  // Hands the judges and tables what a process that serves callers reported.
  void RecordFindings(const HostId& from, const wire::FleetPoll& poll);
  // Calls on_quarantines if they have changed.
  void ReportQuarantines();
  void UpdateMembership();

  const std::uint64_t incarnation_;
  const upstreams::UpstreamRegistry* const roster_;
  const Hooks hooks_;
  const TimePoint started_at_;
  Decisions decisions_;
  std::uint64_t loaded_index_ = 0;
  WeightsAges weights_ages_;
  std::map<HostId, Follower> followers_;
  std::map<HostId, TimePoint> caller_seen_at_;  // by last poll
  // Derived from the two maps above.
  std::map<HostId, std::uint32_t> caller_ranks_;
  std::vector<HostId> spares_;
  LoadTable loads_;
  RoutingTransfers transfers_;
  // The newest change at each call of Expire() in the last kRepeatedTime.
  std::deque<std::pair<TimePoint, std::uint64_t>> newest_changes_;
  quarantine::PartJudge part_judge_;
  std::vector<quarantine::Quarantine> told_quarantines_;  // by on_quarantines
  limits::LimitTable limits_;  // of upstreams, as named to any follower
  quarantine::RelayTable relay_table_;
  quarantine::FailureJudge failure_judge_;
  std::uint64_t limits_version_ = 0;  // increases with each change
  bool push_requested_ = false;
  EntryLimit poll_limit_{"poll", EntryLimit::kMaxPollEntries};
  std::map<std::string_view, std::uint64_t> sent_bytes_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_FLEET_FEED_H_
