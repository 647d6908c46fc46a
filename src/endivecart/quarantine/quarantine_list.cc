#include "endivecart/quarantine/quarantine_list.h"

#include <algorithm>
#include <utility>

namespace endivecart::quarantine {

bool Contains(const PartList& parts, const Quarantine& quarantine) {
  return std::includes(parts.begin(), parts.end(), quarantine.parts.begin(),
                       quarantine.parts.end());
}

bool QuarantineList::Merge(Quarantine quarantine, const SoundParts& sound) {
  sound.RemoveAnsweredAfter(quarantine.since, quarantine.parts);
  if (quarantine.parts.empty())
    return false;
  const auto same = std::find_if(
      quarantines_.begin(), quarantines_.end(),
      [&](const Quarantine& q) { return q.parts == quarantine.parts; });
  if (same != quarantines_.end()) {
    same->asked_at = std::max(same->asked_at, quarantine.asked_at);
    if (quarantine.failed_trials > same->failed_trials) {
      same->failed_trials = quarantine.failed_trials;
      same->since = quarantine.since;
    }
    return false;
  }
  if (quarantines_.size() >= kMaxQuarantines) {
    quarantines_.erase(
        std::min_element(quarantines_.begin(), quarantines_.end(),
                         [](const Quarantine& a, const Quarantine& b) {
                           return a.asked_at < b.asked_at;
                         }));
  }
  quarantines_.push_back(std::move(quarantine));
  return true;
}

bool QuarantineList::Release(const SoundParts& sound, TimePoint now) {
  bool changed = false;
  for (Quarantine& quarantine : quarantines_) {
    const std::size_t before = quarantine.parts.size();
    sound.RemoveAnsweredAfter(quarantine.since, quarantine.parts);
    changed |= quarantine.parts.size() != before;
  }
  changed |= std::erase_if(quarantines_, [&](const Quarantine& q) {
               return q.parts.empty() || now - q.asked_at > kForgetAfter;
             }) > 0;
  return changed;
}

void QuarantineList::Remove(const PartList& parts) {
  std::erase_if(quarantines_,
                [&](const Quarantine& q) { return q.parts == parts; });
}

Quarantine* QuarantineList::Find(const PartList& parts) {
  const auto found =
      std::find_if(quarantines_.begin(), quarantines_.end(),
                   [&](const Quarantine& q) { return Contains(parts, q); });
  return found == quarantines_.end() ? nullptr : &*found;
}

bool QuarantineList::Withholds(const PartList& parts) const {
  return std::any_of(quarantines_.begin(), quarantines_.end(),
                     [&](const Quarantine& q) { return Contains(parts, q); });
}

}  // namespace endivecart::quarantine
