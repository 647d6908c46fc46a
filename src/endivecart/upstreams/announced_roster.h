#ifndef ENDIVECART_UPSTREAMS_ANNOUNCED_ROSTER_H_
#define ENDIVECART_UPSTREAMS_ANNOUNCED_ROSTER_H_

#include <map>
#include <vector>

#include "endivecart/upstreams/announcement.h"

namespace endivecart::upstreams {

// What became of an announcement.
enum class AnnouncementEffect {
  kStale,      // older than what is known: changes nothing
  kRefreshed,  // the same as before, but later
  kChanged,    // new, or something other than its sequence has changed
};

std::string_view AnnouncementEffectName(AnnouncementEffect effect);

// One incarnation of an upstream, as it is known here.
struct AnnouncedUpstream {
  Announcement last;
  TimePoint heard_at;     // when it was received, by the first who did
  TimePoint state_since;  // when this state was learned
  TimePoint cold_until;
  std::uint64_t change = 0;  // number of the newest change, in order

  bool operator==(const AnnouncedUpstream&) const = default;
};

// Merges announcements that come late, twice and by several ways. For each id
// and each address the latest incarnation counts; of one incarnation, the
// latest announcement. An incarnation that has gone stays gone.
class AnnouncedRoster {
 public:
  // How long what has gone is remembered, so that a late announcement doesn't
  // bring it back. Longer than any announcement is delayed.
  static constexpr Millis kRememberGone{120000};

  // `received_at`: when the first of the system's processes got it.
  AnnouncementEffect Apply(const Announcement& announcement,
                           TimePoint received_at,
                           TimePoint now);
  // The upstream said that it leaves for good. One that isn't known, or said so
  // before, changes nothing. `born_ms` 0: the incarnation that is known.
  AnnouncementEffect Leave(const UpstreamId& id,
                           std::uint64_t born_ms,
                           TimePoint now);
  // Forgets what has gone long ago, or was silent as long.
  void Expire(TimePoint now);

  const AnnouncedUpstream* Find(const UpstreamId& id) const;
  // All that are known, gone ones included, by id.
  const std::map<UpstreamId, AnnouncedUpstream>& all() const { return all_; }
  // Upstreams with a change after `change`.
  std::vector<const AnnouncedUpstream*> ChangedSince(
      std::uint64_t change) const;
  std::uint64_t newest_change() const { return newest_change_; }

 private:
  bool IsSuperseded(const Announcement& announcement) const;
  void RemoveFormerAtAddress(const Announcement& announcement, TimePoint now);

  std::map<UpstreamId, AnnouncedUpstream> all_;
  std::map<std::string, UpstreamId> by_address_;
  std::uint64_t newest_change_ = 0;
};

}  // namespace endivecart::upstreams

#endif  // ENDIVECART_UPSTREAMS_ANNOUNCED_ROSTER_H_
