#ifndef ENDIVECART_CONTROL_DATA_FOLDER_H_
#define ENDIVECART_CONTROL_DATA_FOLDER_H_

#include <memory>
#include <optional>
#include <string>

#include "endivecart/control/storage.h"

namespace endivecart::control {

// Identity of the data folders created when a site is founded.
inline constexpr char kFounderIdentity[] = "founder";

// A voter's data folder: the file `identity`, and a log file `log-NUMBER` that
// starts with a snapshot. A new snapshot starts a new log file; the one with
// the highest number is used, and older ones are removed. Other state that may
// be lost is in files of its own.
class DataFolder final : public Storage {
 public:
  // Opens the folder. If it is missing or empty, creates it, with the founder
  // identity if `as_founder` and a random one otherwise.
  static Result<std::unique_ptr<DataFolder>, StorageError>
  Open(const std::string& path, const HostId& host, bool as_founder);
  ~DataFolder() override;
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  const MemberId& member() const { return member_; }
  bool is_founder() const { return is_founder_; }

  // Returns the contents of a file that was saved by SaveFile(); nullopt if
  // there is none or it is damaged.
  std::optional<std::string> LoadFile(const std::string& name) const;
  // Replaces the file atomically and syncs it and the folder.
  Result<bool, StorageError> SaveFile(const std::string& name,
                                      const std::string& contents) const;

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
  Result<bool, StorageError> WriteFileAtomically(
      const std::string& name,
      const std::string& content) const;
  Result<bool, StorageError> OpenLog(std::uint64_t number);
  std::string LogName(std::uint64_t number) const;
  void RemoveOlderLogs() const;

  std::string path_;
  MemberId member_;
  bool is_founder_ = false;
  RaftDurableState loaded_;
  std::uint64_t log_number_ = 0;
  int log_fd_ = -1;  // -1 if not open
  std::uint64_t log_bytes_ = 0;
  bool failed_ = false;  // after a failed sync, nothing is written
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_DATA_FOLDER_H_
