#ifndef ENDIVECART_UPSTREAMS_UPSTREAM_REGISTRY_H_
#define ENDIVECART_UPSTREAMS_UPSTREAM_REGISTRY_H_

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
  std::uint64_t change = 0;  // number of the latest change

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

  // Merges an announcement. `received_at` is the time at which the first
  // process of the system received it.
  AnnouncementEffect Apply(const Announcement& announcement,
                           TimePoint received_at,
                           TimePoint now);
  // Marks an upstream as gone. Has no effect if it is unknown, already gone, or
  // if `start_time_ms` is of an earlier incarnation; 0: the known incarnation.
  AnnouncementEffect Leave(const UpstreamId& id,
                           std::uint64_t start_time_ms,
                           TimePoint now);
  // Removes upstreams that have been gone or silent for longer than
  // kGoneRetention.
  void Expire(TimePoint now);

  const AnnouncedUpstream* Find(const UpstreamId& id) const;
  // All known upstreams by id, including those that are gone.
  const std::map<UpstreamId, AnnouncedUpstream>& all() const { return all_; }
  // Returns the upstreams that changed after `change`, in the order of changes.
  std::vector<const AnnouncedUpstream*> ChangedSince(
      std::uint64_t change) const;
  std::uint64_t newest_change() const { return newest_change_; }

 private:
  bool IsSuperseded(const Announcement& announcement) const;
  void RemovePreviousAtAddress(const Announcement& announcement, TimePoint now);

  std::map<UpstreamId, AnnouncedUpstream> all_;
  std::map<std::string, UpstreamId> by_address_;
  std::uint64_t newest_change_ = 0;
};

}  // namespace endivecart::upstreams

#endif  // ENDIVECART_UPSTREAMS_UPSTREAM_REGISTRY_H_
