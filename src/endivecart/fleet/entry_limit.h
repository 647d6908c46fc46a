#ifndef ENDIVECART_FLEET_ENTRY_LIMIT_H_
#define ENDIVECART_FLEET_ENTRY_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "endivecart/base/base.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// Returns the total length of the message's lists.
std::size_t CountEntries(const wire::FleetPoll& poll);
std::size_t CountEntries(const wire::FleetUpdate& update);

// Rejects messages with more entries than a correct sender has, which would
// cost the receiver its time and memory. Logs that once a minute.
class EntryLimit {
 public:
  // A host reports on the upstreams that it uses, and few other things.
  static constexpr std::size_t kMaxPollEntries = 20000;
  // The first update names all upstreams.
  static constexpr std::size_t kMaxUpdateEntries = 100000;
  static constexpr Millis kLogInterval{60000};

  // `kind` is used in the log.
  EntryLimit(std::string_view kind, std::size_t max_entries)
      : kind_(kind), max_entries_(max_entries) {}

  // Returns whether the message may be used.
  bool Accepts(const HostId& from, std::size_t entries, TimePoint now);
  std::uint64_t dropped() const { return dropped_; }

 private:
  const std::string_view kind_;
  const std::size_t max_entries_;
  std::uint64_t dropped_ = 0;
  TimePoint logged_at_{};
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_ENTRY_LIMIT_H_
