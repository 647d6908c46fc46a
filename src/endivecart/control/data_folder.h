#ifndef ENDIVECART_CONTROL_DATA_FOLDER_H_
#define ENDIVECART_CONTROL_DATA_FOLDER_H_

#include <memory>
#include <string>

#include "endivecart/control/storage.h"

namespace endivecart::control {

// Identity of the data folders with which a site starts.
inline constexpr char kFounderIdentity[] = "founder";

// A voter's data folder: `identity`, and one log file for each snapshot, which
// begins with the snapshot. The newest whole log file counts.
class DataFolder final : public Storage {
 public:
  // Opens the folder; creates it, with a fresh identity or as a founder's, if
  // it is empty.
  static Result<std::unique_ptr<DataFolder>, StorageError>
  Open(const std::string& path, const HostId& host, bool as_founder);
  ~DataFolder() override;
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  const MemberId& member() const { return member_; }
  bool is_founder() const { return is_founder_; }

  const RaftDurableState& loaded() const override { return loaded_; }
  Result<bool, StorageError> Append(
      const std::vector<wire::DurableRecord>& records) override;
  Result<bool, StorageError> SaveSnapshot(
      const wire::DurableSnapshot& snapshot,
      const wire::DurableVote& vote,
      const std::vector<wire::LogEntry>& entries) override;

 private:
  explicit DataFolder(std::string path) : path_(std::move(path)) {}

  Result<bool, StorageError> LoadIdentity(const HostId& host, bool as_founder);
  Result<bool, StorageError> LoadLog();
  Result<bool, StorageError> ReadLogFile(std::uint64_t number);
  Result<bool, StorageError> SyncFolder() const;
  Result<bool, StorageError> WriteWhole(const std::string& name,
                                        const std::string& content) const;
  Result<bool, StorageError> OpenLog(std::uint64_t number);
  std::string LogName(std::uint64_t number) const;
  void RemoveOlderLogs() const;

  std::string path_;
  MemberId member_;
  bool is_founder_ = false;
  RaftDurableState loaded_;
  std::uint64_t log_number_ = 0;
  int log_ = -1;  // file descriptor
  std::uint64_t log_bytes_ = 0;
  bool failed_ = false;  // a sync failed: nothing more is written
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_DATA_FOLDER_H_
