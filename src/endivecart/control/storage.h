#ifndef ENDIVECART_CONTROL_STORAGE_H_
#define ENDIVECART_CONTROL_STORAGE_H_

#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/control/raft_core.h"
#include "endivecart/transport/transport.h"

namespace endivecart::control {

enum class StorageErrorCode {
  kDamaged,  // content that was synced can't be read: refuse to start
  kFull,     // no room: nothing was written, may be tried again
  kIo,       // the disk failed: what is on it is not known any more
  kForeign,  // the folder belongs to another host
};

struct StorageError {
  StorageErrorCode code;
  std::string detail;

  bool operator==(const StorageError&) const = default;
};

// Where a voter keeps what must survive.
class Storage {
 public:
  virtual ~Storage() = default;

  virtual const RaftDurableState& loaded() const = 0;
  // Writes and syncs the records as one unit.
  virtual Result<bool, StorageError> Append(
      const std::vector<wire::DurableRecord>& records) = 0;
  // Replaces everything by the snapshot, the vote and the entries after the
  // snapshot, and syncs file and folder.
  virtual Result<bool, StorageError> SaveSnapshot(
      const wire::DurableSnapshot& snapshot,
      const wire::DurableVote& vote,
      const std::vector<wire::LogEntry>& entries) = 0;
};

// Carries out one record on a loaded state.
void ApplyRecord(const wire::DurableRecord& record, RaftDurableState& state);

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_STORAGE_H_
