#ifndef ENDIVECART_UPSTREAMS_UPSTREAM_REGISTRY_H_
#define ENDIVECART_UPSTREAMS_UPSTREAM_REGISTRY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "endivecart/upstreams/announcement.h"

namespace endivecart::upstreams {

// The effect of an announcement on the registry.
enum class AnnouncementEffect {
  kStale,      // older than the known state; ignored
  kRefreshed,  // newer, without a change
  kChanged,    // new upstream, or a change other than the sequence
};

std::string_view AnnouncementEffectName(AnnouncementEffect effect);

// The known state of one incarnation of an upstream.
struct AnnouncedUpstream {
  Announcement last;
  TimePoint received_at;  // by the first process that got it
  TimePoint state_since;  // when this process learned of the state
  TimePoint cold_until;
  // Number of the latest change other than a refresh, and of the latest
  // recorded refresh. Both are taken from one sequence.
  std::uint64_t change = 0;
  std::uint64_t refresh = 0;
  // The value of `change` when it was added; equal to it while it has not
  // changed since.
  std::uint64_t added = 0;

  bool operator==(const AnnouncedUpstream&) const = default;
};

// Merges announcements that arrive late, repeatedly and by several routes. For
// each id and each address the latest incarnation counts, and within an
// incarnation the latest announcement. An incarnation that is gone stays gone.
class UpstreamRegistry {
 public:
  // How long an upstream that is gone is remembered, so that a late
  // announcement does not add it again. Longer than the delay of any
  // announcement.
  static constexpr Millis kGoneRetention{120000};
  // A refresh that is newer by less than this gets no number, so that reports
  // that arrive by several routes are not passed on several times.
  static constexpr Millis kRefreshResolution{500};

  UpstreamRegistry() = default;
  // Not copyable, as members point into each other.
  UpstreamRegistry(const UpstreamRegistry&) = delete;
  UpstreamRegistry& operator=(const UpstreamRegistry&) = delete;

  // Merges an announcement. `received_at` is the time at which the first
  // process of the system received it.
  AnnouncementEffect Apply(const Announcement& received,
                           TimePoint received_at,
                           TimePoint now);
  // Marks an upstream as gone. Has no effect if it is unknown, already gone, or
  // if `start_time_ms` is of an earlier incarnation; 0: the known incarnation.
  AnnouncementEffect Leave(const UpstreamId& id,
                           std::uint64_t start_time_ms,
                           TimePoint now);
  // Records that an incarnation said in an answer that it leaves. Its state is
  // kDraining from then on, whatever it announces, until it is gone. Has no
  // effect if another incarnation is known.
  AnnouncementEffect MarkLeaving(const UpstreamRun& run, TimePoint now);
  // Records that a known upstream announced itself unchanged at `heard_at` or
  // later, as another process says. A time that is not newer has no effect.
  // Returns whether the upstream is known.
  bool Refresh(const UpstreamId& id, TimePoint heard_at);
  // Removes upstreams that have been gone or silent for longer than
  // kGoneRetention.
  void Expire(TimePoint now);

  const AnnouncedUpstream* Find(const UpstreamId& id) const;
  // Returns whether requests may be on their way to the upstream: it is known
  // and not gone.
  bool IsPresent(const UpstreamId& id) const;
  // All known upstreams by id, including those that are gone.
  const std::map<UpstreamId, AnnouncedUpstream>& all() const { return all_; }
  // Returns the upstreams that changed after `number`, in the order of changes,
  // and at most `limit` of them.
  std::vector<const AnnouncedUpstream*> ChangedSince(
      std::uint64_t number,
      std::size_t limit = SIZE_MAX) const;
  // Returns those that changed after `number` and were known before.
  std::vector<const AnnouncedUpstream*> ChangedAgainSince(
      std::uint64_t number) const;
  // Returns those that were refreshed, but not changed, after `number`.
  std::vector<const AnnouncedUpstream*> RefreshedSince(
      std::uint64_t number) const;
  std::uint64_t newest_change() const { return newest_change_; }

 private:
  // Returns the announcement with what the incarnation said before of leaving.
  Announcement WithLeaving(Announcement announcement) const;
  bool IsSuperseded(const Announcement& announcement) const;
  void RemovePreviousAtAddress(const Announcement& announcement, TimePoint now);
  void NumberChange(AnnouncedUpstream& upstream);
  void NumberRefresh(AnnouncedUpstream& upstream);

  std::map<UpstreamId, AnnouncedUpstream> all_;
  std::map<std::string, UpstreamId> by_address_;
  std::uint64_t newest_change_ = 0;
  // By number, of entries of `all_`.
  std::map<std::uint64_t, const AnnouncedUpstream*> changes_;
  std::map<std::uint64_t, const AnnouncedUpstream*> refreshes_;
};

}  // namespace endivecart::upstreams

#endif  // ENDIVECART_UPSTREAMS_UPSTREAM_REGISTRY_H_
