#ifndef ENDIVECART_FLEET_FLEET_FEED_H_
#define ENDIVECART_FLEET_FLEET_FEED_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/fleet/decisions.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::fleet {

// Tells followers, from one voter or spare, what was decided and what upstreams
// said. Followers poll; what changes is sent to them at once.
class FleetFeed {
 public:
  struct Hooks {
    std::function<void(const HostId&, wire::Envelope)> send;
    std::function<TimePoint()> now;
    std::function<std::vector<HostId>()> voter_hosts;
    std::function<HostId()> leader_host;
    std::function<void(const HostId&, const wire::ServiceMoveReport&)>
        on_move_report;
    // Upstreams that had better get no new requests; only the leader knows.
    std::function<std::vector<UpstreamId>()> resting;
    // What a follower with news up to this term and cursor lacks.
    std::function<std::optional<wire::CacheNews>(std::uint64_t term,
                                                 std::uint64_t cursor)>
        cache_news;
  };

  // A follower that doesn't poll for this long gets nothing more.
  static constexpr Millis kForgetFollower{5000};
  // One that serves callers keeps its place among the others for this long: it
  // may be cut off from here and go on with its share of what is rationed.
  static constexpr Millis kKeepPlace{60000};
  // A voter that started less than this ago hasn't heard of all who serve
  // callers: it tells no places, so that nobody takes too large a share.
  static constexpr Millis kLearnCallers{2500};

  // A routing document that was sent less than a poll interval ago is not sent
  // again: the link may still carry it.
  static constexpr Millis kDocumentOnItsWay{250};

  // Only the control host that a follower follows closely sends it a document;
  // others do so if it lacks it for this long.
  static constexpr Millis kDocumentFromOthers{1000};

  // `incarnation` tells this process from earlier ones on its host. `roster`
  // must outlive the feed.
  FleetFeed(std::uint64_t incarnation,
            const upstreams::UpstreamRegistry* roster,
            Hooks hooks);

  void OnPoll(const HostId& from, const wire::FleetPoll& poll);
  // Sends to all followers what they have not been sent yet.
  void PushDecisions(const Decisions& decisions);
  void PushAnnouncements();
  void Expire();

  // The voters, and what else of control polls here: spares hear announcements
  // too, and nobody would ask them for these unless they were named.
  std::vector<HostId> ControlHosts() const;
  // Processes that serve callers, those included that are silent for less than
  // kKeepPlace; 0 while this isn't known.
  int CallerHosts() const;

 private:
  struct Follower {
    TimePoint polled_at;
    wire::FleetPoll poll;
    std::uint64_t sent_cursor = 0;
    std::uint64_t sent_decisions = 0;
    // Routing versions: that it hasn't, and of the document sent last.
    std::uint64_t lacking_version = 0;
    TimePoint lacking_since{};
    std::uint64_t sent_document = 0;
    TimePoint document_sent_at{};
  };

  // Whether the routing document goes along with the decisions: it may be far
  // larger than all else, and hosts' links are narrow.
  bool TakeDocument(Follower& follower, TimePoint now);

  void Send(const HostId& to, Follower& follower, bool is_answer);
  void AddLoadsOfOthers(const HostId& receiver, wire::FleetNews& news) const;

  const std::uint64_t incarnation_;
  const upstreams::UpstreamRegistry* const roster_;
  const Hooks hooks_;
  const TimePoint started_at_;
  Decisions decisions_;
  std::map<HostId, Follower> followers_;
  std::map<HostId, TimePoint> caller_places_;  // when last heard of
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_FLEET_FEED_H_
