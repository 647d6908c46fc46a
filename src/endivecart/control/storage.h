#ifndef ENDIVECART_CONTROL_STORAGE_H_
#define ENDIVECART_CONTROL_STORAGE_H_

#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/control/raft_core.h"
#include "endivecart/transport/transport.h"

namespace endivecart::control {

enum class StorageErrorCode {
  kDamaged,  // synced content is unreadable: the voter must not start
  kFull,     // disk full: nothing was written; can be retried
  kIo,       // the disk failed: its content is unknown
  kForeign,  // the folder belongs to another host
};

struct StorageError {
  StorageErrorCode code;
  std::string detail;

  bool operator==(const StorageError&) const = default;
};

// Durable storage of a voter's Raft state.
class Storage {
 public:
  virtual ~Storage() = default;

  // Returns the state as it was when the storage was opened.
  virtual const RaftDurableState& loaded() const = 0;
  // Writes and syncs the records atomically.
  virtual Result<bool, StorageError> Append(
      const std::vector<wire::DurableRecord>& records) = 0;
  // Replaces all content with the snapshot, the vote and the entries after the
  // snapshot, and syncs the file and the folder.
  virtual Result<bool, StorageError> SaveSnapshot(
      const wire::DurableSnapshot& snapshot,
      const wire::DurableVote& vote,
      const std::vector<wire::LogEntry>& entries) = 0;
};

// Applies one record to a loaded state.
void ApplyRecord(const wire::DurableRecord& record, RaftDurableState& state);

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_STORAGE_H_
