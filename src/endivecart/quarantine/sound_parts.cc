#include "endivecart/quarantine/sound_parts.h"

#include <algorithm>

namespace endivecart::quarantine {

void SoundParts::Add(const std::string& part, TimePoint at) {
  TimePoint& answered_at = answered_at_[part];
  answered_at = std::max(answered_at, at);
  // Older halves go together, so that this is rare.
  Millis memory = kMemory;
  while (answered_at_.size() > kMaxParts && memory > Millis(0)) {
    memory /= 2;
    std::erase_if(answered_at_, [&](const auto& entry) {
      return at - entry.second > memory;
    });
  }
  if (answered_at_.size() > kMaxParts)
    answered_at_.erase(answered_at_.begin());
}

bool SoundParts::IsSound(const std::string& part, TimePoint now) const {
  const auto at = LastAnswer(part);
  return at && now - *at <= kMemory;
}

std::optional<TimePoint> SoundParts::LastAnswer(const std::string& part) const {
  const auto it = answered_at_.find(part);
  return it == answered_at_.end() ? std::nullopt : std::optional(it->second);
}

void SoundParts::RemoveAnsweredAfter(TimePoint since, PartList& parts) const {
  std::erase_if(parts, [&](const std::string& part) {
    const auto at = LastAnswer(part);
    return at && *at > since;
  });
}

void SoundParts::Expire(TimePoint now) {
  std::erase_if(answered_at_, [&](const auto& entry) {
    return now - entry.second > kMemory;
  });
}

}  // namespace endivecart::quarantine
