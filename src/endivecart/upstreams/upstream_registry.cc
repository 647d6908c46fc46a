#include "endivecart/upstreams/upstream_registry.h"

#include <algorithm>

namespace endivecart::upstreams {

namespace {

bool EqualIgnoringSequence(Announcement a, const Announcement& b) {
  a.sequence = b.sequence;
  a.cold_for = b.cold_for;
  return a == b;
}

}  // namespace

std::string_view AnnouncementEffectName(AnnouncementEffect effect) {
  switch (effect) {
    case AnnouncementEffect::kStale:
      return "stale";
    case AnnouncementEffect::kRefreshed:
      return "refreshed";
    case AnnouncementEffect::kChanged:
      return "changed";
  }
  return "";
}

bool UpstreamRegistry::IsSuperseded(const Announcement& announcement) const {
  const AnnouncedUpstream* known = Find(announcement.id);
  if (known != nullptr) {
    if (announcement.start_time_ms < known->last.start_time_ms)
      return true;
    if (announcement.start_time_ms == known->last.start_time_ms) {
      return known->last.state == UpstreamState::kGone ||
             (announcement.sequence <= known->last.sequence &&
              announcement.state != UpstreamState::kGone);
    }
  }
  const auto it = by_address_.find(announcement.address.ToString());
  if (it == by_address_.end() || it->second == announcement.id)
    return false;
  const AnnouncedUpstream* holder = Find(it->second);
  return holder != nullptr &&
         announcement.start_time_ms < holder->last.start_time_ms;
}

void UpstreamRegistry::RemovePreviousAtAddress(const Announcement& announcement,
                                               TimePoint now) {
  const auto it = by_address_.find(announcement.address.ToString());
  if (it == by_address_.end() || it->second == announcement.id)
    return;
  const UpstreamId previous = it->second;
  if (const AnnouncedUpstream* known = Find(previous))
    Leave(previous, known->last.start_time_ms, now);
}

Announcement UpstreamRegistry::WithLeaving(Announcement announcement) const {
  const AnnouncedUpstream* known = Find(announcement.id);
  announcement.is_leaving |= known != nullptr && known->last.is_leaving &&
                             known->last.run() == announcement.run();
  if (announcement.is_leaving && announcement.state == UpstreamState::kReady)
    announcement.state = UpstreamState::kDraining;
  return announcement;
}

AnnouncementEffect UpstreamRegistry::Apply(const Announcement& received,
                                           TimePoint received_at,
                                           TimePoint now) {
  const Announcement announcement = WithLeaving(received);
  if (IsSuperseded(announcement)) {
    return announcement.is_leaving ? MarkLeaving(announcement.run(), now)
                                   : AnnouncementEffect::kStale;
  }
  if (announcement.state != UpstreamState::kGone) {
    RemovePreviousAtAddress(announcement, now);
    by_address_[announcement.address.ToString()] = announcement.id;
  }
  const auto [it, is_new] = all_.try_emplace(announcement.id);
  AnnouncedUpstream& known = it->second;
  const bool changed =
      is_new || !EqualIgnoringSequence(known.last, announcement);
  if (is_new || known.last.state != announcement.state ||
      known.last.start_time_ms != announcement.start_time_ms) {
    known.state_since = now;
  }
  const TimePoint cold_until = received_at + announcement.cold_for;
  const bool newly_cold = announcement.cold_for > Millis(0) &&
                          (is_new || known.cold_until <= received_at ||
                           cold_until >= known.cold_until + kRefreshResolution);
  const bool refreshes =
      is_new || received_at - known.received_at >= kRefreshResolution;
  // That it was heard may have arrived sooner, by another route.
  known.received_at = known.last.start_time_ms == announcement.start_time_ms
                          ? std::max(known.received_at, received_at)
                          : received_at;
  known.last = announcement;
  known.cold_until = cold_until;
  if (changed || newly_cold) {
    NumberChange(known);
    if (is_new)
      known.added = known.change;
    return AnnouncementEffect::kChanged;
  }
  if (refreshes)
    NumberRefresh(known);
  return AnnouncementEffect::kRefreshed;
}

void UpstreamRegistry::NumberChange(AnnouncedUpstream& upstream) {
  changes_.erase(upstream.change);
  upstream.change = ++newest_change_;
  changes_[upstream.change] = &upstream;
}

void UpstreamRegistry::NumberRefresh(AnnouncedUpstream& upstream) {
  refreshes_.erase(upstream.refresh);
  upstream.refresh = ++newest_change_;
  refreshes_[upstream.refresh] = &upstream;
}

bool UpstreamRegistry::Refresh(const UpstreamId& id, TimePoint heard_at) {
  const auto it = all_.find(id);
  if (it == all_.end())
    return false;
  if (it->second.received_at >= heard_at)
    return true;
  const bool is_numbered =
      heard_at - it->second.received_at >= kRefreshResolution;
  it->second.received_at = heard_at;
  if (is_numbered)
    NumberRefresh(it->second);
  return true;
}

AnnouncementEffect UpstreamRegistry::Leave(const UpstreamId& id,
                                           std::uint64_t start_time_ms,
                                           TimePoint now) {
  const auto it = all_.find(id);
  if (it == all_.end() || it->second.last.state == UpstreamState::kGone ||
      (start_time_ms != 0 && start_time_ms < it->second.last.start_time_ms)) {
    return AnnouncementEffect::kStale;
  }
  it->second.last.state = UpstreamState::kGone;
  it->second.state_since = now;
  NumberChange(it->second);
  const auto place = by_address_.find(it->second.last.address.ToString());
  if (place != by_address_.end() && place->second == id)
    by_address_.erase(place);
  return AnnouncementEffect::kChanged;
}

AnnouncementEffect UpstreamRegistry::MarkLeaving(const UpstreamRun& run,
                                                 TimePoint now) {
  const auto it = all_.find(run.id);
  if (it == all_.end() || it->second.last.run() != run ||
      it->second.last.is_leaving ||
      it->second.last.state == UpstreamState::kGone) {
    return AnnouncementEffect::kStale;
  }
  Announcement& known = it->second.last;
  known.is_leaving = true;
  if (known.state == UpstreamState::kReady) {
    known.state = UpstreamState::kDraining;
    it->second.state_since = now;
  }
  NumberChange(it->second);
  return AnnouncementEffect::kChanged;
}

void UpstreamRegistry::Expire(TimePoint now) {
  std::erase_if(all_, [&](const auto& entry) {
    const AnnouncedUpstream& known = entry.second;
    const bool gone = known.last.state == UpstreamState::kGone;
    if (now - (gone ? known.state_since : known.received_at) <= kGoneRetention)
      return false;
    const auto place = by_address_.find(known.last.address.ToString());
    if (place != by_address_.end() && place->second == known.last.id)
      by_address_.erase(place);
    changes_.erase(known.change);
    refreshes_.erase(known.refresh);
    return true;
  });
}

const AnnouncedUpstream* UpstreamRegistry::Find(const UpstreamId& id) const {
  const auto it = all_.find(id);
  return it == all_.end() ? nullptr : &it->second;
}

bool UpstreamRegistry::IsPresent(const UpstreamId& id) const {
  const AnnouncedUpstream* upstream = Find(id);
  return upstream != nullptr && upstream->last.state != UpstreamState::kGone;
}

std::vector<const AnnouncedUpstream*> UpstreamRegistry::ChangedSince(
    std::uint64_t number,
    std::size_t limit) const {
  std::vector<const AnnouncedUpstream*> changed;
  for (auto it = changes_.upper_bound(number);
       it != changes_.end() && changed.size() < limit; ++it) {
    changed.push_back(it->second);
  }
  return changed;
}

std::vector<const AnnouncedUpstream*> UpstreamRegistry::ChangedAgainSince(
    std::uint64_t number) const {
  std::vector<const AnnouncedUpstream*> changed;
  for (auto it = changes_.upper_bound(number); it != changes_.end(); ++it) {
    if (it->second->added != it->second->change)
      changed.push_back(it->second);
  }
  return changed;
}

std::vector<const AnnouncedUpstream*> UpstreamRegistry::RefreshedSince(
    std::uint64_t number) const {
  std::vector<const AnnouncedUpstream*> found;
  for (auto it = refreshes_.upper_bound(number); it != refreshes_.end(); ++it) {
    if (it->second->change <= number)
      found.push_back(it->second);
  }
  return found;
}

}  // namespace endivecart::upstreams
