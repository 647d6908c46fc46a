#include "endivecart/upstreams/announced_roster.h"

#include <algorithm>

namespace endivecart::upstreams {

namespace {

bool SameButForSequence(Announcement a, const Announcement& b) {
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

bool AnnouncedRoster::IsSuperseded(const Announcement& announcement) const {
  const AnnouncedUpstream* known = Find(announcement.id);
  if (known != nullptr) {
    if (announcement.born_ms < known->last.born_ms)
      return true;
    if (announcement.born_ms == known->last.born_ms) {
      return known->last.state == UpstreamState::kGone ||
             (announcement.sequence <= known->last.sequence &&
              announcement.state != UpstreamState::kGone);
    }
  }
  const auto it = by_address_.find(announcement.address.ToString());
  if (it == by_address_.end() || it->second == announcement.id)
    return false;
  const AnnouncedUpstream* holder = Find(it->second);
  return holder != nullptr && announcement.born_ms < holder->last.born_ms;
}

void AnnouncedRoster::RemoveFormerAtAddress(const Announcement& announcement,
                                            TimePoint now) {
  const auto it = by_address_.find(announcement.address.ToString());
  if (it == by_address_.end() || it->second == announcement.id)
    return;
  const UpstreamId former = it->second;
  if (const AnnouncedUpstream* known = Find(former))
    Leave(former, known->last.born_ms, now);
}

AnnouncementEffect AnnouncedRoster::Apply(const Announcement& announcement,
                                          TimePoint received_at,
                                          TimePoint now) {
  if (IsSuperseded(announcement))
    return AnnouncementEffect::kStale;
  if (announcement.state != UpstreamState::kGone) {
    RemoveFormerAtAddress(announcement, now);
    by_address_[announcement.address.ToString()] = announcement.id;
  }
  const auto [it, is_new] = all_.try_emplace(announcement.id);
  AnnouncedUpstream& known = it->second;
  const bool changed = is_new || !SameButForSequence(known.last, announcement);
  if (is_new || known.last.state != announcement.state ||
      known.last.born_ms != announcement.born_ms) {
    known.state_since = now;
  }
  const TimePoint cold_until = received_at + announcement.cold_for;
  const bool newly_cold = announcement.cold_for > Millis(0) &&
                          (is_new || known.cold_until <= received_at);
  known.last = announcement;
  known.heard_at = received_at;
  known.cold_until = cold_until;
  known.change = ++newest_change_;
  return changed || newly_cold ? AnnouncementEffect::kChanged
                               : AnnouncementEffect::kRefreshed;
}

AnnouncementEffect AnnouncedRoster::Leave(const UpstreamId& id,
                                          std::uint64_t born_ms,
                                          TimePoint now) {
  const auto it = all_.find(id);
  if (it == all_.end() || it->second.last.state == UpstreamState::kGone ||
      (born_ms != 0 && born_ms < it->second.last.born_ms)) {
    return AnnouncementEffect::kStale;
  }
  it->second.last.state = UpstreamState::kGone;
  it->second.state_since = now;
  it->second.change = ++newest_change_;
  const auto place = by_address_.find(it->second.last.address.ToString());
  if (place != by_address_.end() && place->second == id)
    by_address_.erase(place);
  return AnnouncementEffect::kChanged;
}

void AnnouncedRoster::Expire(TimePoint now) {
  std::erase_if(all_, [&](const auto& entry) {
    const AnnouncedUpstream& known = entry.second;
    const bool gone = known.last.state == UpstreamState::kGone;
    if (now - (gone ? known.state_since : known.heard_at) <= kRememberGone)
      return false;
    const auto place = by_address_.find(known.last.address.ToString());
    if (place != by_address_.end() && place->second == known.last.id)
      by_address_.erase(place);
    return true;
  });
}

const AnnouncedUpstream* AnnouncedRoster::Find(const UpstreamId& id) const {
  const auto it = all_.find(id);
  return it == all_.end() ? nullptr : &it->second;
}

std::vector<const AnnouncedUpstream*> AnnouncedRoster::ChangedSince(
    std::uint64_t change) const {
  std::vector<const AnnouncedUpstream*> changed;
  for (const auto& [id, known] : all_) {
    if (known.change > change)
      changed.push_back(&known);
  }
  std::sort(changed.begin(), changed.end(),
            [](const AnnouncedUpstream* a, const AnnouncedUpstream* b) {
              return a->change < b->change;
            });
  return changed;
}

}  // namespace endivecart::upstreams
