#ifndef ENDIVECART_CONTROL_RAFT_LOG_H_
#define ENDIVECART_CONTROL_RAFT_LOG_H_

#include <cstdint>
#include <deque>

#include "endivecart/transport/transport.h"

namespace endivecart::control {

// The entries after the newest snapshot, by index. Indexes start at 1.
class RaftLog {
 public:
  std::uint64_t first_index() const { return snapshot_index_ + 1; }
  std::uint64_t last_index() const { return snapshot_index_ + entries_.size(); }
  std::uint64_t last_term() const { return TermAt(last_index()); }
  std::uint64_t snapshot_index() const { return snapshot_index_; }
  std::uint64_t snapshot_term() const { return snapshot_term_; }

  // Returns the term of an entry, or of the snapshot's last entry; 0 if
  // unknown.
  std::uint64_t TermAt(std::uint64_t index) const;
  bool Holds(std::uint64_t index) const {
    return index >= first_index() && index <= last_index();
  }
  // Requires Holds(index).
  const wire::LogEntry& At(std::uint64_t index) const;

  // The entry's index must be last_index() + 1.
  void Append(wire::LogEntry entry);
  // Drops the entries from `index` on.
  void TruncateFrom(std::uint64_t index);
  // Drops the entries up to `index`, which a snapshot covers.
  void CompactTo(std::uint64_t index, std::uint64_t term);
  // Drops all entries: a snapshot from the leader or from storage replaces
  // them.
  void Reset(std::uint64_t index, std::uint64_t term);

 private:
  std::uint64_t snapshot_index_ = 0;
  std::uint64_t snapshot_term_ = 0;
  std::deque<wire::LogEntry> entries_;
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_RAFT_LOG_H_
