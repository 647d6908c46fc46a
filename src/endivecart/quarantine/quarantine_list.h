#ifndef ENDIVECART_QUARANTINE_QUARANTINE_LIST_H_
#define ENDIVECART_QUARANTINE_QUARANTINE_LIST_H_

#include <cstddef>
#include <vector>

#include "endivecart/quarantine/findings.h"
#include "endivecart/quarantine/sound_parts.h"

namespace endivecart::quarantine {

// The quarantines that a host or a control host knows of. Lists of several
// processes can be merged in any order, any number of times.
class QuarantineList {
 public:
  static constexpr std::size_t kMaxQuarantines = 64;
  // A quarantine that no request has asked for in this time ends.
  static constexpr Millis kForgetAfter{600000};

  // Adds a quarantine, or merges it into the one of the same parts. Parts that
  // were answered since are left out. Returns whether it is new.
  bool Merge(Quarantine quarantine, const SoundParts& sound);
  // Removes parts that were answered since their quarantine began, and
  // quarantines that have no parts left or were not asked for. Returns whether
  // any was removed.
  bool Release(const SoundParts& sound, TimePoint now);
  void Remove(const PartList& parts);
  // Returns the quarantine that withholds a prompt with these sorted parts, or
  // null.
  Quarantine* Find(const PartList& parts);
  bool Withholds(const PartList& parts) const;
  const std::vector<Quarantine>& all() const { return quarantines_; }

 private:
  std::vector<Quarantine> quarantines_;
};

// Returns whether sorted `parts` contain all of `quarantine`'s.
bool Contains(const PartList& parts, const Quarantine& quarantine);

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_QUARANTINE_LIST_H_
