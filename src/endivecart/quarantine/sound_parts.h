#ifndef ENDIVECART_QUARANTINE_SOUND_PARTS_H_
#define ENDIVECART_QUARANTINE_SOUND_PARTS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "endivecart/quarantine/findings.h"

namespace endivecart::quarantine {

// Remembers when prompts with each part were answered last: a part that crashes
// upstreams is never answered. Keeps a bounded number of parts.
class SoundParts {
 public:
  // A part counts as sound for this long after its last answer.
  static constexpr Millis kMemory{60000};
  static constexpr std::size_t kMaxParts = 8192;

  void Add(const std::string& part, TimePoint at);
  bool IsSound(const std::string& part, TimePoint now) const;
  std::optional<TimePoint> LastAnswer(const std::string& part) const;
  // Removes the parts from `parts` that were answered after `since`.
  void RemoveAnsweredAfter(TimePoint since, PartList& parts) const;
  void Expire(TimePoint now);

 private:
  std::map<std::string, TimePoint> answered_at_;
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_SOUND_PARTS_H_
