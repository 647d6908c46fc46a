#ifndef ENDIVECART_FLEET_SAVE_GRANT_LOG_H_
#define ENDIVECART_FLEET_SAVE_GRANT_LOG_H_

#include <cstdint>
#include <map>
#include <vector>

#include "endivecart/fleet/cache_save_ledger.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// The saves of cache parts that the replicated log records as granted and not
// ended. Part of the log's state machine.
//
// A leader that logs its grants appends a GrantSavesCommand before its first
// grant. A leader of an earlier release appends none, so a term without one
// leaves unknown what its leader granted.
class SaveGrantLog {
 public:
  using Save = CacheSaveLedger::Outstanding;

  // To be called for each entry of the log, before it is applied.
  void OnEntry(std::uint64_t term);
  // Applies a command of the last entry's term.
  void Apply(const wire::GrantSavesCommand& command);

  // Returns whether the log has all saves that may still begin. If the last
  // entry is of a new leader's term, this is so if the leader before logged
  // its grants.
  bool IsComplete() const;
  std::uint64_t newest_term() const { return newest_term_; }
  // Each with the time for which it may begin after it was granted.
  std::vector<Save> Saves() const;
  std::size_t size() const { return saves_.size(); }

  // For snapshots.
  wire::SaveGrantState ToWire() const;
  static SaveGrantLog FromWire(const wire::SaveGrantState& state);

  bool operator==(const SaveGrantLog&) const = default;

 private:
  struct Entry {
    CacheSaveLedger::Claim claim;
    Millis ends_in{0};

    bool operator==(const Entry&) const = default;
  };

  // The newest term whose leader logged its grants; 0: none.
  std::uint64_t logged_term_ = 0;
  std::uint64_t newest_term_ = 0;    // of the entries
  std::uint64_t previous_term_ = 0;  // the one before
  std::map<CacheSaveLedger::Part, Entry> saves_;
};

// `save` with the time for which it may begin.
wire::LoggedSave ToWire(const SaveGrantLog::Save& save);

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_SAVE_GRANT_LOG_H_
